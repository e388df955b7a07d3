/**
 * Contention between proposers of several nodes (design/hardening/2-orders). A prepare with a higher ballot preempts a
 * proposer that is between its two phases; on slow disks several proposers could do so to each other for seconds. So a
 * proposer checks first: while this node's acceptor has had a prepare of another proposer and not yet its accept, it
 * waits, for as long as a change typically takes, and then for a random backoff, so that proposers that waited for the
 * same ballot do not start at the same moment.
 *
 * This only delays the start of a ballot: no vote, quorum or value depends on it.
 */
import * as timers from "../runtime/timers.js";
import type * as schema from "../wire/schema.js";
import type * as types from "../wire/types.js";
import * as registerValue from "./register-value.js";

/** Duration of a change before one was measured, and the bounds on its estimate. */
const INITIAL_CHANGE_MS = 200;
const MIN_CHANGE_MS = 50;
const MAX_CHANGE_MS = 800;
/** Weight of the newest sample in the moving average. */
const NEWEST_SAMPLE_WEIGHT = 0.3;
/** A ballot that lasts longer than this many typical changes was abandoned, or only read. */
const PATIENCE_CHANGES = 0.9;
/** The longest backoff after a ballot of others: this, and so many typical changes; JITTER is the random part of it. */
const SPREAD_MS = 100;
const SPREAD_CHANGES = 0.4;
const JITTER = 0.3;
/** Others count as active for so many typical changes after their last prepare. */
const ACTIVE_CHANGES = 8;
const POLL_INTERVAL_MS = 10;
/** The longest wait for others, in typical changes, of a new change: reads at many nodes may leave no gap between them. */
const MAX_WAIT_CHANGES = 6;

/** A ballot of another proposer that is between its two phases. */
interface OtherBallot {
  ballot: schema.Ballot;
  /** Times of its proposer's first prepare without an accept, and of the last. */
  since: types.SteadyMs;
  seenAt: types.SteadyMs;
}

/** The activity of other proposers, as seen by this node's acceptor. */
export class Contention {
  private otherBallot: OtherBallot | null = null;
  private changeMs = INITIAL_CHANGE_MS;
  private otherAt: number = Number.NEGATIVE_INFINITY;
  private ownAt: number = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly clock: types.Clock,
    private readonly ownIncarnation: string,
  ) {}

  /** This node's acceptor has received a prepare. */
  recordPrepare(ballot: schema.Ballot): void {
    if (ballot.by === this.ownIncarnation) return;
    this.otherAt = this.clock.now();
    if (this.otherBallot && registerValue.compareBallots(ballot, this.otherBallot.ballot) <= 0) return;
    const now = this.clock.now();
    // A proposer that soon prepares again without an accept only reads, or was rejected: it is waited for once.
    const isRepeated = this.otherBallot?.ballot.by === ballot.by && now - this.otherBallot.seenAt < this.patienceMs();
    this.otherBallot = { ballot, since: isRepeated ? this.otherBallot!.since : now, seenAt: now };
  }

  /** This node's acceptor has received an accept: that ballot, and any lower one, is over. */
  recordAccept(ballot: schema.Ballot): void {
    if (this.otherBallot && registerValue.compareBallots(ballot, this.otherBallot.ballot) >= 0) this.otherBallot = null;
  }

  /** A change of this node's own proposer was chosen, `ms` after its prepare. */
  recordChangeDuration(ms: number): void {
    this.ownAt = this.clock.now();
    const mean = this.changeMs + (ms - this.changeMs) * NEWEST_SAMPLE_WEIGHT;
    this.changeMs = Math.min(MAX_CHANGE_MS, Math.max(MIN_CHANGE_MS, mean));
  }

  /** Whether another proposer was active recently. */
  isActive(): boolean {
    return this.clock.now() - this.otherAt < this.changeMs * ACTIVE_CHANGES;
  }

  private patienceMs(): number {
    return this.changeMs * PATIENCE_CHANGES;
  }

  private isBusy(): boolean {
    return this.otherBallot !== null && this.clock.now() - this.otherBallot.since < this.patienceMs();
  }

  /** Whether this node would start right after a change of its own, while others wait. */
  private hasJustChanged(): boolean {
    return this.isActive() && this.clock.now() - this.ownAt < this.changeMs * SPREAD_CHANGES;
  }

  /**
   * Resolves when no other proposer is between its phases, as far as this node can know; at `deadline` at the latest.
   * `since`: when this node's change began to wait. A change that has waited longer has shorter backoffs, and so goes first.
   */
  async waitUntilIdle(since: number, deadline: number): Promise<void> {
    const latest = Math.min(deadline, this.clock.now() + this.shortenByAge(this.changeMs * MAX_WAIT_CHANGES, since));
    let isWaiting = this.hasJustChanged() || this.isBusy();
    while (isWaiting && this.clock.now() < latest) {
      while (this.isBusy() && this.clock.now() < latest) await timers.sleep(this.clock, POLL_INTERVAL_MS);
      await timers.sleep(this.clock, this.backoffMs(since));
      isWaiting = this.isBusy();
    }
  }

  private backoffMs(since: number): number {
    const longest = SPREAD_MS + this.changeMs * SPREAD_CHANGES;
    return this.shortenByAge(longest * (1 - JITTER * this.clock.random()), since);
  }

  /** The duration, shorter for a change that has waited since then already. */
  private shortenByAge(ms: number, since: number): number {
    const waitedChanges = (this.clock.now() - since) / this.changeMs;
    return ms / (1 + waitedChanges);
  }
}
