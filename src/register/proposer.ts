/**
 * The proposer of the register (single-decree Paxos, changed in place as in CASPaxos): phase 1 prepares a ballot at a
 * majority of the voters and reads the newest accepted value, phase 2 has them accept the next one. There is no log and
 * no leader; every control node runs a proposer (design 5.2). For the argument why it is safe see hardening 0.
 */
import * as result from "true-myth/result";
import * as log from "../runtime/log.js";
import * as timers from "../runtime/timers.js";
import * as schema from "../wire/schema.js";
import * as types from "../wire/types.js";
import type * as acceptorClient from "./acceptor-client.js";
import * as contention from "./contention.js";
import * as learner from "./learner.js";
import * as phase from "./phase.js";
import * as registerStep from "./register-step.js";
import * as registerValue from "./register-value.js";
import * as roundTrips from "./round-trips.js";

/** A larger configuration is not sent again within a phase: the connection itself retransmits what the network loses. */
const MAX_RESENT_BYTES = 32 * 1024;
const INITIAL_BACKOFF_MS = 40;
const MAX_BACKOFF_MS = 600;
/** Bound while other proposers are active and `contention` keeps the ballots apart: a longer backoff would only let newcomers pass. */
const MAX_CONTENDED_BACKOFF_MS = 50;

/** Changes one register; a control node has one proposer for each of its registers. */
export class Proposer {
  private highestBallot = 0;
  /** Settled once the change before the next one has ended. */
  private previousChange: Promise<unknown> = Promise.resolve();
  private readonly roundTrips = new roundTrips.RoundTrips();
  /** The activity of other proposers, as seen by this node's acceptor. */
  readonly contention: contention.Contention;
  /** The newest value known to be chosen. */
  private newestChosen: schema.Value;
  /** An accepted value newer than `newestChosen` that need not be chosen: its voters get the requests as well, nothing else follows from it. */
  private newestAccepted: schema.Value | null = null;

  constructor(
    private readonly clock: types.Clock,
    private readonly incarnation: string,
    private readonly acceptors: acceptorClient.AcceptorClient,
    initial: schema.Value,
    private readonly onChosen: (value: schema.Value) => void,
  ) {
    this.newestChosen = initial;
    this.contention = new contention.Contention(clock, incarnation);
  }

  /** Records a value that was chosen, received from another node. */
  learnChosen(value: schema.Value): void {
    if (this.newestChosen.voters.length === 0 || value.epoch > this.newestChosen.epoch) this.newestChosen = value;
    if (this.newestAccepted && this.newestAccepted.epoch <= this.newestChosen.epoch) this.newestAccepted = null;
  }

  /** Records a value that some voter has accepted and that need not be chosen: it only adds voters that get requests. */
  learnAccepted(value: schema.Value): void {
    if (this.newestChosen.voters.length > 0 && value.epoch <= this.newestChosen.epoch) return;
    if (!this.newestAccepted || registerValue.isNewer(value, this.newestAccepted)) this.newestAccepted = value;
  }

  /**
   * Runs the step on the newest value until its result is chosen or the step rejects; one change at a time. The time-out
   * counts from this call and includes the wait for earlier changes. While `isPatient()`, each attempt first waits until no
   * other proposer is between its two phases.
   */
  change(step: registerStep.Step, timeoutMs: number, isPatient: () => boolean = () => false): Promise<registerStep.Outcome> {
    const deadline = this.clock.now() + timeoutMs;
    const run = (): Promise<registerStep.Outcome> => this.runUntil(deadline, step, isPatient);
    const outcome = this.previousChange.then(run, run);
    this.previousChange = outcome;
    return outcome;
  }

  /** Has the voters accept the newest value again, also where a quorum has it already, so that lagging disks catch up. */
  repair(timeoutMs: number): Promise<registerStep.Outcome> {
    return this.change(reacceptStep, timeoutMs);
  }

  /** Has a disk without a vote store the newest chosen value; see `learner.transferSnapshot`. */
  transferSnapshot(target: schema.Voter): Promise<boolean> {
    const { clock, incarnation, acceptors, roundTrips } = this;
    return learner.transferSnapshot({ clock, incarnation, acceptors, roundTrips }, target, this.newestChosen);
  }

  private async runUntil(deadline: number, step: registerStep.Step, isPatient: () => boolean): Promise<registerStep.Outcome> {
    let backoffMs = INITIAL_BACKOFF_MS;
    const since = this.clock.now();
    while (this.clock.now() < deadline) {
      if (isPatient()) await this.contention.waitUntilIdle(since, deadline);
      const startedAt = this.clock.now();
      const outcome = await this.runBallot(step);
      if (outcome) {
        this.contention.recordChangeDuration(this.clock.now() - startedAt);
        return outcome;
      }
      log.count("register.ballot_retried");
      await timers.sleep(this.clock, backoffMs * (0.2 + 1.6 * this.clock.random()));
      const isKeptApart = isPatient() && this.contention.isActive();
      backoffMs = Math.min(isKeptApart ? MAX_CONTENDED_BACKOFF_MS : MAX_BACKOFF_MS, backoffMs * 2);
    }
    return registerStep.noMajority();
  }

  /** Both phases at one new ballot. Null: not decided, to be attempted again with a higher ballot. */
  private async runBallot(step: registerStep.Step): Promise<registerStep.Outcome | null> {
    this.highestBallot = Math.max(this.highestBallot, this.acceptors.preparedBallotNumber?.() ?? 0) + 1;
    const ballot = { n: this.highestBallot, by: this.incarnation };
    const prepared = await this.prepare(ballot);
    const read = this.readFrom(prepared);
    if (!read) return null;
    const outcome = step(read);
    const next = outcome.isOk ? outcome.value : read;
    // Nothing builds on joint voters that may never have been chosen: their value is chosen first, unchanged.
    const isReadFirst = next !== read && read.former.length > 0 && !this.isSetChosen(read);
    const proposed = isReadFirst ? read : next;
    // A rejection was decided by a value read at a majority, but that value must be chosen before the caller learns of it.
    const isChosen = (proposed === read && this.isAlreadyAccepted(read, prepared)) || (await this.accept(ballot, read, proposed));
    if (!isChosen) return null;
    this.commit(proposed);
    return isReadFirst ? null : outcome;
  }

  /** The newest value among the prepare replies, if they come from a quorum of that very value's voters. */
  private readFrom(prepared: phase.Votes): schema.Value | null {
    if (prepared.newest) this.learnAccepted(prepared.newest.value);
    const read = prepared.newest ? prepared.newest.value : this.initialIfUnchanged();
    if (!read || !registerValue.isQuorum(read, prepared.granted)) return null;
    return read.epoch < this.newestChosen.epoch ? null : read;
  }

  /** Before the first change no voter need have accepted anything: the initial value counts as read. */
  private initialIfUnchanged(): schema.Value | null {
    return this.newestChosen.epoch === types.FIRST_EPOCH ? this.newestChosen : null;
  }

  /** Whether a quorum has accepted the value at one ballot, and no voter that replied has a conflicting one to overwrite. */
  private isAlreadyAccepted(read: schema.Value, prepared: phase.Votes): boolean {
    if (!registerValue.isQuorum(read, prepared.acceptedBy)) return false;
    const isConflicting = (value: schema.Value): boolean => value.epoch > read.epoch || value.voterEpoch > read.voterEpoch;
    return !prepared.acceptedValues.some(isConflicting);
  }

  /** Whether the voters of a value were chosen together with the former ones, at whatever ballot. */
  private isSetChosen(value: schema.Value): boolean {
    return value.voterEpoch === types.FIRST_EPOCH || registerValue.hasSameVoters(value, this.newestChosen);
  }

  private commit(chosen: schema.Value): void {
    this.learnChosen(chosen);
    // A value accepted at a lower ballot that isn't among its ancestors can't be chosen any more.
    this.newestAccepted = null;
    this.onChosen(chosen);
  }

  private async prepare(ballot: schema.Ballot): Promise<phase.Votes> {
    const votes = new phase.Votes();
    await phase.runPhase(this.clock, {
      voters: this.targets(this.newestChosen).values(),
      send: (voter) => this.acceptors.prepare(voter, { disk: voter.disk, ballot }),
      votes,
      roundTrips: this.roundTrips,
      isEnough: () => this.hasPrepareQuorum(votes),
      isPossible: (disks) => this.canReachPrepareQuorum(votes, disks),
    });
    this.recordVotes(votes);
    return votes;
  }

  private hasPrepareQuorum(votes: phase.Votes): boolean {
    const read = votes.newest ? votes.newest.value : this.initialIfUnchanged();
    return read !== null && registerValue.isQuorum(read, votes.granted);
  }

  /** Voters still to reply may name another set: the phase fails once none of the known sets can reach its quorum. */
  private canReachPrepareQuorum(votes: phase.Votes, disks: ReadonlySet<string>): boolean {
    const candidates = [this.newestChosen, this.newestAccepted, votes.newest ? votes.newest.value : null];
    return candidates.some((value) => value !== null && registerValue.isQuorum(value, disks));
  }

  /** Whether the proposed value was accepted by a quorum of its own voters, former ones included. */
  private async accept(ballot: schema.Ballot, read: schema.Value, proposed: schema.Value): Promise<boolean> {
    const { clock } = this;
    const isSetChosen = proposed.former.length === 0 && (read.former.length === 0 || this.isSetChosen(read));
    const votes = new phase.Votes();
    const roundTrips = proposed.config.length <= MAX_RESENT_BYTES ? this.roundTrips : undefined;
    const added = registerValue.addedVoters(read, proposed);
    const others = this.targets(read, proposed);
    for (const voter of added) others.delete(voter.disk);
    const send: phase.Send = (voter) => this.acceptors.accept(voter, { disk: voter.disk, ballot, isSetChosen, value: proposed });
    const isPossible = (disks: ReadonlySet<string>): boolean => registerValue.isQuorum(proposed, disks);
    const isEnough = (): boolean => isPossible(votes.granted);
    // A former voter accepts a new set only once each voter that it adds has it on its synced disk.
    if (added.length > 0) {
      const hasAllAdded = (disks: ReadonlySet<string>): boolean => added.every((voter) => disks.has(voter.disk));
      await phase.runPhase(clock, {
        voters: added,
        send,
        votes,
        timeoutMs: phase.LEARNER_TIMEOUT_MS,
        roundTrips,
        isEnough: () => hasAllAdded(votes.granted),
        isPossible: hasAllAdded,
      });
      this.recordVotes(votes);
      if (!hasAllAdded(votes.granted)) return false;
    }
    await phase.runPhase(clock, { voters: others.values(), send, votes, roundTrips, continuesAfterQuorum: true, isEnough, isPossible });
    this.recordVotes(votes);
    return isEnough();
  }

  /** The voters of the values, and of the newest accepted one, which are to learn what is chosen. */
  private targets(...values: schema.Value[]): Map<string, schema.Voter> {
    return registerValue.allVoters(...(this.newestAccepted ? [this.newestAccepted] : []), ...values);
  }

  private recordVotes(votes: phase.Votes): void {
    this.highestBallot = Math.max(this.highestBallot, votes.highestRejectedBallot);
    for (const value of votes.acceptedValues) this.learnAccepted(value);
  }
}

/** Equal to the value read, but another object: it counts as a change and goes through both phases. */
function reacceptStep(read: schema.Value): registerStep.Outcome {
  return result.ok({ ...read });
}
