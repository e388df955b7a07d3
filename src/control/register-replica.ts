// This node's part in the register: voter, proposer, what is chosen, and its news (design 5).
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

const VOTE_TIMEOUT_MS = 1300;

/** `chosen`: a newer value than all before is known to be chosen. */
export type ReplicaEvents = { chosen: [value: schema.Value] };

/** Which node this is, and the value that it begins with. */
export interface ReplicaOptions {
  incarnation: string;
  address: string;
  initialValue: schema.Value;
  channel?: registerChannel.RegisterChannel;
}

/** Voter, proposer and knowledge of one register at one control node. */
export class RegisterReplica
  extends events.EventEmitter<ReplicaEvents>
  implements acceptorClient.AcceptorClient, recovery.RecoverableRegister
{
  private acceptor: acceptor.Acceptor | null = null;
  private readonly recovery: recovery.Recovery;
  /** Whether this life of the process has learned what is chosen. */
  isConfirmed = false;
  readonly proposer: proposer.Proposer;
  private readonly queue: stepQueue.StepQueue;
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
    this.proposer = new proposer.Proposer(clock, options.incarnation, this, options.initialValue, this.publishChosen.bind(this));
    this.recovery = new recovery.Recovery(clock, this);
    this.queue = new stepQueue.StepQueue(clock, this.proposer.change.bind(this.proposer));
  }

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
    if (voter.accepted) {
      this.proposer.learnAccepted(voter.accepted.value);
      this.dial.addAddresses(addressesOf(voter.accepted.value));
    }
  }

  /** This node leaves: its disk takes no vote that it does not have. */
  refuseToJoin(): void {
    this.acceptor?.rejectMembership();
  }

  /** From now on this node does not vote; the disk may be closed. */
  detachVoter(): void {
    this.acceptor = null;
  }

  /** Answers the siblings' calls of this register. */
  registerHandlers(handlers: link.Handlers): void {
    const { channel } = this;
    handlers.on(channel.prepare, (_from, ask) => this.handlePrepare(ask));
    handlers.on(channel.accept, (_from, ask) => this.handleAccept(ask));
    handlers.on(channel.chosen, (_from, news) => {
      if (news.value) this.learn(news.value);
      return null;
    });
    handlers.on(channel.requestChosen, (_from, asked) => {
      const value = this.chosen;
      return { value: value && value.epoch > asked.epoch ? value : null };
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

  prepare(voter: schema.Voter, ask: schema.Prepare): Promise<schema.Vote | null> {
    if (this.isOwn(voter)) return this.handlePrepare(ask);
    return this.linkTo(voter)?.call(this.channel.prepare, ask, VOTE_TIMEOUT_MS) ?? Promise.resolve(null);
  }

  accept(voter: schema.Voter, ask: schema.Accept): Promise<schema.Vote | null> {
    if (this.isOwn(voter)) return this.handleAccept(ask);
    return this.linkTo(voter)?.call(this.channel.accept, ask, VOTE_TIMEOUT_MS) ?? Promise.resolve(null);
  }

  preparedBallotNumber(): number {
    return this.acceptor?.preparedBallot.n ?? 0;
  }

  /** This node's own voter, asked by any proposer. */
  private handlePrepare(ask: schema.Prepare): Promise<schema.Vote | null> {
    this.proposer.contention.recordPrepare(ask.ballot);
    return this.acceptor ? this.acceptor.prepare(ask) : Promise.resolve(null);
  }

  private handleAccept(ask: schema.Accept): Promise<schema.Vote | null> {
    this.proposer.contention.recordAccept(ask.ballot);
    return this.acceptor ? this.acceptor.accept(ask) : Promise.resolve(null);
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

  /** Whether other proposers were at work lately, as the own voter saw it. */
  isContended(): boolean {
    return this.proposer.contention.isActive();
  }

  private publishChosen(value: schema.Value): void {
    this.isConfirmed = true;
    if (!this.learn(value)) return;
    for (const control of this.dial.controls.values()) control.link.tell(this.channel.chosen, { value });
  }

  /** Takes what is chosen; never goes back. */
  learn(value: schema.Value): boolean {
    if (this.chosen && value.epoch <= this.chosen.epoch) return false;
    const isNewSet = this.chosen?.voterEpoch !== value.voterEpoch;
    this.chosen = value;
    this.isConfirmed = true;
    this.proposer.learnChosen(value);
    this.dial.addAddresses(addressesOf(value));
    if (isNewSet || this.channel.logsEpochs)
      log.state(`${this.channel.name}: epoch ${value.epoch}, revision ${value.revision}, ${value.voters.length} voters`);
    this.emit("chosen", value);
    return true;
  }

  /** Asks a sibling that knows a newer epoch. */
  async catchUp(from: link.Link, epoch: types.Epoch): Promise<void> {
    if (this.chosen && epoch <= this.chosen.epoch) return;
    const reply = await from.call(this.channel.requestChosen, { epoch: this.chosen ? this.chosen.epoch : types.NO_EPOCH }, VOTE_TIMEOUT_MS);
    if (reply?.value) this.learn(reply.value);
  }

  /** A change of the core's own, such as of its voters: it waits for nobody. */
  change(step: registerStep.Step, withinMs: number): Promise<registerStep.Outcome> {
    return this.queue.change(step, withinMs, true);
  }

  /** An operator's order: in one batch with the others that wait, and after other proposers' rounds. */
  submitOrder(step: registerStep.Step, withinMs: number): Promise<registerStep.Outcome> {
    return this.queue.change(step, withinMs);
  }

  /** Whether the disk, which has no vote yet, can join: it stores the newest chosen value and syncs it. */
  transferSnapshot(joiner: schema.Voter): Promise<boolean> {
    return this.proposer.transferSnapshot(joiner);
  }

  /** Has the newest value accepted anew by all voters in touch. */
  repair(withinMs: number): Promise<registerStep.Outcome> {
    return this.proposer.repair(withinMs);
  }

  /** Reads at a majority; never a local guess. It waits for other proposers' rounds, which its prepare would end. */
  read(withinMs: number): Promise<registerStep.Outcome> {
    return this.queue.change(unchanged, withinMs);
  }

  /** Whether there is anybody to ask: another node, or itself as a core of one. */
  canAsk(): boolean {
    return this.dial.controls.size > 0 || this.accepted?.voters.length === 1;
  }

  rank(): number {
    return [...this.dial.controls.keys()].filter((address) => address < this.options.address).length;
  }

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
