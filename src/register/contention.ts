/**
 * Keeps proposers at several nodes out of each other's way (design/hardening/2-orders). A prepare with a higher ballot
 * ends the round of whoever is between its two rounds; on slow disks several proposers could do so to each other for
 * seconds. So a proposer listens first: while this node's voter was asked by another proposer to prepare and not yet to
 * accept, it waits, for as long as a change usually takes, and then for a little more by chance, so that those who
 * waited for the same round do not begin at the same moment.
 *
 * This only ever delays the begin of a round: no promise, quorum or value depends on it.
 */
import type * as schema from "../wire/schema.js";
import * as types from "../wire/types.js";
import * as timers from "../runtime/timers.js";
import * as registers from "./value.js";

/** How long a change takes, until one was measured, and the bounds on what is believed of it. */
const FIRST_CHANGE_MS = 200;
const MIN_CHANGE_MS = 50;
const MAX_CHANGE_MS = 800;
/** The newest measurement's part in the mean. */
const NEWEST_SHARE = 0.3;
/** A round that lasts longer than this many usual changes was given up, or only read. */
const PATIENCE_CHANGES = 0.9;
/** The longest wait after a round of others: this, and so many usual changes; the last part of it is left to chance. */
const SPREAD_MS = 100;
const SPREAD_CHANGES = 0.4;
const JITTER = 0.3;
/** Others count as active for so many usual changes after their last prepare. */
const ACTIVE_CHANGES = 8;
const LISTEN_MS = 10;
/** The most usual changes that a round waits for others, the first time: reads at many nodes may leave no gap between them. */
const MAX_WAIT_CHANGES = 6;

interface Round {
  ballot: schema.Ballot;
  /** When its proposer's first prepare without an accept was seen, and its last. */
  since: types.SteadyMs;
  seenAt: types.SteadyMs;
}

/** What other proposers are doing, as the own voter sees it. */
export class Contention {
  private round: Round | null = null;
  private changeMs = FIRST_CHANGE_MS;
  private otherAt: number = Number.NEGATIVE_INFINITY;
  private ownAt: number = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly clock: types.Clock,
    private readonly own: string,
  ) {}

  /** This node's voter is asked to prepare. */
  sawPrepare(ballot: schema.Ballot): void {
    if (ballot.by === this.own) return;
    this.otherAt = this.clock.now();
    if (this.round && registers.compareBallots(ballot, this.round.ballot) <= 0) return;
    const now = this.clock.now();
    // One that soon prepares again without an accept only reads, or was rejected: it is waited for once.
    const isAgain = this.round?.ballot.by === ballot.by && now - this.round.seenAt < this.patienceMs();
    this.round = { ballot, since: isAgain ? this.round!.since : now, seenAt: now };
  }

  /** This node's voter is asked to accept: the round of that ballot, and any before it, are over. */
  sawAccept(ballot: schema.Ballot): void {
    if (this.round && registers.compareBallots(ballot, this.round.ballot) >= 0) this.round = null;
  }

  /** A change of this node's own was chosen, `ms` after its prepare. */
  changed(ms: number): void {
    this.ownAt = this.clock.now();
    const mean = this.changeMs + (ms - this.changeMs) * NEWEST_SHARE;
    this.changeMs = Math.min(MAX_CHANGE_MS, Math.max(MIN_CHANGE_MS, mean));
  }

  /** Whether another proposer was at work lately. */
  isActive(): boolean {
    return this.clock.now() - this.otherAt < this.changeMs * ACTIVE_CHANGES;
  }

  private patienceMs(): number {
    return this.changeMs * PATIENCE_CHANGES;
  }

  private isBusy(): boolean {
    return this.round !== null && this.clock.now() - this.round.since < this.patienceMs();
  }

  /** Whether this node would begin again right behind a change of its own, while others wait. */
  private isHogging(): boolean {
    return this.isActive() && this.clock.now() - this.ownAt < this.changeMs * SPREAD_CHANGES;
  }

  /**
   * Resolves when no other proposer is in the middle of a change, as far as this node can know; at `until` at the latest.
   * `since`: when this node's change began to wait. Who has waited longer listens for a shorter time, and so comes first.
   */
  async clear(since: number, until: number): Promise<void> {
    const latest = Math.min(until, this.clock.now() + this.shortened(this.changeMs * MAX_WAIT_CHANGES, since));
    let isWaiting = this.isHogging() || this.isBusy();
    while (isWaiting && this.clock.now() < latest) {
      while (this.isBusy() && this.clock.now() < latest) await timers.sleep(this.clock, LISTEN_MS);
      await timers.sleep(this.clock, this.pauseMs(since));
      isWaiting = this.isBusy();
    }
  }

  private pauseMs(since: number): number {
    const longest = SPREAD_MS + this.changeMs * SPREAD_CHANGES;
    return this.shortened(longest * (1 - JITTER * this.clock.random()), since);
  }

  /** A wait for a change that has waited since then already. */
  private shortened(ms: number, since: number): number {
    const waitedChanges = (this.clock.now() - since) / this.changeMs;
    return ms / (1 + waitedChanges);
  }
}
