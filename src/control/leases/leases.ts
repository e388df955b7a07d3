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
import type * as contacts from "../voters/contact.js";
import type * as cores from "../core.js";
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
    world: types.Clock,
    life: string,
    bounds: LeaseBounds,
    private readonly core: cores.Core,
  ) {
    this.tenure = new tenure.Tenure(world);
    this.owner = new owner.LeaseOwner(world, life, bounds, this.tenure);
    this.quotas = new quotas.Quotas(world, life, bounds, core);
  }

  resettle(bounds: LeaseBounds): void {
    this.owner.resettle(bounds);
    this.quotas.resettle(bounds);
  }

  /** Answers routers that ask for leases, and control nodes that ask what this voter knows (contact.ts). */
  register(handlers: link.Handlers, contact: contacts.Contact): void {
    handlers.on(calls.lease, this.lease.bind(this, contact));
    handlers.on(calls.fence, this.fence.bind(this));
    this.quotas.register(handlers, contact);
  }

  private lease(contact: contacts.Contact, _from: link.Link, ask: leaseSchema.LeaseAsk): leaseSchema.LeaseReply {
    this.follow();
    return this.owner.reply(ask, contact.isConfirmed() ? this.core.acceptedVoterEpoch : null);
  }

  private fence(_from: link.Link, ask: leaseSchema.FenceAsk): leaseSchema.FenceReply {
    this.follow();
    const { disk, acceptedVoterEpoch, acceptedEpoch, chosen } = this.core;
    return {
      disk,
      voterEpoch: acceptedVoterEpoch,
      knownMs: this.tenure.knownMs(ask.voterEpoch),
      acceptedEpoch,
      chosenEpoch: chosen?.epoch ?? types.NO_EPOCH,
    };
  }

  private follow(): void {
    if (this.core.chosen) this.tenure.take(this.core.chosen, this.core.disk);
    this.quotas.follow();
  }

  /** A voter's reply to one of the contact's asks; see OnReply of contact.ts. */
  takeReply(asked: types.Epoch, sentAt: types.SteadyMs, reply: leaseSchema.FenceReply): void {
    this.follow();
    this.tenure.hear(asked, sentAt, reply);
    this.quotas.takeReply(asked, sentAt, reply);
  }
}
