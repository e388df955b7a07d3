/**
 * Tenants' quotas from this control node, which owns one slot of each (design/tenants 4): the limits of the chosen
 * configuration, a tenure of its own, and the replies to routers, which also carry the epoch that this node knows.
 */
import type * as configurationCheck from "../../config/configuration-check.js";
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
import * as slotRecord from "./slot-record.js";

/** Grants units of quotas to routers. */
export class QuotaServer {
  private readonly tenure: quotaTenure.QuotaTenure;
  private readonly owner: quotaOwner.QuotaOwner;
  /** The configuration whose limits are in force. */
  private config: Buffer | null = null;
  private hasLimits = false;
  private recordFile: slotRecord.SlotRecordFile | null = null;
  /** Of the previous incarnation; null once it was applied, or where there is none. */
  private previousRecord: slotRecord.SlotRecord | null = null;

  constructor(
    clock: types.Clock,
    incarnation: string,
    bounds: quotaPart.QuotaBounds,
    private readonly replica: registerReplica.RegisterReplica,
  ) {
    this.tenure = new quotaTenure.QuotaTenure(clock, { fenceMs: quotaTenure.FENCE_MS, maxLeaseMs: quotaClient.UNIT_LIFETIME_MS });
    this.owner = new quotaOwner.QuotaOwner(clock, incarnation, bounds, this.tenure);
  }

  /** Reads what the previous incarnation recorded on this disk. */
  async open(folder: files.StoreFolder): Promise<void> {
    this.recordFile = new slotRecord.SlotRecordFile(folder);
    this.previousRecord = await this.recordFile.read();
    this.applyChosen();
  }

  /** The settings were read again. */
  updateSettings(bounds: quotaPart.QuotaBounds): void {
    this.owner.resettle(bounds);
  }

  /** Registers the handler of routers' requests for units. */
  registerHandlers(handlers: link.Handlers, contact: quorumContact.QuorumContact): void {
    handlers.on(calls.quota, (_from, request) => this.reply(request, contact));
  }

  private reply(request: tenantSchema.QuotaRequest, contact: quorumContact.QuorumContact): tenantSchema.QuotaReply {
    this.applyChosen();
    const { replica } = this;
    const given = this.owner.reply(request, replica.acceptedVoterEpoch);
    return {
      isGranting: given !== null,
      isConfirmed: contact.isConfirmed(),
      epoch: replica.chosen?.epoch ?? types.NO_EPOCH,
      given: given ?? [],
    };
  }

  /** Applies the newest chosen value: voters and limits. */
  applyChosen(): void {
    const { chosen, disk } = this.replica;
    if (!chosen) return;
    this.tenure.applyValue(chosen, disk);
    this.updateSlotRecord(disk);
    if (this.config === chosen.config) return;
    // Another epoch may bring equal bytes in a new buffer: they are compared once, not with each request.
    const isEqual = this.config?.equals(chosen.config) === true;
    this.config = chosen.config;
    if (isEqual) return;
    const limits = limitsOf(registerValue.unpack(chosen.config) as configurationCheck.Configuration | null);
    this.hasLimits = limits.size > 0;
    this.owner.setLimits(limits);
  }

  /** Once the own disk is known, its previous record is applied; without limits no record is saved. */
  private updateSlotRecord(disk: string): void {
    if (disk === "") return;
    const previous = this.previousRecord;
    if (previous) this.tenure.restore(previous.disk, types.small(previous.epoch), previous);
    this.previousRecord = null;
    if (!this.hasLimits || !this.tenure.isSettledIn()) return;
    this.recordFile?.save({ disk, epoch: this.tenure.epoch, slot: this.tenure.slot, slots: this.tenure.slots });
  }

  /** A voter's reply to a request of the contact. */
  recordFenceReply(voterEpoch: types.Epoch, sentAt: types.SteadyMs, reply: leaseSchema.FenceReply): void {
    this.tenure.recordFenceReply(voterEpoch, sentAt, reply);
  }

  /** For `status`: limits, and what was granted and rejected by tenant. */
  status(): unknown {
    return { isGranting: this.tenure.isGranting(this.replica.acceptedVoterEpoch), ...(this.owner.status() as object) };
  }
}

function limitsOf(config: configurationCheck.Configuration | null): Map<string, quotaPart.Limit> {
  const limits = new Map<string, quotaPart.Limit>();
  for (const { name, rate_per_s: perS, burst } of config?.tenants ?? []) {
    if (perS) limits.set(name, { perS, burst: burst ?? 0 });
  }
  return limits;
}
