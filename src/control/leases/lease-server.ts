// This control node as owner of its slot of the bounds: fence with the other voters, replies to routers
// (design/shares 2, 4).
import * as calls from "../../wire/calls.js";
import * as link from "../../wire/link.js";
import type * as leaseSchema from "../../wire/lease-schema.js";
import * as types from "../../wire/types.js";
import * as leaseOwner from "../../limits/lease-owner.js";
import type * as limitShares from "../../limits/limit-shares.js";
import * as slotOwnership from "../../limits/slot-ownership.js";
import type * as quotaPart from "../../tenants/quota-part.js";
import type * as quorumContact from "../voters/quorum-contact.js";
import type * as registerReplica from "../register-replica.js";
import * as quotas from "./quotas.js";

/** The figures of all bounds that are leased. */
export type LeaseBounds = limitShares.Bounds & quotaPart.QuotaBounds;

/** Grants leases while this node is confirmed. */
export class LeaseServer {
  private readonly ownership: slotOwnership.SlotOwnership;
  private readonly owner: leaseOwner.LeaseOwner;
  /** Units of tenants' quotas. */
  readonly quotas: quotas.Quotas;

  constructor(
    clock: types.Clock,
    life: string,
    bounds: LeaseBounds,
    private readonly replica: registerReplica.RegisterReplica,
  ) {
    this.ownership = new slotOwnership.SlotOwnership(clock);
    this.owner = new leaseOwner.LeaseOwner(clock, life, bounds, this.ownership);
    this.quotas = new quotas.Quotas(clock, life, bounds, replica);
  }

  updateSettings(bounds: LeaseBounds): void {
    this.owner.applyBounds(bounds);
    this.quotas.updateSettings(bounds);
  }

  /** Answers routers that ask for leases, and control nodes that ask what this voter knows (quorum-contact.ts). */
  registerHandlers(handlers: link.Handlers, contact: quorumContact.QuorumContact): void {
    handlers.on(calls.lease, this.lease.bind(this, contact));
    handlers.on(calls.fence, this.fence.bind(this));
    this.quotas.registerHandlers(handlers, contact);
  }

  private lease(contact: quorumContact.QuorumContact, _from: link.Link, ask: leaseSchema.LeaseAsk): leaseSchema.LeaseReply {
    this.applyChosen();
    return this.owner.reply(ask, contact.isConfirmed() ? this.replica.acceptedVoterEpoch : null);
  }

  private fence(_from: link.Link, ask: leaseSchema.FenceAsk): leaseSchema.FenceReply {
    this.applyChosen();
    const { disk, acceptedVoterEpoch, acceptedEpoch, chosen } = this.replica;
    return {
      disk,
      voterEpoch: acceptedVoterEpoch,
      knownMs: this.ownership.knownMs(ask.voterEpoch),
      acceptedEpoch,
      chosenEpoch: chosen?.epoch ?? types.NO_EPOCH,
    };
  }

  private applyChosen(): void {
    if (this.replica.chosen) this.ownership.applyValue(this.replica.chosen, this.replica.disk);
    this.quotas.applyChosen();
  }

  /** A voter's reply to one of the contact's asks; see OnReply of quorum-contact.ts. */
  recordFenceReply(asked: types.Epoch, sentAt: types.SteadyMs, reply: leaseSchema.FenceReply): void {
    this.applyChosen();
    this.ownership.recordFenceReply(asked, sentAt, reply);
    this.quotas.recordFenceReply(asked, sentAt, reply);
  }
}
