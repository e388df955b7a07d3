// Contact with a majority of the voters, measured on the steady clock (design/hardening/1-cut-off).
import * as events from "node:events";
import * as calls from "../../wire/calls.js";
import type * as leaseSchema from "../../wire/lease-schema.js";
import type * as schema from "../../wire/schema.js";
import * as types from "../../wire/types.js";
import * as log from "../../runtime/log.js";
import type * as dialer from "../../feed/dialer.js";
import type * as registerReplica from "../register-replica.js";
import * as quorumConfirmation from "../../register/quorum-confirmation.js";

/** A voter's answer to an ask of this node: the voter epoch asked for, when (own clock), and the reply. */
export type OnReply = (asked: types.Epoch, sentAt: types.SteadyMs, reply: leaseSchema.FenceReply) => void;

/** Changes of contact. */
export interface QuorumContactEvents {
  /** The chosen value is confirmed again, or for the first time. */
  confirmed: [];
  /** The confirmation ran out, or this node is leaving. */
  lost: [];
}

/** Asks the voters with each beat and tells whether this node is confirmed now. */
export class QuorumContact extends events.EventEmitter<QuorumContactEvents> {
  private wasConfirmed = false;
  private isWithdrawn = false;
  private changedAt: types.SteadyMs;
  /** Whether this process was ever confirmed. */
  wasEverConfirmed = false;

  constructor(
    private readonly world: types.Clock,
    private readonly core: registerReplica.RegisterReplica,
    private readonly dial: dialer.Dialer,
    private readonly onReply: OnReply,
    private readonly confirmation = new quorumConfirmation.Confirmation(world),
  ) {
    super();
    // Each order that is under way listens for the loss of contact.
    this.setMaxListeners(0);
    this.changedAt = world.now();
    dial.on("up", this.requestConfirmation.bind(this));
    core.on("chosen", this.handleChosen.bind(this));
  }

  /** Judged by the clock at each call, so that a process that stood still finds its confirmation expired. */
  isConfirmed(): boolean {
    return !this.isWithdrawn && this.confirmation.isConfirmed(this.core.chosen);
  }

  /** Asks all control nodes with a link; whoever is no voter yet may be one soon. */
  requestConfirmations(): void {
    for (const control of this.dial.controls.values()) this.requestConfirmation(control);
    this.runPeriodically();
  }

  /** Hears the own disk, and notices that the confirmation ran out. */
  runPeriodically(): void {
    this.confirmOwnDisk();
    this.updateState();
  }

  /** This node leaves: from now on it is not confirmed, whatever the voters say. */
  withdraw(): void {
    this.isWithdrawn = true;
    this.updateState();
  }

  status(): unknown {
    const { chosen } = this.core;
    const isConfirmed = this.isConfirmed();
    return {
      isConfirmed,
      isLeaving: this.isWithdrawn,
      sinceMs: Math.round(this.world.now() - this.changedAt),
      voters: chosen?.voters.length ?? 0,
      confirming: chosen ? this.confirmingVoters(chosen) : 0,
    };
  }

  private confirmingVoters(chosen: schema.Value): number {
    const disks = this.confirmation.confirmingDisks(chosen);
    return chosen.voters.filter(isAnswering).length;
    function isAnswering(voter: schema.Voter): boolean {
      return disks.has(voter.disk);
    }
  }

  /** After the first value, or another set of voters, the answer is not left to the next beat. */
  private handleChosen(): void {
    if (this.isConfirmed()) this.updateState();
    else this.requestConfirmations();
  }

  private requestConfirmation(control: dialer.Control): void {
    const sentAt = this.world.now();
    const asked = this.core.chosen?.voterEpoch ?? types.NO_EPOCH;
    void control.link
      .call(calls.fence, { voterEpoch: asked }, quorumConfirmation.MAX_ANSWER_AGE_MS)
      .then(this.recordReply.bind(this, control, asked, sentAt));
  }

  private recordReply(control: dialer.Control, asked: types.Epoch, sentAt: types.SteadyMs, reply: leaseSchema.FenceReply | null): void {
    if (!reply) return;
    this.confirmation.recordAnswer(reply.disk, { sentAt, epoch: types.laterEpoch(reply.acceptedEpoch, reply.chosenEpoch) });
    this.onReply(asked, sentAt, reply);
    if (reply.chosenEpoch > (this.core.chosen?.epoch ?? types.NO_EPOCH)) void this.core.catchUp(control.link, reply.chosenEpoch);
    this.updateState();
  }

  /** The own disk answers at once, as of now. */
  private confirmOwnDisk(): void {
    this.confirmation.recordAnswer(this.core.disk, { sentAt: this.world.now(), epoch: this.core.acceptedEpoch });
  }

  private updateState(): void {
    const isConfirmed = this.isConfirmed();
    if (isConfirmed === this.wasConfirmed) return;
    this.wasConfirmed = isConfirmed;
    this.wasEverConfirmed ||= isConfirmed;
    this.changedAt = this.world.now();
    log.count(isConfirmed ? "contact.confirmed" : "contact.lost");
    log.state(isConfirmed ? "contact: a majority of the voters confirms" : this.lostLine());
    this.emit(isConfirmed ? "confirmed" : "lost");
  }

  private lostLine(): string {
    if (this.isWithdrawn) return "contact: leaving, no longer confirmed";
    return `contact: no majority of the voters confirmed within ${quorumConfirmation.MAX_ANSWER_AGE_MS} ms`;
  }
}
