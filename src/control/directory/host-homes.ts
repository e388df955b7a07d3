// The regions that the routes of a host name are bound to, for the directory's choice of last resort (design 4.3).
import type * as check from "../../config/check.js";
import * as registerValue from "../../register/register-value.js";
import type * as schema from "../../wire/schema.js";

const NO_REGIONS: ReadonlySet<string> = new Set();

/** Reads the configuration in force when asked, once for each. */
export class HostHomes {
  private config: Buffer | null = null;
  private byHost = new Map<string, ReadonlySet<string>>();

  constructor(private readonly chosen: () => schema.Value | null) {}

  /** Regions that all bound routes of the host allow, or any of them where they share none; empty where no route is bound. */
  of(hostname: string): ReadonlySet<string> {
    this.follow();
    return this.byHost.get(hostname.toLowerCase()) ?? NO_REGIONS;
  }

  private follow(): void {
    const config = this.chosen()?.config ?? null;
    if (config === this.config) return;
    this.config = config;
    this.byHost = homesByHost(config && (registerValue.unpack(config) as check.Configuration | null));
  }
}

function homesByHost(config: check.Configuration | null): Map<string, ReadonlySet<string>> {
  const bound = new Map<string, string[][]>();
  for (const { hostname, allowed_regions: homes } of config?.routes ?? []) {
    if (!homes || homes.length === 0) continue;
    const host = hostname.toLowerCase();
    bound.set(host, [...(bound.get(host) ?? []), homes]);
  }
  const byHost = new Map<string, ReadonlySet<string>>();
  for (const [host, all] of bound) byHost.set(host, sharedOrAny(all));
  return byHost;
}

function sharedOrAny(all: readonly (readonly string[])[]): ReadonlySet<string> {
  const shared = all[0].filter((region) => all.every((homes) => homes.includes(region)));
  return new Set(shared.length > 0 ? shared : all.flat());
}
