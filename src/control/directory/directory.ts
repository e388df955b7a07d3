// Where clients go: ready routers of the asker's region first, others when it has none (design 4.3).
import * as schema from "../../wire/schema.js";
import type * as shrinkGuard from "../members/shrink-guard.js";
import * as serve from "../../wire/serve.js";

const MAX_ADDRESSES = 64;
const TTL_S = 1;

/** Where routers stand: a region of each zone, and the members known. */
export interface DirectoryView {
  routers(): shrinkGuard.ObservedNode[];
  /** Whether a router that said it leaves still takes connections. */
  stillServes(node: schema.NodeInfo): boolean;
  /** Regions that the routes of a host name are bound to; empty: none. */
  homesOf(hostname: string): ReadonlySet<string>;
  ttlMostS: number;
}

/** Who asks, and for what. */
export interface Asker {
  region: string;
  zone: string;
  /** Regions that its routes are bound to, as far as they are. */
  homes?: ReadonlySet<string>;
}

/** 200 with up to 64 addresses, or 503 while no router is known. */
export function resolve(view: DirectoryView, query: URLSearchParams): serve.HttpResponse {
  const asker = { region: query.get("region") ?? "", zone: query.get("zone") ?? "", homes: view.homesOf(query.get("name") ?? "") };
  const chosen = nearest(view.routers(), asker, (node) => view.stillServes(node));
  if (chosen.length === 0) {
    return { status: 503, headers: { "Retry-After": "0.2" }, json: { message: "no router is known yet; ask again shortly" } };
  }
  const addresses = chosen.slice(0, MAX_ADDRESSES).map(outsideOf);
  return { status: 200, json: { addresses, ttl_s: Math.min(TTL_S, view.ttlMostS) } };
}

/** Routers that are surely alive go before those that are only believed to be (design/members 5). */
export function nearest(
  routers: readonly shrinkGuard.ObservedNode[],
  { region, zone, homes }: Asker,
  stillServes: (node: schema.NodeInfo) => boolean = never,
): schema.NodeInfo[] {
  const ready = routers.filter(isReady);
  // A known router that is not ready beats an empty reply.
  const usable = ready.length > 0 ? ready : routers;
  const here = usable.filter(isHere);
  const near = here.filter(isNear);
  function isHere(seen: shrinkGuard.ObservedNode): boolean {
    return seen.node.region === region;
  }
  function isNear(seen: shrinkGuard.ObservedNode): boolean {
    return seen.node.zone === zone;
  }
  // One router alone is no zone to lean on: then the whole region serves.
  const sureNear = near.filter(isSure);
  if (sureNear.length >= 2) return sureNear.map(nodeOf);
  const sureHere = here.filter(isSure);
  if (sureHere.length >= 2) return sureHere.map(nodeOf);
  if (near.length >= 2) return near.map(nodeOf);
  if (here.length > 0) return here.map(nodeOf);
  // Routers restarted one after the other may all be leaving for a moment: they serve on meanwhile, and requests that are
  // bound to a home stay in their region.
  const leaving = routers.filter((seen) => isHere(seen) && stillServes(seen.node));
  return (leaving.length > 0 ? leaving : atHome(usable, homes)).map(nodeOf);
}

/** Those in the regions that the routes are bound to; all where there are none. */
function atHome(usable: readonly shrinkGuard.ObservedNode[], homes: ReadonlySet<string> = new Set()): readonly shrinkGuard.ObservedNode[] {
  const found = usable.filter((seen) => homes.has(seen.node.region));
  return found.length > 0 ? found : usable;
}

function never(): boolean {
  return false;
}

function isSure(seen: shrinkGuard.ObservedNode): boolean {
  return seen.isConfirmed;
}

function nodeOf(seen: shrinkGuard.ObservedNode): schema.NodeInfo {
  return seen.node;
}

function isReady(seen: shrinkGuard.ObservedNode): boolean {
  return seen.node.isReady;
}

function outsideOf(node: schema.NodeInfo): string {
  return node.outside;
}

/** How long a leaving router outlives its place in the directory, in milliseconds. */
export const LEAVE_MS = 3 * TTL_S * 1000;
/** So long after it said that it leaves a router may still be named, in milliseconds: it listens for LEAVE_MS (*ours*). */
export const STILL_SERVES_MS = 2500;
