/**
 * Contact with a majority of the voters, measured on the steady clock (design/hardening/1-cut-off): whether what this node
 * holds as chosen counts as current.
 */
import * as events from "node:events";
import * as calls from "../../wire/calls.js";
import type * as leaseSchema from "../../wire/lease-schema.js";
import type * as schema from "../../wire/schema.js";
import * as types from "../../wire/types.js";
import * as log from "../../runtime/log.js";
import * as loopDelay from "../../runtime/loop-delay.js";
import type * as controlNode from "../../feed/control-node.js";
import type * as dialer from "../../feed/dialer.js";
import * as quorumConfirmation from "../../register/quorum-confirmation.js";
import type * as registerReplica from "../register-replica.js";

/** A voter's reply to a request of this node: the voter epoch asked about, when it was sent (own clock), and the reply. */
export type OnReply = (voterEpoch: types.Epoch, sentAt: types.SteadyMs, reply: leaseSchema.FenceReply) => void;

/** Changes of contact. */
export interface QuorumContactEvents {
  /** The chosen value is confirmed again, or for the first time. */
  confirmed: [];
  /** The confirmation expired, or this node is shutting down. */
  lost: [];
}

/** Asks the voters with each heartbeat and tells whether this node is confirmed now. */
export class QuorumContact extends events.EventEmitter<QuorumContactEvents> {
  private wasConfirmed = false;
  private isWithdrawn = false;
  private readonly loopDelay: loopDelay.LoopDelay;
  private changedAt: types.SteadyMs;
  /** Whether this process was ever confirmed. */
  wasEverConfirmed = false;

  constructor(
    private readonly clock: types.Clock,
    private readonly replica: registerReplica.RegisterReplica,
    private readonly dial: dialer.Dialer,
    private readonly onReply: OnReply,
    private readonly confirmation = new quorumConfirmation.Confirmation(clock),
  ) {
    super();
    // Each order in progress listens for the loss of contact.
    this.setMaxListeners(0);
    this.changedAt = clock.now();
    this.loopDelay = new loopDelay.LoopDelay(clock);
    dial.on("up", (control) => this.requestConfirmation(control));
    replica.on("chosen", () => this.handleChosen());
  }

  /** Computed from the clock at each call, so that a process that was suspended finds its confirmation expired. */
  isConfirmed(): boolean {
    return !this.isWithdrawn && this.confirmation.isConfirmed(this.replica.chosen);
  }

  /** Sends a request to all control nodes with a link: a node that is no voter yet may be one soon. */
  requestConfirmations(): void {
    for (const control of this.dial.controls.values()) this.requestConfirmation(control);
    this.runPeriodically();
  }

  /** Counts the own disk, and notices that the confirmation expired. */
  runPeriodically(): void {
    this.loopDelay.recordRun();
    this.confirmOwnDisk();
    this.updateState();
  }

  /** This node shuts down: from now on it is not confirmed, whatever the voters reply. */
  withdraw(): void {
    this.isWithdrawn = true;
    this.updateState();
  }

  /** Whether a missing confirmation may be due to this process itself, which was not run lately: the voters' replies may be unread. */
  mayBeDelayed(): boolean {
    return !this.isWithdrawn && this.loopDelay.wasDelayed(quorumConfirmation.MAX_ANSWER_AGE_MS);
  }

  /** For `status`. */
  status(): unknown {
    const { chosen } = this.replica;
    const isConfirmed = this.isConfirmed();
    return {
      isConfirmed,
      isLeaving: this.isWithdrawn,
      sinceMs: Math.round(this.clock.now() - this.changedAt),
      voters: chosen?.voters.length ?? 0,
      confirming: chosen ? this.confirmingVoters(chosen) : 0,
    };
  }

  private confirmingVoters(chosen: schema.Value): number {
    const disks = this.confirmation.confirmingDisks(chosen);
    return chosen.voters.filter((voter) => disks.has(voter.disk)).length;
  }

  /** After the first value, or another set of voters, confirmation doesn't wait for the next heartbeat. */
  private handleChosen(): void {
    if (this.isConfirmed()) this.updateState();
    else this.requestConfirmations();
  }

  private requestConfirmation(control: controlNode.ControlNode): void {
    const sentAt = this.clock.now();
    const voterEpoch = this.replica.chosen?.voterEpoch ?? types.NO_EPOCH;
    void control.link
      .call(calls.fence, { voterEpoch }, quorumConfirmation.MAX_ANSWER_AGE_MS)
      .then((reply) => reply && this.recordReply(control, voterEpoch, sentAt, reply));
  }

  private recordReply(
    control: controlNode.ControlNode,
    voterEpoch: types.Epoch,
    sentAt: types.SteadyMs,
    reply: leaseSchema.FenceReply,
  ): void {
    this.confirmation.recordAnswer(reply.disk, { sentAt, epoch: types.laterEpoch(reply.acceptedEpoch, reply.chosenEpoch) });
    this.onReply(voterEpoch, sentAt, reply);
    if (reply.chosenEpoch > (this.replica.chosen?.epoch ?? types.NO_EPOCH)) void this.replica.catchUp(control.link, reply.chosenEpoch);
    this.updateState();
  }

  /** The own disk answers at once, as of now. */
  private confirmOwnDisk(): void {
    this.confirmation.recordAnswer(this.replica.disk, { sentAt: this.clock.now(), epoch: this.replica.acceptedEpoch });
  }

  private updateState(): void {
    const isConfirmed = this.isConfirmed();
    if (isConfirmed === this.wasConfirmed) return;
    this.wasConfirmed = isConfirmed;
    this.wasEverConfirmed ||= isConfirmed;
    this.changedAt = this.clock.now();
    log.count(isConfirmed ? "contact.confirmed" : "contact.lost");
    log.state(isConfirmed ? "contact: a majority of the voters confirms" : this.lossMessage());
    this.emit(isConfirmed ? "confirmed" : "lost");
  }

  private lossMessage(): string {
    if (this.isWithdrawn) return "contact: leaving, no longer confirmed";
    return `contact: no majority of the voters confirmed within ${quorumConfirmation.MAX_ANSWER_AGE_MS} ms`;
  }
}
