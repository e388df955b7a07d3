/**
 * The directory tells clients which routers to connect to: ready ones of their own region first, others when it has none, but
 * never of a region that the routes of a bound host exclude (design 4.3).
 */
import * as log from "../../runtime/log.js";
import * as drainWindows from "../../settings/drain-windows.js";
import type * as schema from "../../wire/schema.js";
import type * as shrinkGuard from "../members/shrink-guard.js";
import type * as serve from "../../wire/serve.js";

const MAX_ADDRESSES = 64;
/** A zone or region is relied on with at least so many routers. */
const MIN_ROUTERS = 2;

/** Which routers announced that they shut down. */
export interface DrainView {
  /** The router shuts down; one that is not ready and does not shut down is starting. */
  isDraining(node: schema.NodeInfo): boolean;
  /** A draining router may still be named: it takes requests for as long as clients use the reply. */
  stillServes(node: schema.NodeInfo): boolean;
}

const NO_DRAINS: DrainView = { isDraining: () => false, stillServes: () => false };

/** What the directory knows of the deployment. */
export interface DirectoryView {
  routers(): shrinkGuard.ObservedNode[];
  drains: DrainView;
  /** Regions that the routes of a host name are bound to; empty: none. */
  homeRegionsOf(hostname: string): ReadonlySet<string>;
  /** Bound of the time to live of a response, in seconds. */
  maxTtlS: number;
}

/** Where the client is, and where its requests may go. */
export interface ClientLocation {
  region: string;
  zone: string;
  /** Regions that its routes are bound to; empty or absent: none. */
  homeRegions?: ReadonlySet<string>;
}

/** 200 with up to 64 addresses, or 503 while no router is known that the client may use. */
export function resolve(view: DirectoryView, query: URLSearchParams): serve.HttpResponse {
  const client = {
    region: query.get("region") ?? "",
    zone: query.get("zone") ?? "",
    homeRegions: view.homeRegionsOf(query.get("name") ?? ""),
  };
  const routers = nearestRouters(view.routers(), client, view.drains);
  if (routers.length === 0) {
    return {
      status: 503,
      headers: { "Retry-After": "0.2" },
      json: { message: "no router is known that may take these requests; ask again shortly" },
    };
  }
  const addresses = routers.slice(0, MAX_ADDRESSES).map((node) => node.outside);
  return { status: 200, json: { addresses, ttl_s: Math.min(drainWindows.DIRECTORY_TTL_S, view.maxTtlS) } };
}

/**
 * The routers to name to a client. Confirmed routers go before those that the shrink guard keeps (design/members 5). Where its
 * routes are bound to regions, no router outside of these and of its own region is named: then the reply may be empty.
 */
export function nearestRouters(
  routers: readonly shrinkGuard.ObservedNode[],
  client: ClientLocation,
  drains: DrainView = NO_DRAINS,
): schema.NodeInfo[] {
  const allowed = inAllowedRegions(routers, client);
  const ready = allowed.filter(({ node }) => node.isReady);
  const readyHere = nearestGroup(ready, client);
  if (readyHere.length > 0) return nodesOf(readyHere);
  // Routers restarted one after the other may all be draining for a moment: they still serve meanwhile.
  const draining = allowed.filter(({ node }) => !node.isReady && drains.stillServes(node));
  const drainingHere = inRegion(draining, client);
  if (drainingHere.length > 0) {
    log.count("directory.draining_named");
    return nodesOf(drainingHere);
  }
  for (const group of [ready, draining]) if (group.length > 0) return nodesOf(group);
  // A known router that is not ready beats an empty reply: one that starts keeps requests until it is ready.
  const starting = allowed.filter(({ node }) => !drains.isDraining(node));
  const known = starting.length > 0 ? starting : allowed;
  const knownHere = nearestGroup(known, client);
  return nodesOf(knownHere.length > 0 ? knownHere : known);
}

/** Those of the client's region and of the regions that its routes are bound to; all where they are bound to none. */
function inAllowedRegions(routers: readonly shrinkGuard.ObservedNode[], client: ClientLocation): readonly shrinkGuard.ObservedNode[] {
  const { region, homeRegions } = client;
  if (!homeRegions || homeRegions.size === 0) return routers;
  return routers.filter(({ node }) => node.region === region || homeRegions.has(node.region));
}

/** Those of the client's zone, or of its region where the zone has too few to rely on. */
function nearestGroup(routers: readonly shrinkGuard.ObservedNode[], client: ClientLocation): readonly shrinkGuard.ObservedNode[] {
  const here = inRegion(routers, client);
  const inZone = here.filter(({ node }) => node.zone === client.zone);
  // One router alone is no zone to rely on: then the whole region serves.
  for (const group of [inZone.filter(isConfirmed), here.filter(isConfirmed), inZone]) if (group.length >= MIN_ROUTERS) return group;
  return here;
}

function inRegion(routers: readonly shrinkGuard.ObservedNode[], client: ClientLocation): readonly shrinkGuard.ObservedNode[] {
  return routers.filter(({ node }) => node.region === client.region);
}

function isConfirmed(router: shrinkGuard.ObservedNode): boolean {
  return router.isConfirmed;
}

function nodesOf(routers: readonly shrinkGuard.ObservedNode[]): schema.NodeInfo[] {
  return routers.map(({ node }) => node);
}
