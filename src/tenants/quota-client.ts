/**
 * Client of the quota owners, on a router (design/tenants 4.4): a request of a tenant with a limit waits for a unit, which is
 * requested from the owner in the same region first, and from the others when that one's share is exhausted or it does not
 * reply. Units that arrive too late, or whose request was rejected after all, serve the tenant's next request or are returned.
 */
import * as calls from "../wire/calls.js";
import type * as tenantSchema from "../wire/tenant-schema.js";
import * as types from "../wire/types.js";
import * as log from "../runtime/log.js";
import * as quotaClaim from "./quota-claim.js";
import * as quotaSources from "./quota-sources.js";

/** Lifetime of a unit from when it was requested; the owner counts it as used from its grant. */
export const UNIT_LIFETIME_MS = 300;
/** Another owner is requested too when one has not replied after this and three of its round trips. */
const MIN_REPLY_TIMEOUT_MS = 25;
const ROUND_TRIPS = 3;
/** The longest wait for a reply before another owner is requested too. */
const MAX_REPLY_TIMEOUT_MS = 200;
/** Interval at which the owners are asked to confirm the configuration's epoch while no unit is requested. */
const CONFIRMATION_INTERVAL_MS = 300;

/** Called when an owner confirms an epoch as the newest; `sentAt`: when it was asked. */
export type OnConfirmation = (epoch: types.Epoch, sentAt: types.SteadyMs) => void;

/** The quota client of a router. */
export class QuotaClient {
  /** Granted units that no request uses, by tenant. */
  private readonly cachedUnits = new Map<string, quotaClaim.Unit[]>();
  private lastConfirmedAt = -Infinity;
  private confirmationRequests = 0;

  constructor(
    private readonly clock: types.Clock,
    private readonly owners: quotaSources.Sources,
    private readonly onConfirmation: OnConfirmation,
  ) {}

  /** Requests one unit; `notify` may be called before this returns. */
  claim(tenant: string, notify: (verdict: quotaClaim.ClaimOutcome) => void): quotaClaim.Claim {
    const claim = new quotaClaim.Claim(tenant, notify);
    const unit = this.takeCachedUnit(tenant);
    if (unit) claim.resolve({ kind: "granted", unit });
    else this.requestFromNextOwner(claim);
    return claim;
  }

  /** Keeps a unit whose request was never sent, for the tenant's next one; it is returned to its owner when it expires. */
  cacheUnit(tenant: string, unit: quotaClaim.Unit): void {
    const held = this.cachedUnits.get(tenant);
    if (held) held.push(unit);
    else this.cachedUnits.set(tenant, [unit]);
  }

  private takeCachedUnit(tenant: string): quotaClaim.Unit | null {
    const held = this.cachedUnits.get(tenant);
    if (!held) return null;
    const now = this.clock.now();
    const at = held.findIndex((unit) => unit.until > now);
    if (at < 0) return null;
    const [unit] = held.splice(at, 1);
    if (held.length === 0) this.cachedUnits.delete(tenant);
    return unit;
  }

  /** Requests from the next owner that may have a unit; without one, the claim waits for pending replies, or ends. */
  private requestFromNextOwner(claim: quotaClaim.Claim): void {
    let shortestMs = claim.waitMs;
    for (const source of this.owners.ordered()) {
      if (claim.requestedOwners.has(source.incarnation) || source.isResting()) continue;
      const spentMs = source.spentMs(claim.tenant);
      if (spentMs === 0) {
        this.requestUnit(claim, source);
        return;
      }
      shortestMs = Math.min(shortestMs, spentMs);
    }
    if (claim.pendingReplies > 0) return;
    if (Number.isFinite(shortestMs)) claim.resolve({ kind: "exhausted", waitMs: shortestMs });
    else claim.resolve({ kind: "unreached" });
  }

  private requestUnit(claim: quotaClaim.Claim, source: quotaSources.Source): void {
    const { tenant } = claim;
    claim.requestedOwners.add(source.incarnation);
    claim.pendingReplies += 1;
    const patienceMs = Math.min(MAX_REPLY_TIMEOUT_MS, MIN_REPLY_TIMEOUT_MS + ROUND_TRIPS * source.control.roundTripMs);
    const timer = this.clock.schedule(patienceMs, () => this.onReplyTimeout(claim, source));
    void this.call(source, [{ tenant, wanted: 1, unused: source.takeUnused(tenant) }]).then((reply) => {
      timer.stop();
      claim.pendingReplies -= 1;
      this.onReply(claim, source, reply);
    });
  }

  /** Another owner is requested too; the late one's reply still counts. */
  private onReplyTimeout(claim: quotaClaim.Claim, source: quotaSources.Source): void {
    log.count("quota.owner_late");
    source.isLate = true;
    if (claim.isPending) this.requestFromNextOwner(claim);
  }

  private onReply(claim: quotaClaim.Claim, source: quotaSources.Source, reply: QuotaReply | null): void {
    const { tenant } = claim;
    const given = reply?.grants[0];
    if (given && given.amount > 0) {
      const unit = { source, id: given.id, until: reply.until };
      if (reply.isLate) source.returnUnused(tenant, unit.id);
      else if (claim.isPending) claim.resolve({ kind: "granted", unit });
      else this.cacheUnit(tenant, unit);
    } else if (given) {
      source.spend(tenant, given.waitMs);
      claim.waitMs = Math.min(claim.waitMs, given.waitMs);
    } else source.rest();
    if (claim.isPending) this.requestFromNextOwner(claim);
  }

  private async call(source: quotaSources.Source, takings: tenantSchema.UnitRequest[]): Promise<QuotaReply | null> {
    const sentAt = this.clock.now();
    const reply = await source.control.link.call(calls.quota, { life: source.incarnation, takings }, UNIT_LIFETIME_MS);
    if (!reply) return null;
    source.isLate = false;
    if (reply.isConfirmed) {
      this.lastConfirmedAt = Math.max(this.lastConfirmedAt, sentAt);
      this.onConfirmation(reply.epoch, sentAt);
    }
    const until = this.expiryOf(sentAt);
    return { grants: reply.isGranting ? reply.given : [], until, isLate: this.clock.now() >= until };
  }

  /** When a unit that was requested then expires. */
  protected expiryOf(sentAt: types.SteadyMs): types.SteadyMs {
    return types.small(sentAt + UNIT_LIFETIME_MS);
  }

  /** Called periodically: returns expired units, and has one owner after the other confirm the epoch when no request for a unit did. */
  runPeriodically(): void {
    const now = this.clock.now();
    this.owners.sweep();
    this.returnExpiredUnits(now);
    const all = this.owners.ordered();
    for (const source of all) {
      const takings = source.takeAllUnused();
      if (takings.length > 0) void this.call(source, takings);
    }
    if (now - this.lastConfirmedAt < CONFIRMATION_INTERVAL_MS || all.length === 0) return;
    this.lastConfirmedAt = now;
    this.confirmationRequests += 1;
    void this.call(all[this.confirmationRequests % all.length], []);
  }

  /** Units that expired unused are reported to the owners that granted them. */
  private returnExpiredUnits(now: number): void {
    for (const [tenant, held] of this.cachedUnits) {
      const kept: quotaClaim.Unit[] = [];
      for (const unit of held) {
        if (unit.until > now) kept.push(unit);
        else unit.source.returnUnused(tenant, unit.id);
      }
      if (kept.length > 0) this.cachedUnits.set(tenant, kept);
      else this.cachedUnits.delete(tenant);
    }
  }
}

interface QuotaReply {
  grants: readonly tenantSchema.UnitGrant[];
  until: types.SteadyMs;
  /** The units arrived after they expired: no request may use them. */
  isLate: boolean;
}
