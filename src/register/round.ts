// One phase of a round: sends a request to a set of voters and collects their votes (design 5.2).
import * as schema from "../wire/schema.js";
import * as types from "../wire/types.js";
import * as log from "../runtime/log.js";
import type * as roundTrips from "./round-trips.js";
import * as registers from "./value.js";

/** A voter that has not replied by then, the own one included, counts as silent in this phase. */
const PHASE_MS = 1300;
/** The same for disks without a vote yet: a change of voters must not hold up the others for long. */
export const JOINER_MS = 600;
/** Requests of one phase to one voter, and how much longer each next one is waited for (*ours*). */
const MAX_SENDS = 6;
const RESEND_GROWTH = 1.2;

/** Asks one voter; null: it stays silent. */
export type Send = (voter: schema.Voter) => Promise<schema.Vote | null>;

/** The votes of one phase. */
export class Votes {
  /** Disks that granted the ballot. */
  readonly granted = new Set<string>();
  /** Of all values shown by those that granted it, the one accepted at the highest ballot. */
  newest: schema.Accepted | null = null;
  /** Disks that granted the ballot and have accepted `newest` at its very ballot. */
  readonly holders = new Set<string>();
  /** Values accepted by any voter that replied, granted or not: none need be chosen. */
  readonly shown: schema.Value[] = [];
  /** The highest ballot number that a voter named in a rejection. */
  highestDenied = 0;

  record(voter: schema.Voter, vote: schema.Vote): void {
    if (vote.accepted) this.shown.push(vote.accepted.value);
    // Another disk replies at that address: the voter is gone, which is silence and no denial.
    if (vote.disk !== voter.disk) return;
    if (!vote.isGranted) {
      this.highestDenied = Math.max(this.highestDenied, vote.ballot.n);
      return;
    }
    this.granted.add(voter.disk);
    if (vote.accepted) this.compare(voter, vote.accepted);
  }

  private compare(voter: schema.Voter, accepted: schema.Accepted): void {
    const order = this.newest ? registers.compareBallots(accepted.ballot, this.newest.ballot) : 1;
    if (order > 0) {
      this.newest = accepted;
      this.holders.clear();
    }
    if (order >= 0) this.holders.add(voter.disk);
  }
}

/** What one phase is run with. */
export interface Phase {
  voters: Iterable<schema.Voter>;
  send: Send;
  votes: Votes;
  withinMs?: number;
  /** The round trips to the voters, by which a silent one is asked again; without them each voter is asked once. */
  roundTrips?: roundTrips.RoundTrips;
  /** Whether voters still silent once the votes suffice are asked on, so that their disks don't lag behind. */
  isThorough?: boolean;
  /** Whether the votes so far decide the phase. */
  isEnough(): boolean;
  /** Whether they still can, should all the disks given grant it. */
  isPossible(disks: ReadonlySet<string>): boolean;
}

/** Resolves once the votes suffice, once they can't any more, or after the phase's time. Later replies are dropped. */
export function run(clock: types.Clock, phase: Phase): Promise<void> {
  return new Promise(function start(resolve) {
    new PhaseRun(clock, phase, resolve).start();
  });
}

/** The requests of one phase that are under way to one voter. */
interface Asked {
  readonly voter: schema.Voter;
  /** Requests sent, and those of them that may still be replied to. */
  sends: number;
  outstanding: number;
  resend: types.Timer | null;
}

/**
 * One phase. Promising and accepting the same ballot twice changes nothing at a voter, so that a request may be sent
 * again while earlier ones are under way; whichever reply comes first counts. A voter whose requests all failed is
 * silent at once: there is no link to it.
 */
class PhaseRun {
  private readonly open = new Map<string, Asked>();
  private readonly timer: types.Timer;
  private isOver = false;

  constructor(
    private readonly clock: types.Clock,
    private readonly phase: Phase,
    private readonly resolve: () => void,
  ) {
    this.timer = clock.schedule(phase.withinMs ?? PHASE_MS, this.end.bind(this));
  }

  start(): void {
    for (const voter of this.phase.voters) this.open.set(voter.disk, { voter, sends: 0, outstanding: 0, resend: null });
    for (const asked of [...this.open.values()]) this.ask(asked);
    if (this.open.size === 0) this.end();
  }

  private ask(asked: Asked): void {
    asked.sends += 1;
    asked.outstanding += 1;
    this.planResend(asked);
    const sentAt = this.clock.now();
    const received = this.receive.bind(this, asked, sentAt);
    void this.phase.send(asked.voter).then(received, received.bind(null, null));
  }

  private planResend(asked: Asked): void {
    const { roundTrips } = this.phase;
    if (!roundTrips || asked.sends >= MAX_SENDS) return;
    const waitMs = roundTrips.resendMs(asked.voter.disk) * RESEND_GROWTH ** (asked.sends - 1);
    asked.resend = this.clock.schedule(waitMs, this.askAgain.bind(this, asked));
  }

  private askAgain(asked: Asked): void {
    if (!this.open.has(asked.voter.disk)) return;
    log.count("register.resent");
    this.ask(asked);
  }

  private receive(asked: Asked, sentAt: number, vote: schema.Vote | null): void {
    asked.outstanding -= 1;
    if (vote) this.phase.roundTrips?.measured(asked.voter.disk, this.clock.now() - sentAt);
    const { voter } = asked;
    if (!this.open.has(voter.disk)) return;
    if (!vote && asked.outstanding > 0) return;
    asked.resend?.stop();
    this.open.delete(voter.disk);
    if (this.isOver) return;
    const { phase } = this;
    if (vote) phase.votes.record(voter, vote);
    if (phase.isEnough() || !phase.isPossible(new Set([...phase.votes.granted, ...this.open.keys()]))) this.end();
  }

  private end(): void {
    if (this.isOver) return;
    this.isOver = true;
    this.timer.stop();
    if (!this.phase.isThorough || !this.phase.isEnough()) this.stopAsking();
    this.resolve();
  }

  private stopAsking(): void {
    for (const asked of this.open.values()) asked.resend?.stop();
    this.open.clear();
  }
}
