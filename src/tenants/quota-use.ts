/** What an owner of quotas did for each tenant, for `cranewind tenants`; nothing is decided by it (design/tenants 8). */
import type * as types from "../wire/types.js";

/** Rates fade over so long, in milliseconds. */
const FADE_MS = 5000;
const MS_PER_S = 1000;

/** Of one tenant at one owner. */
export interface Use {
  /** Requests since the owner's start. */
  granted: number;
  denied: number;
  /** Requests a second lately. */
  granted_per_s: number;
  denied_per_s: number;
}

interface Count {
  granted: number;
  denied: number;
  recentGranted: number;
  recentDenied: number;
  at: number;
}

/** Counts of all tenants that were asked for. */
export class QuotaUses {
  private readonly counts = new Map<string, Count>();

  constructor(private readonly clock: types.Clock) {}

  /** So many requests of the tenant got a unit, and so many none. */
  add(tenant: string, granted: number, denied: number): void {
    const count = this.counts.get(tenant) ?? { granted: 0, denied: 0, recentGranted: 0, recentDenied: 0, at: this.clock.now() };
    this.fade(count);
    count.granted += granted;
    count.denied += denied;
    count.recentGranted += granted;
    count.recentDenied += denied;
    this.counts.set(tenant, count);
  }

  private fade(count: Count): void {
    const now = this.clock.now();
    const left = Math.exp((count.at - now) / FADE_MS);
    count.recentGranted *= left;
    count.recentDenied *= left;
    count.at = now;
  }

  /** Forgets tenants that are not configured any more. */
  retainOnly(tenants: { has(name: string): boolean }): void {
    for (const tenant of this.counts.keys()) if (!tenants.has(tenant)) this.counts.delete(tenant);
  }

  /** By tenant. */
  all(): Map<string, Use> {
    const uses = new Map<string, Use>();
    for (const [tenant, count] of this.counts) {
      this.fade(count);
      const perS = MS_PER_S / FADE_MS;
      uses.set(tenant, {
        granted: count.granted,
        denied: count.denied,
        granted_per_s: count.recentGranted * perS,
        denied_per_s: count.recentDenied * perS,
      });
    }
    return uses;
  }
}
