/**
 * One phase of a ballot, prepare or accept: sends a request to a set of voters, again to those that stay silent, and
 * collects their votes until these decide (design 5.2).
 */
import * as schema from "../wire/schema.js";
import * as types from "../wire/types.js";
import * as log from "../runtime/log.js";
import type * as roundTrips from "./round-trips.js";
import * as registerValue from "./register-value.js";

/** A voter that has not replied by then, this node's own included, counts as silent in this phase. */
const PHASE_TIMEOUT_MS = 1300;
/** The same for disks without a vote yet: a change of voters must not block other changes for long. */
export const LEARNER_TIMEOUT_MS = 600;
/** Requests of one phase to one voter, and the factor by which the wait before each next one grows. */
const MAX_SENDS = 6;
const RESEND_GROWTH = 1.2;

/** Sends the request to one voter; null: no reply came. */
export type Send = (voter: schema.Voter) => Promise<schema.Vote | null>;

/** The votes of one phase. */
export class Votes {
  /** Disks that granted the ballot. */
  readonly granted = new Set<string>();
  /** Of all values in their replies, the one accepted at the highest ballot. */
  newest: schema.Accepted | null = null;
  /** Disks that granted the ballot and have accepted `newest` at its very ballot. */
  readonly acceptedBy = new Set<string>();
  /** Values accepted by any voter that replied, granted or not: none need be chosen. */
  readonly acceptedValues: schema.Value[] = [];
  /** The highest ballot number that a voter named in a rejection. */
  highestRejectedBallot = 0;

  /** Records the reply of one voter. */
  record(voter: schema.Voter, vote: schema.Vote): void {
    if (vote.accepted) this.acceptedValues.push(vote.accepted.value);
    // Another disk replies at that address: the voter is gone, which counts as silence and not as a rejection.
    if (vote.disk !== voter.disk) return;
    if (!vote.isGranted) {
      this.highestRejectedBallot = Math.max(this.highestRejectedBallot, vote.ballot.n);
      return;
    }
    this.granted.add(voter.disk);
    if (vote.accepted) this.recordAccepted(voter, vote.accepted);
  }

  private recordAccepted(voter: schema.Voter, accepted: schema.Accepted): void {
    const order = this.newest ? registerValue.compareBallots(accepted.ballot, this.newest.ballot) : 1;
    if (order > 0) {
      this.newest = accepted;
      this.acceptedBy.clear();
    }
    if (order >= 0) this.acceptedBy.add(voter.disk);
  }
}

/** Parameters of one phase. */
export interface Phase {
  voters: Iterable<schema.Voter>;
  send: Send;
  votes: Votes;
  timeoutMs?: number;
  /** Round trips to the voters, by which requests are sent again; without them each voter gets one. */
  roundTrips?: roundTrips.RoundTrips;
  /** Whether requests to silent voters go on once the votes suffice, so that their disks don't lag behind. */
  continuesAfterQuorum?: boolean;
  /** Whether the votes so far decide the phase. */
  isEnough(): boolean;
  /** Whether they still can, if all the given disks grant it. */
  isPossible(disks: ReadonlySet<string>): boolean;
}

/** Resolves once the votes suffice, once they can't any more, or after the time-out. Later replies are dropped. */
export function runPhase(clock: types.Clock, phase: Phase): Promise<void> {
  return new Promise((resolve) => new PhaseRun(clock, phase, resolve).start());
}

/** The requests of one phase that are in flight to one voter. */
interface VoterRequests {
  readonly voter: schema.Voter;
  /** Requests sent, and those of them that may still be replied to. */
  sends: number;
  inFlight: number;
  resendTimer: types.Timer | null;
}

/**
 * One phase. A second prepare or accept at the same ballot changes nothing at a voter, so a request may be sent again
 * while earlier ones are in flight; whichever reply comes first counts. A voter whose requests have all failed counts as
 * silent at once: there is no connection to it.
 */
class PhaseRun {
  private readonly open = new Map<string, VoterRequests>();
  private readonly timer: types.Timer;
  private isOver = false;

  constructor(
    private readonly clock: types.Clock,
    private readonly phase: Phase,
    private readonly resolve: () => void,
  ) {
    this.timer = clock.schedule(phase.timeoutMs ?? PHASE_TIMEOUT_MS, () => this.end());
  }

  start(): void {
    for (const voter of this.phase.voters) this.open.set(voter.disk, { voter, sends: 0, inFlight: 0, resendTimer: null });
    for (const requests of [...this.open.values()]) this.send(requests);
    if (this.open.size === 0) this.end();
  }

  private send(requests: VoterRequests): void {
    requests.sends += 1;
    requests.inFlight += 1;
    this.scheduleResend(requests);
    const sentAt = this.clock.now();
    void this.phase.send(requests.voter).then(
      (vote) => this.receive(requests, sentAt, vote),
      () => this.receive(requests, sentAt, null),
    );
  }

  private scheduleResend(requests: VoterRequests): void {
    const { roundTrips } = this.phase;
    if (!roundTrips || requests.sends >= MAX_SENDS) return;
    const delayMs = roundTrips.resendMs(requests.voter.disk) * RESEND_GROWTH ** (requests.sends - 1);
    requests.resendTimer = this.clock.schedule(delayMs, () => this.resend(requests));
  }

  private resend(requests: VoterRequests): void {
    if (!this.open.has(requests.voter.disk)) return;
    log.count("register.resent");
    this.send(requests);
  }

  private receive(requests: VoterRequests, sentAt: number, vote: schema.Vote | null): void {
    requests.inFlight -= 1;
    const { voter } = requests;
    if (vote) this.phase.roundTrips?.recordRoundTrip(voter.disk, this.clock.now() - sentAt);
    if (!this.open.has(voter.disk)) return;
    if (!vote && requests.inFlight > 0) return;
    requests.resendTimer?.stop();
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
    if (!this.phase.continuesAfterQuorum || !this.phase.isEnough()) this.cancelRequests();
    this.resolve();
  }

  private cancelRequests(): void {
    for (const requests of this.open.values()) requests.resendTimer?.stop();
    this.open.clear();
  }
}
