/**
 * This control node as owner of its slot of all quotas (design/tenants 4): the limits of the chosen configuration, a
 * tenure with terms of its own, and the replies to routers, which carry this node's word on the configuration too.
 */
import type * as check from "../../config/check.js";
import * as registerValue from "../../register/register-value.js";
import * as quotaClient from "../../tenants/quota-client.js";
import * as quotaOwner from "../../tenants/quota-owner.js";
import type * as quotaPart from "../../tenants/quota-part.js";
import * as quotaTenure from "../../tenants/quota-tenure.js";
import type * as files from "../../store/files.js";
import * as calls from "../../wire/calls.js";
import type * as leaseSchema from "../../wire/lease-schema.js";
import type * as link from "../../wire/link.js";
import type * as tenantSchema from "../../wire/tenant-schema.js";
import * as types from "../../wire/types.js";
import type * as quorumContact from "../voters/quorum-contact.js";
import type * as registerReplica from "../register-replica.js";
import * as slotNote from "./slot-note.js";

/** Grants units of quotas. */
export class Quotas {
  private readonly tenure: quotaTenure.QuotaTenure;
  private readonly owner: quotaOwner.QuotaOwner;
  private config: Buffer | null = null;
  private hasLimits = false;
  private note: slotNote.SlotNote | null = null;
  /** Of a former life; null once it was used, or where there is none. */
  private formerNote: slotNote.Note | null = null;

  constructor(
    clock: types.Clock,
    life: string,
    bounds: quotaPart.QuotaBounds,
    private readonly replica: registerReplica.RegisterReplica,
  ) {
    this.tenure = new quotaTenure.QuotaTenure(clock, { fenceMs: quotaTenure.FENCE_MS, maxLeaseMs: quotaClient.UNIT_MS });
    this.owner = new quotaOwner.QuotaOwner(clock, life, bounds, this.tenure);
  }

  /** Reads what a former life noted on this disk. */
  async open(folder: files.StoreFolder): Promise<void> {
    this.note = new slotNote.SlotNote(folder);
    this.formerNote = await this.note.read();
    this.applyChosen();
  }

  /** The settings were read again. */
  updateSettings(bounds: quotaPart.QuotaBounds): void {
    this.owner.resettle(bounds);
  }

  /** Answers routers that ask for units. */
  registerHandlers(handlers: link.Handlers, contact: quorumContact.QuorumContact): void {
    handlers.on(calls.quota, (_from, ask) => this.reply(contact, ask));
  }

  private reply(contact: quorumContact.QuorumContact, ask: tenantSchema.QuotaAsk): tenantSchema.QuotaReply {
    this.applyChosen();
    const { replica: core } = this;
    const given = this.owner.reply(ask, core.acceptedVoterEpoch);
    return {
      isGranting: given !== null,
      isConfirmed: contact.isConfirmed(),
      epoch: core.chosen?.epoch ?? types.NO_EPOCH,
      given: given ?? [],
    };
  }

  /** Takes what is chosen: voters and limits. */
  applyChosen(): void {
    const { chosen, disk } = this.replica;
    if (!chosen) return;
    this.tenure.applyValue(chosen, disk);
    this.useNotes(disk);
    if (this.config === chosen.config) return;
    // Another epoch may bring equal bytes anew: they are compared once, not at each ask.
    const isEqual = this.config?.equals(chosen.config) === true;
    this.config = chosen.config;
    if (isEqual) return;
    const limits = limitsOf(registerValue.unpack(chosen.config) as check.Configuration | null);
    this.hasLimits = limits.size > 0;
    this.owner.setLimits(limits);
  }

  /** Once the own disk is known its former note counts; without limits no note is kept. */
  private useNotes(disk: string): void {
    if (disk === "") return;
    if (this.formerNote) this.tenure.restore(this.formerNote.disk, types.small(this.formerNote.epoch), this.formerNote);
    this.formerNote = null;
    if (!this.hasLimits || !this.tenure.isSettledIn()) return;
    this.note?.keep({ disk, epoch: this.tenure.epoch, slot: this.tenure.slot, slots: this.tenure.slots });
  }

  /** A voter's reply to one of the contact's asks. */
  recordFenceReply(asked: types.Epoch, sentAt: types.SteadyMs, reply: leaseSchema.FenceReply): void {
    this.tenure.recordFenceReply(asked, sentAt, reply);
  }

  /** For `status`: limits, and what was granted and denied by tenant. */
  status(): unknown {
    return { isGranting: this.tenure.isGranting(this.replica.acceptedVoterEpoch), ...(this.owner.status() as object) };
  }
}

function limitsOf(config: check.Configuration | null): Map<string, quotaPart.Limit> {
  const limits = new Map<string, quotaPart.Limit>();
  for (const { name, rate_per_s: perS, burst } of config?.tenants ?? []) if (perS) limits.set(name, { perS, burst: burst ?? 0 });
  return limits;
}
