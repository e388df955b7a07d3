/**
 * The owner of one slot of all quotas, at one control node (design/tenants 4): grants units of a tenant's quota to
 * requests that wait for them at routers. It knows limits from the configuration that is chosen; its slot is fenced like
 * that of the other bounds, by a tenure of its own.
 */
import type * as tenantSchema from "../wire/tenant-schema.js";
import * as types from "../wire/types.js";
import * as quotaBucket from "./quota-bucket.js";
import * as quotaPart from "./quota-part.js";
import type * as quotaTenure from "./quota-tenure.js";
import * as quotaUse from "./quota-use.js";

/** The longest wait that is told, in milliseconds; also of quotas that this slot holds nothing of. */
const MAX_WAIT_MS = 3000;
const SWEEP_MS = 1000;

/** Grants units of one slot. */
export class QuotaOwner {
  private round = -1;
  /** Of the tenure's places, when the parts were made. */
  private version = -1;
  private sweptAt = 0;
  private nextId = 1;
  private limits: ReadonlyMap<string, quotaPart.Limit> = new Map();
  private readonly buckets = new Map<string, quotaBucket.QuotaBucket>();
  private readonly uses: quotaUse.QuotaUses;

  constructor(
    private readonly clock: types.Clock,
    readonly life: string,
    private bounds: quotaPart.QuotaBounds,
    private readonly tenure: quotaTenure.QuotaTenure,
  ) {
    this.uses = new quotaUse.QuotaUses(clock);
  }

  /** The settings were read again. */
  resettle(bounds: quotaPart.QuotaBounds): void {
    this.bounds = bounds;
    this.resizeAll();
  }

  /** The limits of the chosen configuration, by tenant. */
  setLimits(limits: ReadonlyMap<string, quotaPart.Limit>): void {
    this.limits = limits;
    this.resizeAll();
  }

  private resizeAll(): void {
    const now = this.clock.now();
    for (const [tenant, bucket] of this.buckets) {
      const limit = this.limits.get(tenant);
      if (limit) bucket.resize(this.partOf(tenant, limit), now);
    }
  }

  private partOf(tenant: string, limit: quotaPart.Limit): quotaPart.QuotaPart {
    return quotaPart.leastPart(this.bounds, limit, this.tenure.places(), tenant);
  }

  /** accepted: the newest voter epoch on the own disk. Null: this node grants nothing now. */
  reply(ask: tenantSchema.QuotaRequest, accepted: types.Epoch): tenantSchema.UnitGrant[] | null {
    if (!this.tenure.isGranting(accepted)) return null;
    this.sweep();
    return ask.takings.map((taking) => this.give(taking, ask.life === this.life));
  }

  private give(taking: tenantSchema.UnitRequest, isOwnLife: boolean): tenantSchema.UnitGrant {
    const { tenant } = taking;
    const limit = this.limits.get(tenant);
    // A tenant without a limit here: the router's configuration is another than the chosen one for a moment.
    if (!limit) return { amount: taking.wanted, id: 0, waitMs: 0 };
    const now = this.clock.now();
    const bucket = this.bucketOf(tenant, limit, now);
    if (isOwnLife) for (const unused of taking.unused) bucket.giveBack(unused, now);
    const id = this.nextId;
    this.nextId += 1;
    const amount = bucket.take(taking.wanted, id, now);
    if (taking.wanted > 0) this.uses.add(tenant, amount, taking.wanted - amount);
    return { amount, id, waitMs: amount < taking.wanted ? Math.min(MAX_WAIT_MS, bucket.waitMs(now)) : 0 };
  }

  private bucketOf(tenant: string, limit: quotaPart.Limit, now: number): quotaBucket.QuotaBucket {
    let bucket = this.buckets.get(tenant);
    if (!bucket) {
      bucket = new quotaBucket.QuotaBucket(this.partOf(tenant, limit), this.earnedSince(), now);
      this.buckets.set(tenant, bucket);
    }
    return bucket;
  }

  /** Since when a bucket that was never asked for has been filling. */
  protected earnedSince(): number {
    return this.tenure.openAt;
  }

  /** Another tenure begins with nothing; buckets of tenants that are gone and full are forgotten. */
  private sweep(): void {
    const now = this.clock.now();
    if (this.round !== this.tenure.round) {
      this.round = this.tenure.round;
      this.buckets.clear();
    }
    this.tenure.places();
    if (this.version !== this.tenure.version) {
      this.version = this.tenure.version;
      this.resizeAll();
    }
    if (now - this.sweptAt < SWEEP_MS) return;
    this.sweptAt = now;
    for (const [tenant, bucket] of this.buckets) if (bucket.isSpare(now)) this.buckets.delete(tenant);
    this.uses.retainOnly(this.limits);
  }

  /** For `status`: limits, and what was granted and denied by tenant. */
  status(): unknown {
    return { limits: Object.fromEntries(this.limits), used: Object.fromEntries(this.uses.all()) };
  }
}
