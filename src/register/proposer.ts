// Proposer of the register: changes the value in two phases at a majority of the voters, with no log and no leader.
// Every control node runs one (design 5.2). Why it is safe: hardening 0.
import * as result from "true-myth/result";
import * as errors from "../runtime/errors.js";
import * as log from "../runtime/log.js";
import * as schema from "../wire/schema.js";
import * as types from "../wire/types.js";
import * as timers from "../runtime/timers.js";
import * as contention from "./contention.js";
import * as learner from "./learner.js";
import * as roundTrips from "./round-trips.js";
import * as round from "./round.js";
import * as registers from "./value.js";

/** Reaches one voter; null when it stays silent. */
export interface Reach {
  prepare(voter: schema.Voter, ask: schema.Prepare): Promise<schema.Vote | null>;
  accept(voter: schema.Voter, ask: schema.Accept): Promise<schema.Vote | null>;
  /** The ballot number that the own voter has promised, if there is one: a lower one would be denied. */
  promised?(): number;
}

/** Computes the next value from the one read; the value read itself means no change, an error denies the change. */
export type Step = (read: schema.Value) => result.Result<schema.Value, errors.CranewindError>;
/** The value that was chosen with the step, or why there is none. */
export type Outcome = result.Result<schema.Value, errors.CranewindError>;

/** A larger configuration is not sent again within a phase: the link itself repeats what the network loses. */
const MAX_RESENT_BYTES = 32 * 1024;
const FIRST_PAUSE_MS = 40;
const MAX_PAUSE_MS = 600;
/** While others propose and a patient change waits for them: `contention` keeps them apart, so that a longer pause would only let newcomers pass. */
const MAX_CONTENDED_PAUSE_MS = 50;

/** One for each register of a control node. */
export class Proposer {
  private highestBallot = 0;
  private last: Promise<unknown> = Promise.resolve();
  private readonly roundTrips = new roundTrips.RoundTrips();
  /** What other proposers do, as this node's voter sees it. */
  readonly contention: contention.Contention;
  /** The newest value known to be chosen. */
  private known: schema.Value;
  /** An accepted value newer than `known`, not known to be chosen: its voters are asked as well, nothing else follows from it. */
  private hint: schema.Value | null = null;

  constructor(
    private readonly clock: types.Clock,
    private readonly life: string,
    private readonly reach: Reach,
    first: schema.Value,
    private readonly onChosen: (value: schema.Value) => void,
  ) {
    this.known = first;
    this.contention = new contention.Contention(clock, life);
  }

  /** Takes a value that was chosen, as heard from another node. */
  learnChosen(value: schema.Value): void {
    if (this.known.voters.length === 0 || value.epoch > this.known.epoch) this.known = value;
    if (this.hint && this.hint.epoch <= this.known.epoch) this.hint = null;
  }

  /** Takes a value that some voter has accepted and that need not be chosen: it only widens whom to ask. */
  learnAccepted(value: schema.Value): void {
    if (this.known.voters.length > 0 && value.epoch <= this.known.epoch) return;
    if (!this.hint || registers.isNewer(value, this.hint)) this.hint = value;
  }

  /**
   * Runs the step on the newest value until it is chosen or denied; one change at a time. Times count from this call.
   * While isPatient, each round waits until no other proposer is in the middle of one.
   */
  change(step: Step, withinMs: number, isPatient: () => boolean = () => false): Promise<Outcome> {
    const until = this.clock.now() + withinMs;
    const run = this.attempt.bind(this, step, until, isPatient);
    const outcome = this.last.then(run, run);
    this.last = outcome;
    return outcome;
  }

  /** As a change that changes nothing, but the voters accept the newest value anew, also where a quorum holds it. */
  spread(withinMs: number): Promise<Outcome> {
    return this.change(renewed, withinMs);
  }

  /** Has a disk without a vote store the newest chosen value: see `learners.teach`. */
  teach(joiner: schema.Voter): Promise<boolean> {
    const { clock, life, reach, roundTrips } = this;
    return learner.teach({ clock, life, reach, roundTrips }, joiner, this.known);
  }

  private async attempt(step: Step, until: number, isPatient: () => boolean): Promise<Outcome> {
    let pause = FIRST_PAUSE_MS;
    const since = this.clock.now();
    while (this.clock.now() < until) {
      if (isPatient()) await this.contention.clear(since, until);
      const startedAt = this.clock.now();
      const outcome = await this.round(step);
      if (outcome) {
        this.contention.changed(this.clock.now() - startedAt);
        return outcome;
      }
      log.count("register.again");
      await timers.sleep(this.clock, pause * (0.2 + 1.6 * this.clock.random()));
      const isKeptApart = isPatient() && this.contention.isActive();
      pause = Math.min(isKeptApart ? MAX_CONTENDED_PAUSE_MS : MAX_PAUSE_MS, pause * 2);
    }
    return result.err(new errors.NoQuorumError("no majority of the core replied in time", "send the call again, to any control node"));
  }

  /** Null: not decided in this round, which is run again with a higher ballot. */
  private async round(step: Step): Promise<Outcome | null> {
    this.highestBallot = Math.max(this.highestBallot, this.reach.promised?.() ?? 0) + 1;
    const ballot = { n: this.highestBallot, by: this.life };
    const promises = await this.prepare(ballot);
    const read = this.readFrom(promises);
    if (!read) return null;
    const outcome = step(read);
    const next = outcome.isOk ? outcome.value : read;
    // Nothing is built on joint voters that may never have been chosen: they are chosen first, as they stand.
    const isReadFirst = next !== read && read.former.length > 0 && !this.isSetChosen(read);
    const proposed = isReadFirst ? read : next;
    // What is denied was read at a majority, but must be chosen before anybody hears of it.
    const isChosen = (proposed === read && this.isStanding(read, promises)) || (await this.accept(ballot, read, proposed));
    if (!isChosen) return null;
    this.finish(proposed);
    return isReadFirst ? null : outcome;
  }

  /** The newest value that the promises show, if they come from a quorum of that very value's voters. */
  private readFrom(promises: round.Votes): schema.Value | null {
    if (promises.newest) this.learnAccepted(promises.newest.value);
    const read = promises.newest ? promises.newest.value : this.firstOnly();
    if (!read || !registers.isQuorum(read, promises.granted)) return null;
    return read.epoch < this.known.epoch ? null : read;
  }

  /** Before the first change nobody need have accepted anything. */
  private firstOnly(): schema.Value | null {
    return this.known.epoch === types.FIRST_EPOCH ? this.known : null;
  }

  /** Whether a quorum has accepted the value at one ballot, and no voter that replied shows another that should be overwritten. */
  private isStanding(read: schema.Value, promises: round.Votes): boolean {
    if (!registers.isQuorum(read, promises.holders)) return false;
    return !promises.shown.some(isStray);
    function isStray(value: schema.Value): boolean {
      return value.epoch > read.epoch || value.voterEpoch > read.voterEpoch;
    }
  }

  /** Whether the voters of a value were chosen together with the former ones, at whatever ballot. */
  private isSetChosen(value: schema.Value): boolean {
    return value.voterEpoch === types.FIRST_EPOCH || registers.isSameSet(value, this.known);
  }

  private finish(chosen: schema.Value): void {
    this.learnChosen(chosen);
    // Whatever was accepted at a lower ballot and isn't among its ancestors can't be chosen any more.
    this.hint = null;
    this.onChosen(chosen);
  }

  private async prepare(ballot: schema.Ballot): Promise<round.Votes> {
    const { reach } = this;
    const votes = new round.Votes();
    const isEnough = this.isRead.bind(this, votes);
    const isPossible = this.isReadable.bind(this, votes);
    await round.run(this.clock, {
      voters: this.targets(this.known).values(),
      send,
      votes,
      roundTrips: this.roundTrips,
      isEnough,
      isPossible,
    });
    this.take(votes);
    return votes;
    function send(voter: schema.Voter): Promise<schema.Vote | null> {
      return reach.prepare(voter, { disk: voter.disk, ballot });
    }
  }

  private isRead(votes: round.Votes): boolean {
    const read = votes.newest ? votes.newest.value : this.firstOnly();
    return read !== null && registers.isQuorum(read, votes.granted);
  }

  /** Voters still to reply may show another set: the phase is in vain once none of those known can come together. */
  private isReadable(votes: round.Votes, disks: ReadonlySet<string>): boolean {
    const sets = [this.known, this.hint, votes.newest ? votes.newest.value : null];
    return sets.some(isPossible);
    function isPossible(value: schema.Value | null): boolean {
      return value !== null && registers.isQuorum(value, disks);
    }
  }

  /** Whether the proposed value was accepted by a quorum of its own voters, former ones included. */
  private async accept(ballot: schema.Ballot, read: schema.Value, proposed: schema.Value): Promise<boolean> {
    const { reach, clock } = this;
    const isSetChosen = proposed.former.length === 0 && (read.former.length === 0 || this.isSetChosen(read));
    const votes = new round.Votes();
    const roundTrips = proposed.config.length <= MAX_RESENT_BYTES ? this.roundTrips : undefined;
    const others = this.targets(read, proposed);
    const joiners = registers.joinersOf(read, proposed);
    for (const voter of joiners) others.delete(voter.disk);
    // A former voter accepts new voters only once each joiner has them on its synced disk.
    if (joiners.length > 0) {
      const withinMs = round.JOINER_MS;
      await round.run(clock, { voters: joiners, send, votes, withinMs, roundTrips, isEnough: hasJoiners, isPossible: areAllIn });
      this.take(votes);
      if (!hasJoiners()) return false;
    }
    await round.run(clock, { voters: others.values(), send, votes, roundTrips, isThorough: true, isEnough, isPossible });
    this.take(votes);
    return isEnough();
    function send(voter: schema.Voter): Promise<schema.Vote | null> {
      return reach.accept(voter, { disk: voter.disk, ballot, isSetChosen, value: proposed });
    }
    function areAllIn(disks: ReadonlySet<string>): boolean {
      return joiners.every((voter) => disks.has(voter.disk));
    }
    function hasJoiners(): boolean {
      return areAllIn(votes.granted);
    }
    function isPossible(disks: ReadonlySet<string>): boolean {
      return registers.isQuorum(proposed, disks);
    }
    function isEnough(): boolean {
      return isPossible(votes.granted);
    }
  }

  /** The voters of the values and of the hint, whose holders are to hear what is decided. */
  private targets(...values: schema.Value[]): Map<string, schema.Voter> {
    return registers.allVoters(...(this.hint ? [this.hint] : []), ...values);
  }

  private take(votes: round.Votes): void {
    this.highestBallot = Math.max(this.highestBallot, votes.highestDenied);
    for (const value of votes.shown) this.learnAccepted(value);
  }
}

/** Equal to the value read, yet another object: it counts as a change and goes through both phases. */
function renewed(read: schema.Value): Outcome {
  return result.ok({ ...read });
}
