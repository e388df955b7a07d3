// This control node as owner of its slot of the bounds: fence with the other voters, replies to routers
// (design/shares 2, 4).
import * as calls from "../../wire/calls.js";
import * as link from "../../wire/link.js";
import type * as leaseSchema from "../../wire/lease-schema.js";
import * as types from "../../wire/types.js";
import * as owner from "../../limits/owner.js";
import type * as parts from "../../limits/parts.js";
import * as tenure from "../../limits/tenure.js";
import type * as quotaPart from "../../tenants/quota-part.js";
import type * as quorumContact from "../voters/quorum-contact.js";
import type * as registerReplica from "../register-replica.js";
import * as quotas from "./quotas.js";

/** The figures of all bounds that are leased. */
export type LeaseBounds = parts.Bounds & quotaPart.QuotaBounds;

/** Grants leases while this node is confirmed. */
export class LeaseServer {
  private readonly tenure: tenure.Tenure;
  private readonly owner: owner.LeaseOwner;
  /** Units of tenants' quotas. */
  readonly quotas: quotas.Quotas;

  constructor(
    clock: types.Clock,
    life: string,
    bounds: LeaseBounds,
    private readonly replica: registerReplica.RegisterReplica,
  ) {
    this.tenure = new tenure.Tenure(clock);
    this.owner = new owner.LeaseOwner(clock, life, bounds, this.tenure);
    this.quotas = new quotas.Quotas(clock, life, bounds, replica);
  }

  updateSettings(bounds: LeaseBounds): void {
    this.owner.resettle(bounds);
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
      knownMs: this.tenure.knownMs(ask.voterEpoch),
      acceptedEpoch,
      chosenEpoch: chosen?.epoch ?? types.NO_EPOCH,
    };
  }

  private applyChosen(): void {
    if (this.replica.chosen) this.tenure.take(this.replica.chosen, this.replica.disk);
    this.quotas.applyChosen();
  }

  /** A voter's reply to one of the contact's asks; see OnReply of quorum-contact.ts. */
  recordFenceReply(asked: types.Epoch, sentAt: types.SteadyMs, reply: leaseSchema.FenceReply): void {
    this.applyChosen();
    this.tenure.hear(asked, sentAt, reply);
    this.quotas.recordFenceReply(asked, sentAt, reply);
  }
}
