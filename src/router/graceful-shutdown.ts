/** Graceful shutdown (design 7.11): out of the directory first, then the requests under way are finished within the grace period. */
import * as directory from "../control/directory/directory.js";
import * as link from "../wire/link.js";
import type * as types from "../wire/types.js";
import * as timers from "../runtime/timers.js";
import type * as routerServer from "./client/router-server.js";

/** The part of the grace period that is reserved for the end of the process itself. */
const EXIT_RESERVE_MS = 400;
const POLL_INTERVAL_MS = 50;

/** Resolves when no request is under way, or the grace period is nearly over. The caller sets `isDraining` of the server before. */
export async function drainRequests(clock: types.Clock, server: routerServer.RouterServer, graceMs: number): Promise<void> {
  const startedAt = clock.now();
  const until = startedAt + graceMs - EXIT_RESERVE_MS;
  await timers.sleep(clock, Math.min(directory.DRAIN_MS + link.HEARTBEAT_INTERVAL_MS, until - startedAt));
  server.close();
  while (server.activeCount > 0 && clock.now() < until) await timers.sleep(clock, POLL_INTERVAL_MS);
}
