/** A tenant as it is pushed to routers, and the table that requests look it up in (design/tenants 2). */
import * as digests from "./digest.js";

/** What is read of a tenant as the operator configured it (docs/configuration.md). */
export interface ConfiguredTenant {
  name: string;
  api_keys?: readonly string[] | null;
  priority?: number | null;
  rate_per_s?: number | null;
  allowed_regions?: readonly string[] | null;
}

/** A tenant without its keys: what travels on the feed. */
export interface Tenant {
  name: string;
  keys: readonly digests.KeyDigest[];
  /** Goes before the priority of a route; null where none is named. */
  priority: number | null;
  /** Whether its requests are counted against a limit. */
  isLimited: boolean;
  /** Regions that may serve it; all where the list is empty. */
  homes: readonly string[];
}

/** Digests that were reckoned before: one change of a configuration leaves nearly all keys as they were. */
export class DigestCache {
  private digests = new Map<string, digests.KeyDigest>();

  /** The tenants as routers get them; keys that none of them holds any more are forgotten. */
  tenantsOf(configured: readonly ConfiguredTenant[]): Tenant[] {
    const kept = new Map<string, digests.KeyDigest>();
    const made = configured.map((tenant) => this.tenantOf(tenant, kept));
    this.digests = kept;
    return made;
  }

  private tenantOf(tenant: ConfiguredTenant, kept: Map<string, digests.KeyDigest>): Tenant {
    const keys: digests.KeyDigest[] = [];
    for (const key of tenant.api_keys ?? []) {
      const digest = this.digests.get(key) ?? digests.digestOf(key);
      kept.set(key, digest);
      keys.push(digest);
    }
    return {
      name: tenant.name,
      keys,
      priority: tenant.priority ?? null,
      isLimited: (tenant.rate_per_s ?? 0) > 0,
      homes: tenant.allowed_regions ?? [],
    };
  }
}

/** All tenants in force at one router; changed item by item. */
export class TenantTable {
  private readonly byName = new Map<string, Tenant>();
  private readonly byDigest = new Map<digests.KeyDigest, Tenant>();

  /** Whether requests need keys at all: a configuration without tenants asks for none. */
  get isEmpty(): boolean {
    return this.byName.size === 0;
  }

  /** The tenant that holds the key, if one does. */
  find(key: string): Tenant | null {
    return this.byDigest.get(digests.digestOf(key)) ?? null;
  }

  /** All keys are taken away before any is given: a key may pass from one tenant to another. */
  amend(tenants: readonly Tenant[], gone: readonly string[]): void {
    for (const name of gone) this.remove(name);
    for (const tenant of tenants) this.remove(tenant.name);
    for (const tenant of tenants) this.add(tenant);
  }

  private remove(name: string): void {
    const tenant = this.byName.get(name);
    if (!tenant) return;
    this.byName.delete(name);
    for (const key of tenant.keys) this.byDigest.delete(key);
  }

  private add(tenant: Tenant): void {
    this.byName.set(tenant.name, tenant);
    for (const key of tenant.keys) this.byDigest.set(key, tenant);
  }
}
