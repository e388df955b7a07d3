/**
 * Whose request it is, and whether its tenant may make it now (design/tenants 3, 4): the last question before a request
 * that was read whole becomes a transaction. Public routes, and configurations without tenants, need no key.
 */
import type * as check from "../config/check.js";
import type * as controlNode from "../feed/control-node.js";
import * as log from "../runtime/log.js";
import * as keyLease from "../tenants/key-lease.js";
import * as outages from "../tenants/outage.js";
import type * as quotaClaim from "../tenants/quota-claim.js";
import * as quotaClient from "../tenants/quota-client.js";
import * as quotaSources from "../tenants/quota-sources.js";
import * as tenant from "../tenants/tenant.js";
import type * as types from "../wire/types.js";

/** When a machine that does not know enough about keys, or reaches nobody who counts, may do so again (*ours*). */
const KEY_OUTAGE_RETRY_MS = { leastMs: 500, mostMs: 3000 };
const QUOTA_OUTAGE_RETRY_MS = { leastMs: 300, mostMs: 3000 };
const MIN_RETRY_S = 0.2;
const MS_PER_S = 1000;

/** An answer of the router in place of a runner's; retryAfterS: seconds, null where coming back is no use. */
export interface TenantRejection {
  status: 401 | 429 | 503;
  cause: string;
  retryAfterS: number | null;
}

/** What a request that was admitted holds; handed back when it was never sent. */
export type QuotaUnit = quotaClaim.Unit | null;

/** One for each router. */
export class TenantGate {
  private table = new tenant.TenantTable();
  private readonly lease: keyLease.KeyLease;
  private readonly quota: quotaClient.QuotaClient;
  private readonly keyOutage: outages.Outage;
  private readonly quotaOutage: outages.Outage;

  constructor(
    clock: types.Clock,
    region: string,
    controls: ReadonlyMap<string, controlNode.ControlNode>,
    bounds: keyLease.RevocationBounds,
  ) {
    this.lease = new keyLease.KeyLease(clock, bounds);
    this.keyOutage = new outages.Outage(clock, KEY_OUTAGE_RETRY_MS);
    this.quotaOutage = new outages.Outage(clock, QUOTA_OUTAGE_RETRY_MS);
    const owners = new quotaSources.Sources(clock, region, controls);
    this.quota = new quotaClient.QuotaClient(clock, owners, this.lease.hear.bind(this.lease));
  }

  /** The settings were read again. */
  applySettings(bounds: keyLease.RevocationBounds): void {
    this.lease.resettle(bounds);
  }

  /** A configuration is in force, with these tenants. */
  applyConfiguration(epoch: types.Epoch, table: tenant.TenantTable): void {
    this.table = table;
    this.lease.take(epoch);
    this.runPeriodically();
  }

  /** Called often. Without tenants nothing is asked of anybody. */
  runPeriodically(): void {
    if (!this.table.isEmpty) this.quota.turn();
  }

  /** Whether keys may be honoured, or none are needed: a starting router waits for it. */
  get isReady(): boolean {
    return this.table.isEmpty || this.lease.mayHonour();
  }

  /** The tenant that holds the key, null where the route needs none, or why the request is refused. */
  authenticate(key: string | string[] | undefined, route: check.Route): tenant.Tenant | null | TenantRejection {
    if (this.table.isEmpty || route.public === true) return null;
    const tenant = typeof key === "string" && key !== "" ? this.table.find(key) : null;
    if (tenant && this.lease.mayHonour()) {
      this.keyOutage.over();
      return tenant;
    }
    if (!tenant && this.lease.mayDeny()) return this.reject(401, "the key is missing or not known; send a valid Api-Key", null);
    return this.reject(503, "this node cannot tell which keys are valid now; come back shortly", this.keyOutage.met() / MS_PER_S);
  }

  /**
   * Asks for a unit of the tenant's quota. One of the two is called once, perhaps before this returns; the claim's
   * cancel() ends the wait.
   */
  acquireQuota(
    tenant: tenant.Tenant | null,
    go: (admitted: QuotaUnit) => void,
    reject: (rejection: TenantRejection) => void,
  ): quotaClaim.Claim | null {
    if (!tenant?.isLimited) {
      go(null);
      return null;
    }
    return this.quota.take(tenant.name, (decision) => {
      if (decision.kind !== "unreached") this.quotaOutage.over();
      if (decision.kind === "granted") go(decision.unit);
      else reject(this.rejectionOf(decision));
    });
  }

  private rejectionOf(decision: Exclude<quotaClaim.Verdict, { kind: "granted" }>): TenantRejection {
    if (decision.kind === "unreached")
      return this.reject(503, "no control node counts the tenant's requests now; come back shortly", this.quotaOutage.met() / MS_PER_S);
    return this.reject(429, "the tenant is over its rate_per_s and burst", Math.max(MIN_RETRY_S, decision.waitMs / MS_PER_S));
  }

  private reject(status: TenantRejection["status"], cause: string, retryAfterS: number | null): TenantRejection {
    log.count(`tenants.refused_${status}`);
    return { status, cause, retryAfterS };
  }

  /** The request was never sent: its unit serves another. */
  returnQuota(tenant: tenant.Tenant | null, admitted: QuotaUnit): void {
    if (tenant && admitted) this.quota.hold(tenant.name, admitted);
  }
}
