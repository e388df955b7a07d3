// Route lookup by host, then by the longest prefix; the last route costs what the first does (design 6.3).
import * as configurationCheck from "./configuration-check.js";
import * as prefixTree from "./prefix-tree.js";

/** A route as requests look it up, with what is derived from it. */
export interface RouteEntry {
  route: configurationCheck.Route;
  backends: { service: string; weight: number }[];
  weight: number;
  homes: readonly string[];
  isRepeatable: boolean;
}

/** The rank of a route that names no priority; 0 is the most urgent. */
export const DEFAULT_RANK = 1;
/** Items of batches come after the requests of every route, whatever its priority (design/batch 6). */
export const BATCH_RANK = 5;

/** The rank of a route's requests; a tenant's own priority goes before the route's. */
export function rankOf(route: configurationCheck.Route, tenantPriority: number | null = null): number {
  return tenantPriority ?? route.priority ?? DEFAULT_RANK;
}

/** Whether a request of the route may run more than once: it is read only, or a stream that may be resumed. */
export function isRepeatable(route: configurationCheck.Route): boolean {
  return route.route_type === "read_only" || (route.route_type === "streaming" && route.resumable === true);
}

/** Changed and new items, and the names of those that are gone. */
export interface RouteTableChange {
  routes: configurationCheck.Route[];
  goneRoutes: string[];
  services: configurationCheck.Service[];
  goneServices: string[];
}

/** All routes and services in force; changed item by item. */
export class RouteTable {
  private readonly hosts = new Map<string, prefixTree.PrefixTree<RouteEntry>>();
  private readonly byName = new Map<string, configurationCheck.Route>();
  readonly services = new Map<string, configurationCheck.Service>();

  constructor(config: Pick<configurationCheck.Configuration, "routes" | "services">) {
    this.amend({ routes: config.routes, goneRoutes: [], services: config.services, goneServices: [] });
  }

  /** Costs what changes. All places are left before any is taken: a place may pass from one route to another. */
  amend(amended: RouteTableChange): void {
    for (const name of amended.goneServices) this.services.delete(name);
    for (const service of amended.services) this.services.set(service.name, service);
    for (const name of amended.goneRoutes) this.remove(name);
    for (const route of amended.routes) this.remove(route.name);
    for (const route of amended.routes) this.add(route);
  }

  private remove(name: string): void {
    const route = this.byName.get(name);
    if (!route) return;
    this.byName.delete(name);
    const key = route.hostname.toLowerCase();
    const host = this.hosts.get(key)!;
    host.delete(route.path_prefix);
    if (host.isEmpty) this.hosts.delete(key);
  }

  private add(route: configurationCheck.Route): void {
    this.byName.set(route.name, route);
    const key = route.hostname.toLowerCase();
    let host = this.hosts.get(key);
    if (!host) {
      host = new prefixTree.PrefixTree();
      this.hosts.set(key, host);
    }
    const backends = configurationCheck.backendsOf(route);
    let weight = 0;
    for (const backend of backends) weight += backend.weight;
    host.set(route.path_prefix, { route, backends, weight, homes: route.allowed_regions ?? [], isRepeatable: isRepeatable(route) });
  }

  /** The route of a request, by its Host header and target; null where there is none. Costs at most one pass over both. */
  find(hostHeader: string, target: string): RouteEntry | null {
    const queryAt = target.indexOf("?");
    return this.hosts.get(bareHost(hostHeader))?.find(target, queryAt < 0 ? target.length : queryAt) ?? null;
  }
}

function bareHost(header: string): string {
  const colon = header.lastIndexOf(":");
  const bare = colon > 0 && /^\d+$/.test(header.slice(colon + 1)) ? header.slice(0, colon) : header;
  return bare.toLowerCase();
}

/** Chooses a service by weight with a number in [0, 1). */
export function chooseService(entry: RouteEntry, point: number): string {
  let left = point * entry.weight;
  for (const backend of entry.backends) {
    left -= backend.weight;
    if (left < 0 && backend.weight > 0) return backend.service;
  }
  return entry.backends[entry.backends.length - 1].service;
}
