/**
 * One register at one control node (design 5): the own voter, the proposer, and the newest value that is known to be chosen,
 * which is published to peers and to this node's other parts.
 */
import * as events from "node:events";
import * as link from "../wire/link.js";
import * as schema from "../wire/schema.js";
import * as types from "../wire/types.js";
import * as log from "../runtime/log.js";
import * as dialer from "../feed/dialer.js";
import * as recovery from "../register/recovery.js";
import * as stepQueue from "../register/step-queue.js";
import * as proposer from "../register/proposer.js";
import type * as registerStep from "../register/register-step.js";
import type * as acceptorClient from "../register/acceptor-client.js";
import * as acceptor from "../register/acceptor.js";
import * as result from "true-myth/result";
import * as registerChannel from "./register-channel.js";
import * as voterReach from "./voters/voter-reach.js";

/** A voter's reply that comes later is of no use to the phase. */
const VOTE_TIMEOUT_MS = 1300;

/** `chosen`: a newer value than all before is known to be chosen. */
export type ReplicaEvents = { chosen: [value: schema.Value] };

/** Which node this is, and the value that its register begins with. */
export interface ReplicaOptions {
  /** Of this process; names its proposals. */
  incarnation: string;
  address: string;
  initialValue: schema.Value;
  /** The configuration's, unless said otherwise. */
  channel?: registerChannel.RegisterChannel;
}

/** Emits `chosen` with each newer value. */
export class RegisterReplica
  extends events.EventEmitter<ReplicaEvents>
  implements acceptorClient.AcceptorClient, recovery.RecoverableRegister
{
  /** Null while this node does not vote. */
  private acceptor: acceptor.Acceptor | null = null;
  private readonly recovery: recovery.Recovery;
  /** Whether this incarnation of the process has learned what is chosen. */
  isConfirmed = false;
  readonly proposer: proposer.Proposer;
  private readonly queue: stepQueue.StepQueue;
  /** The newest value known to be chosen; null until one is learned. */
  chosen: schema.Value | null = null;
  private readonly voterReach: voterReach.VoterReach;
  private readonly channel: registerChannel.RegisterChannel;

  constructor(
    clock: types.Clock,
    private readonly options: ReplicaOptions,
    private readonly dial: dialer.Dialer,
  ) {
    super();
    this.channel = options.channel ?? registerChannel.CONFIGURATION_CHANNEL;
    this.voterReach = new voterReach.VoterReach(options.address, this.channel, dial, () => this.disk);
    this.proposer = new proposer.Proposer(clock, options.incarnation, this, options.initialValue, (value) => this.publishChosen(value));
    this.recovery = new recovery.Recovery(clock, this);
    this.queue = new stepQueue.StepQueue(clock, (step, timeoutMs, isPatient) => this.proposer.change(step, timeoutMs, isPatient));
  }

  /** Identity of the disk that votes here; empty when none does. */
  get disk(): string {
    return this.acceptor?.disk ?? "";
  }

  /** The newest value accepted on the own disk, chosen or not. */
  get accepted(): schema.Value | null {
    return this.acceptor?.accepted?.value ?? null;
  }

  /**
   * The newest voter epoch that may be in force as far as this disk can tell. An accepted value no newer than the
   * chosen one is its ancestor or can never be chosen (hardening 0), so that the chosen one's counts.
   */
  get acceptedVoterEpoch(): types.Epoch {
    const { accepted } = this;
    if (!accepted) return types.NO_EPOCH;
    return this.chosen && accepted.epoch <= this.chosen.epoch ? this.chosen.voterEpoch : accepted.voterEpoch;
  }

  /** The newest epoch accepted on the own disk, chosen or not. */
  get acceptedEpoch(): types.Epoch {
    return this.accepted?.epoch ?? types.NO_EPOCH;
  }

  /** The disk is read: from now on this node may vote. */
  attachVoter(voter: acceptor.Acceptor): void {
    this.acceptor = voter;
    if (!voter.accepted) return;
    const { value } = voter.accepted;
    this.proposer.learnAccepted(value);
    this.dial.addAddresses(addressesOf(value));
  }

  /** This node shuts down: its disk accepts no vote that it does not have. */
  refuseToJoin(): void {
    this.acceptor?.rejectMembership();
  }

  /** From now on this node does not vote; the disk may be closed. */
  detachVoter(): void {
    this.acceptor = null;
  }

  /** Registers the handlers of peers' calls of this register. */
  registerHandlers(handlers: link.Handlers): void {
    const { channel } = this;
    handlers.on(channel.prepare, (_from, request) => this.handlePrepare(request));
    handlers.on(channel.accept, (_from, request) => this.handleAccept(request));
    handlers.on(channel.chosen, (_from, published) => {
      if (published.value) this.learn(published.value);
      return null;
    });
    handlers.on(channel.requestChosen, (_from, request) => {
      const value = this.chosen;
      return { value: value && value.epoch > request.epoch ? value : null };
    });
  }

  /** The link to a voter; null while there is none. */
  linkTo(voter: schema.Voter): link.Link | null {
    return this.voterReach.linkTo(voter);
  }

  /** Whether the voter is this node's own disk. */
  isOwn(voter: schema.Voter): boolean {
    return this.voterReach.isOwn(voter);
  }

  /** Sends a prepare to a voter; null when no vote came in time. */
  prepare(voter: schema.Voter, request: schema.Prepare): Promise<schema.Vote | null> {
    if (this.isOwn(voter)) return this.handlePrepare(request);
    return this.linkTo(voter)?.call(this.channel.prepare, request, VOTE_TIMEOUT_MS) ?? Promise.resolve(null);
  }

  /** Sends an accept to a voter; null when no vote came in time. */
  accept(voter: schema.Voter, request: schema.Accept): Promise<schema.Vote | null> {
    if (this.isOwn(voter)) return this.handleAccept(request);
    return this.linkTo(voter)?.call(this.channel.accept, request, VOTE_TIMEOUT_MS) ?? Promise.resolve(null);
  }

  /** The ballot number that the own voter prepared; 0 without one. */
  preparedBallotNumber(): number {
    return this.acceptor?.preparedBallot.n ?? 0;
  }

  /** The own voter's reply to any proposer. */
  private handlePrepare(request: schema.Prepare): Promise<schema.Vote | null> {
    this.proposer.contention.recordPrepare(request.ballot);
    return this.acceptor ? this.acceptor.prepare(request) : Promise.resolve(null);
  }

  private handleAccept(request: schema.Accept): Promise<schema.Vote | null> {
    this.proposer.contention.recordAccept(request.ballot);
    return this.acceptor ? this.acceptor.accept(request) : Promise.resolve(null);
  }

  /** Whether a majority of the voters can be reached now. */
  hasQuorum(): boolean {
    return this.voterReach.hasQuorum(this.chosen);
  }

  /** How many of the voters in touch may be lost now with the register still deciding; 0 also when it can't. */
  lossesBorne(): number {
    return this.voterReach.lossesBorne(this.chosen);
  }

  /** How many voters in touch come before this node in the order of addresses. */
  voterRank(): number {
    return this.voterReach.rank(this.chosen);
  }

  /** Whether other proposers were active recently, as the own voter saw it. */
  isContended(): boolean {
    return this.proposer.contention.isActive();
  }

  private publishChosen(value: schema.Value): void {
    this.isConfirmed = true;
    if (!this.learn(value)) return;
    for (const control of this.dial.controls.values()) control.link.send(this.channel.chosen, { value });
  }

  /** Learns a chosen value; false when a newer one, or the same, is known already. */
  learn(value: schema.Value): boolean {
    if (this.chosen && value.epoch <= this.chosen.epoch) return false;
    const haveVotersChanged = this.chosen?.voterEpoch !== value.voterEpoch;
    this.chosen = value;
    this.isConfirmed = true;
    this.proposer.learnChosen(value);
    this.dial.addAddresses(addressesOf(value));
    if (haveVotersChanged || this.channel.logsEpochs)
      log.state(`${this.channel.name}: epoch ${value.epoch}, revision ${value.revision}, ${value.voters.length} voters`);
    this.emit("chosen", value);
    return true;
  }

  /** Reads the chosen value of a peer that knows a newer epoch. */
  async catchUp(from: link.Link, epoch: types.Epoch): Promise<void> {
    const knownEpoch = this.chosen?.epoch ?? types.NO_EPOCH;
    if (this.chosen && epoch <= knownEpoch) return;
    const reply = await from.call(this.channel.requestChosen, { epoch: knownEpoch }, VOTE_TIMEOUT_MS);
    if (reply?.value) this.learn(reply.value);
  }

  /** A change of the register itself, such as of its voters: it doesn't wait for other proposers. */
  change(step: registerStep.Step, timeoutMs: number): Promise<registerStep.Outcome> {
    return this.queue.change(step, timeoutMs, true);
  }

  /** An operator's order: in one batch with the others that are queued, and after other proposers' changes. */
  submitOrder(step: registerStep.Step, timeoutMs: number): Promise<registerStep.Outcome> {
    return this.queue.change(step, timeoutMs);
  }

  /** Whether the learner, which has no vote yet, can join: it stores the newest chosen value and syncs it. */
  transferSnapshot(learner: schema.Voter): Promise<boolean> {
    return this.proposer.transferSnapshot(learner);
  }

  /** Has the newest value accepted anew by all voters in touch. */
  repair(timeoutMs: number): Promise<registerStep.Outcome> {
    return this.proposer.repair(timeoutMs);
  }

  /** A linearizable read at a majority. It waits for other proposers' changes, which its prepare would end. */
  read(timeoutMs: number): Promise<registerStep.Outcome> {
    return this.queue.change(unchanged, timeoutMs);
  }

  /** Whether any voter can be reached: another node, or itself as the only voter. */
  canAsk(): boolean {
    return this.dial.controls.size > 0 || this.accepted?.voters.length === 1;
  }

  /** How many nodes in touch come before this one in the order of addresses. */
  rank(): number {
    return [...this.dial.controls.keys()].filter((address) => address < this.options.address).length;
  }

  /** Recovers values that may not be chosen, and voters that lag behind. */
  runPeriodically(): void {
    this.recovery.recoverIfNeeded();
  }
}

/** The step that changes nothing: a read. */
export function unchanged(read: schema.Value): ReturnType<registerStep.Step> {
  return result.ok(read);
}

function addressesOf(value: schema.Value): string[] {
  return [...value.voters, ...value.former].map((voter) => voter.address);
}
