// Where clients go: ready routers of the asker's region first, others when it has none (design 4.3).
import * as schema from "../wire/schema.js";
import * as serve from "./serve.js";

const MOST_ADDRESSES = 64;
const TTL_S = 1;

/** Where routers stand: a region of each zone, and the members known. */
export interface DirectoryView {
  routers(): schema.NodeInfo[];
  ttlMostS: number;
}

export function resolve(view: DirectoryView, query: URLSearchParams): serve.Told {
  const chosen = nearest(view.routers(), query.get("region") ?? "", query.get("zone") ?? "");
  if (chosen.length === 0) {
    return { status: 503, headers: { "Retry-After": "0.2" }, json: { message: "no router is known yet; ask again shortly" } };
  }
  const addresses = chosen.slice(0, MOST_ADDRESSES).map(outsideOf);
  return { status: 200, json: { addresses, ttl_s: Math.min(TTL_S, view.ttlMostS) } };
}

export function nearest(routers: readonly schema.NodeInfo[], region: string, zone: string): schema.NodeInfo[] {
  const ready = routers.filter(isReady);
  // A known router that is not ready beats an empty reply.
  const usable = ready.length > 0 ? ready : routers;
  const here = usable.filter(isHere);
  const near = here.filter(isNear);
  function isHere(node: schema.NodeInfo): boolean {
    return node.region === region;
  }
  function isNear(node: schema.NodeInfo): boolean {
    return node.zone === zone;
  }
  // One router alone is no zone to lean on: then the whole region serves.
  if (near.length >= 2) return near;
  return here.length > 0 ? here : [...usable];
}

function isReady(node: schema.NodeInfo): boolean {
  return node.isReady;
}

function outsideOf(node: schema.NodeInfo): string {
  return node.outside;
}

export const LEAVE_MS = 3 * TTL_S * 1000;
