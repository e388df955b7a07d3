/**
 * Authenticates the tenant of a complete request and acquires its quota, before a transaction begins (design/tenants 3, 4).
 * Public routes, and configurations without tenants, need no key.
 */
import type * as configurationCheck from "../config/configuration-check.js";
import type * as controlNode from "../feed/control-node.js";
import * as log from "../runtime/log.js";
import * as keyLease from "../tenants/key-lease.js";
import * as outages from "../tenants/outage.js";
import type * as quotaClaim from "../tenants/quota-claim.js";
import * as quotaClient from "../tenants/quota-client.js";
import * as quotaSources from "../tenants/quota-sources.js";
import * as tenant from "../tenants/tenant.js";
import type * as types from "../wire/types.js";

/** After how long clients may retry while this router can't validate keys, or reaches no owner of quotas. */
const KEY_OUTAGE_RETRY_MS = { minMs: 500, maxMs: 3000 };
const QUOTA_OUTAGE_RETRY_MS = { minMs: 300, maxMs: 3000 };
const MIN_RETRY_S = 0.2;
const MS_PER_S = 1000;

/** The router's own response; `retryAfterS`: seconds, null where a retry is of no use. */
export interface TenantRejection {
  status: 401 | 429 | 503;
  cause: string;
  retryAfterS: number | null;
}

/** The unit of quota that an admitted request uses, returned if it is never sent; null: without a limit. */
export type QuotaUnit = quotaClaim.Unit | null;

/** One for each router. */
export class TenantGate {
  private table = new tenant.TenantTable();
  private readonly keyLease: keyLease.KeyLease;
  private readonly quotaClient: quotaClient.QuotaClient;
  private readonly keyOutage: outages.Outage;
  private readonly quotaOutage: outages.Outage;

  constructor(
    clock: types.Clock,
    region: string,
    controls: ReadonlyMap<string, controlNode.ControlNode>,
    bounds: keyLease.RevocationBounds,
  ) {
    this.keyLease = new keyLease.KeyLease(clock, bounds);
    this.keyOutage = new outages.Outage(clock, KEY_OUTAGE_RETRY_MS);
    this.quotaOutage = new outages.Outage(clock, QUOTA_OUTAGE_RETRY_MS);
    const owners = new quotaSources.Sources(clock, region, controls);
    this.quotaClient = new quotaClient.QuotaClient(clock, owners, (epoch, sentAt) => this.keyLease.recordConfirmation(epoch, sentAt));
  }

  /** The settings were read again. */
  applySettings(bounds: keyLease.RevocationBounds): void {
    this.keyLease.updateBounds(bounds);
  }

  /** A configuration took effect, with these tenants. */
  applyConfiguration(epoch: types.Epoch, table: tenant.TenantTable): void {
    this.table = table;
    this.keyLease.applyEpoch(epoch);
    this.runPeriodically();
  }

  /** Called often. Without tenants nothing is requested. */
  runPeriodically(): void {
    if (!this.table.isEmpty) this.quotaClient.runPeriodically();
  }

  /** Whether keys can be validated, or none are needed: a starting router waits for it. */
  get isReady(): boolean {
    return this.table.isEmpty || this.keyLease.mayHonour();
  }

  /** The tenant of the key, null where the route needs none, or the rejection. */
  authenticate(key: string | string[] | undefined, route: configurationCheck.Route): tenant.Tenant | null | TenantRejection {
    if (this.table.isEmpty || route.public === true) return null;
    const tenant = typeof key === "string" && key !== "" ? this.table.find(key) : null;
    if (tenant && this.keyLease.mayHonour()) {
      this.keyOutage.end();
      return tenant;
    }
    if (!tenant && this.keyLease.mayReject()) return this.reject(401, "the key is missing or not known; send a valid Api-Key", null);
    return this.reject(503, "this node cannot tell which keys are valid now; come back shortly", this.keyOutage.retryAfterMs() / MS_PER_S);
  }

  /**
   * Requests a unit of the tenant's quota. One of the two callbacks is called once, perhaps before this returns; `cancel`
   * of the claim ends the wait.
   */
  acquireQuota(
    tenant: tenant.Tenant | null,
    onAdmitted: (unit: QuotaUnit) => void,
    onRejected: (rejection: TenantRejection) => void,
  ): quotaClaim.Claim | null {
    if (!tenant?.isLimited) {
      onAdmitted(null);
      return null;
    }
    return this.quotaClient.claim(tenant.name, (decision) => {
      if (decision.kind !== "unreached") this.quotaOutage.end();
      if (decision.kind === "granted") onAdmitted(decision.unit);
      else onRejected(this.rejectionOf(decision));
    });
  }

  private rejectionOf(decision: Exclude<quotaClaim.ClaimOutcome, { kind: "granted" }>): TenantRejection {
    if (decision.kind === "unreached")
      return this.reject(
        503,
        "no control node counts the tenant's requests now; come back shortly",
        this.quotaOutage.retryAfterMs() / MS_PER_S,
      );
    return this.reject(429, "the tenant is over its rate_per_s and burst", Math.max(MIN_RETRY_S, decision.waitMs / MS_PER_S));
  }

  private reject(status: TenantRejection["status"], cause: string, retryAfterS: number | null): TenantRejection {
    log.count(`tenants.refused_${status}`);
    return { status, cause, retryAfterS };
  }

  /** The request was never sent: its unit is used for another. */
  returnQuota(tenant: tenant.Tenant | null, unit: QuotaUnit): void {
    if (tenant && unit) this.quotaClient.cacheUnit(tenant.name, unit);
  }
}
