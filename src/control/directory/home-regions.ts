/** The regions that the routes of a host name are bound to, for the directory's choice of last resort (design 4.3). */
import type * as configurationCheck from "../../config/configuration-check.js";
import * as registerValue from "../../register/register-value.js";
import type * as schema from "../../wire/schema.js";

const NO_REGIONS: ReadonlySet<string> = new Set();

/** Reads each configuration once, when it is first asked about. */
export class HomeRegions {
  private config: Buffer | null = null;
  private byHost = new Map<string, ReadonlySet<string>>();

  /** `chosen`: the newest chosen value. */
  constructor(private readonly chosen: () => schema.Value | null) {}

  /** Regions that all bound routes of the host allow, or any of them where they share none; empty where no route is bound. */
  ofHost(hostname: string): ReadonlySet<string> {
    this.readConfiguration();
    return this.byHost.get(hostname.toLowerCase()) ?? NO_REGIONS;
  }

  private readConfiguration(): void {
    const config = this.chosen()?.config ?? null;
    if (config === this.config) return;
    this.config = config;
    this.byHost = regionsByHost(config && (registerValue.unpack(config) as configurationCheck.Configuration | null));
  }
}

function regionsByHost(config: configurationCheck.Configuration | null): Map<string, ReadonlySet<string>> {
  const boundRoutes = new Map<string, string[][]>();
  for (const { hostname, allowed_regions: regions } of config?.routes ?? []) {
    if (!regions || regions.length === 0) continue;
    const host = hostname.toLowerCase();
    boundRoutes.set(host, [...(boundRoutes.get(host) ?? []), regions]);
  }
  const byHost = new Map<string, ReadonlySet<string>>();
  for (const [host, routes] of boundRoutes) byHost.set(host, sharedOrAny(routes));
  return byHost;
}

function sharedOrAny(routes: readonly (readonly string[])[]): ReadonlySet<string> {
  const shared = routes[0].filter((region) => routes.every((regions) => regions.includes(region)));
  return new Set(shared.length > 0 ? shared : routes.flat());
}
