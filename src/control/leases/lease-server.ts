/**
 * Leases of the system-wide limits from this control node, which owns one slot of them (design/shares 2, 4): the fence with
 * the other voters, and the replies to routers.
 */
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
import * as quotaServer from "./quota-server.js";

/** The settings of all limits that are leased. */
export type LeaseBounds = limitShares.Bounds & quotaPart.QuotaBounds;

/** Grants leases while a majority confirms this node. */
export class LeaseServer {
  private readonly ownership: slotOwnership.SlotOwnership;
  private readonly owner: leaseOwner.LeaseOwner;
  /** Grants tenants' quotas. */
  readonly quotas: quotaServer.QuotaServer;

  constructor(
    clock: types.Clock,
    incarnation: string,
    bounds: LeaseBounds,
    private readonly replica: registerReplica.RegisterReplica,
  ) {
    this.ownership = new slotOwnership.SlotOwnership(clock);
    this.owner = new leaseOwner.LeaseOwner(clock, incarnation, bounds, this.ownership);
    this.quotas = new quotaServer.QuotaServer(clock, incarnation, bounds, replica);
  }

  /** The settings were read again. */
  updateSettings(bounds: LeaseBounds): void {
    this.owner.applyBounds(bounds);
    this.quotas.updateSettings(bounds);
  }

  /** Registers the handlers of routers' lease requests, and of control nodes' fence requests (quorum-contact.ts). */
  registerHandlers(handlers: link.Handlers, contact: quorumContact.QuorumContact): void {
    handlers.on(calls.lease, (_from, request) => this.handleLease(request, contact));
    handlers.on(calls.fence, (_from, request) => this.handleFence(request));
    this.quotas.registerHandlers(handlers, contact);
  }

  private handleLease(request: leaseSchema.LeaseRequest, contact: quorumContact.QuorumContact): leaseSchema.LeaseReply {
    this.applyChosen();
    return this.owner.reply(request, contact.isConfirmed() ? this.replica.acceptedVoterEpoch : null);
  }

  /** What this voter knows of the voters, for another control node that wants to own its slot. */
  private handleFence(request: leaseSchema.FenceRequest): leaseSchema.FenceReply {
    this.applyChosen();
    const { disk, acceptedVoterEpoch, acceptedEpoch, chosen } = this.replica;
    return {
      disk,
      voterEpoch: acceptedVoterEpoch,
      knownMs: this.ownership.knownMs(request.voterEpoch),
      acceptedEpoch,
      chosenEpoch: chosen?.epoch ?? types.NO_EPOCH,
    };
  }

  /** Applies the newest chosen value: voters and limits. */
  private applyChosen(): void {
    if (this.replica.chosen) this.ownership.applyValue(this.replica.chosen, this.replica.disk);
    this.quotas.applyChosen();
  }

  /** A voter's reply to a request of the contact; see OnReply of quorum-contact.ts. */
  recordFenceReply(voterEpoch: types.Epoch, sentAt: types.SteadyMs, reply: leaseSchema.FenceReply): void {
    this.applyChosen();
    this.ownership.recordFenceReply(voterEpoch, sentAt, reply);
    this.quotas.recordFenceReply(voterEpoch, sentAt, reply);
  }
}
