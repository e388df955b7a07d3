/**
 * How the grace period of a router is divided (design 7.11). The router and the directory both follow these windows, so that
 * no client is told of a router that takes no requests any more, and no request is taken that has to be given up.
 *
 *     SIGTERM ── named ── accept ──────── exit ── end of the grace period
 *
 * Until `accept` the router takes every request. Later it takes only what must end before `exit` by its own deadline.
 */
import * as link from "../wire/link.js";

/** Time to live of what the directory replies, in seconds: for so long clients use it. */
export const DIRECTORY_TTL_S = 1;
/** A drain notice reaches all control nodes with the next heartbeat between them. */
const MAX_NOTICE_DELAY_MS = link.HEARTBEAT_INTERVAL_MS;
/** Until clients have left for other routers: what they were told has expired twice over. */
const MAX_ACCEPT_MS = 2 * DIRECTORY_TTL_S * 1000;
/** At least the rest of the grace period belongs to the requests under way. */
const MAX_ACCEPT_FRACTION = 0.3;
/** The part of the grace period that is reserved for the end of the process itself. */
const EXIT_RESERVE_MS = 400;

/** Times in milliseconds since the drain began; `namedMs` <= `acceptMs` <= `exitMs`. */
export interface DrainWindows {
  /** The directory may name the router where it has no other one in the region. */
  namedMs: number;
  /** The router takes every request. */
  acceptMs: number;
  /** The process ends, whatever is under way. */
  exitMs: number;
}

/** The windows of a grace period in milliseconds. */
export function drainWindows(graceMs: number): DrainWindows {
  const exitMs = Math.max(0, graceMs - EXIT_RESERVE_MS);
  const acceptMs = Math.min(MAX_ACCEPT_MS, exitMs * MAX_ACCEPT_FRACTION);
  const namedMs = Math.max(0, acceptMs - DIRECTORY_TTL_S * 1000 - MAX_NOTICE_DELAY_MS);
  return { namedMs, acceptMs, exitMs };
}
