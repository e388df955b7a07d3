/**
 * What a control node knows of usage: for each window and router, the requests by tenant that began to run (design/duties 4).
 * Counts of one router in one window only grow, so that whatever arrives twice, late or over another way is joined by the
 * greater one.
 */
import type * as dutySchema from "../wire/duty-schema.js";

/** Windows that are kept, the newest ones; older ones are dropped, decided or not. */
export const MAX_WINDOWS = 24;

type CountsByTenant = Map<string, number>;

/** Counts by window, router and tenant. */
export class UsageLedger {
  private readonly windows = new Map<number, Map<string, CountsByTenant>>();

  /** Joins what a router counted, or what another node collected; returns what was new. */
  join(received: readonly dutySchema.RouterWindow[]): dutySchema.RouterWindow[] {
    const news: dutySchema.RouterWindow[] = [];
    for (const { life, window, counts } of received) {
      const known = this.countsOf(window, life);
      const grown = counts.filter(({ tenant, count }) => count > (known.get(tenant) ?? 0));
      for (const { tenant, count } of grown) known.set(tenant, count);
      if (grown.length > 0) news.push({ life, window, counts: grown });
    }
    this.dropOldest();
    return news;
  }

  private countsOf(window: number, life: string): CountsByTenant {
    const routers = this.windows.get(window) ?? new Map<string, CountsByTenant>();
    this.windows.set(window, routers);
    const counts = routers.get(life) ?? (new Map() as CountsByTenant);
    routers.set(life, counts);
    return counts;
  }

  private dropOldest(): void {
    while (this.windows.size > MAX_WINDOWS) this.windows.delete(Math.min(...this.windows.keys()));
  }

  /** All that is known of the windows after `window`. */
  since(window: number): dutySchema.RouterWindow[] {
    const all: dutySchema.RouterWindow[] = [];
    for (const [number, routers] of this.windows) {
      if (number <= window) continue;
      for (const [life, counts] of routers) all.push({ life, window: number, counts: [...counts].map(toTenantCount) });
    }
    return all;
  }

  /** The sums by tenant over all routers, as JSON with sorted names: the same counts give the same text. */
  reportOf(window: number): string {
    const sums: CountsByTenant = new Map();
    for (const counts of this.windows.get(window)?.values() ?? []) {
      for (const [tenant, count] of counts) sums.set(tenant, (sums.get(tenant) ?? 0) + count);
    }
    const sorted = [...sums].sort(([left], [right]) => (left < right ? -1 : 1));
    return JSON.stringify(Object.fromEntries(sorted));
  }
}

function toTenantCount([tenant, count]: [string, number]): dutySchema.TenantCount {
  return { tenant, count };
}
