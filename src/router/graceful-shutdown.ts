/**
 * Graceful shutdown (design 7.11): the router leaves the directory, takes requests until clients have left for others, then
 * only what must end in time, and finishes what is under way within the grace period.
 */
import type * as types from "../wire/types.js";
import * as drainWindows from "../settings/drain-windows.js";
import * as log from "../runtime/log.js";
import * as timers from "../runtime/timers.js";
import type * as routerServer from "./client/router-server.js";
import * as drainAcceptance from "./drain-acceptance.js";

const POLL_INTERVAL_MS = 50;
/** The last bytes of responses that are given at the end leave the process meanwhile. */
const LAST_BYTES_MS = 100;

/** Resolves when no request is under way, or the grace period is nearly over. The caller sets `isDraining` of the server before. */
export async function drainRequests(clock: types.Clock, server: routerServer.RouterServer, graceMs: number): Promise<void> {
  const { acceptMs, exitMs } = drainWindows.drainWindows(graceMs);
  const startedAt = clock.now();
  const exitAt = startedAt + exitMs;
  server.acceptance = new drainAcceptance.DrainAcceptance(clock, startedAt + acceptMs, exitAt);
  log.state(`drain: ${server.activeCount} requests under way`);
  await timers.sleep(clock, acceptMs);
  // A refused connection costs the client less than a 503: it goes on to another address at once.
  server.close();
  log.state(`drain: no new connections, ${server.activeCount} requests under way`);
  while (server.activeCount > 0 && clock.now() < exitAt) await timers.sleep(clock, POLL_INTERVAL_MS);
  if (server.activeCount > 0) await giveUpUnanswered(clock, server);
  logEnd(startedAt, clock.now(), server);
}

async function giveUpUnanswered(clock: types.Clock, server: routerServer.RouterServer): Promise<void> {
  server.endForShutdown();
  const until = clock.now() + LAST_BYTES_MS;
  while (server.activeCount > 0 && clock.now() < until) await timers.sleep(clock, POLL_INTERVAL_MS);
}

function logEnd(startedAt: number, now: number, server: routerServer.RouterServer): void {
  const { activeCount, drain } = server;
  const received =
    `${drain.received} requests came meanwhile, ${drain.rejected} of them were sent elsewhere, ` +
    `${drain.afterClose} came after the listener had closed`;
  if (activeCount === 0) {
    log.state(`drain: complete after ${Math.round(now - startedAt)} ms; ${received}`);
    return;
  }
  log.count("drain.cut_off", activeCount);
  const { newestArrivedAt, onReusedConnections } = server.connections.origins();
  const newest = `the newest came ${Math.round(newestArrivedAt - startedAt)} ms after the drain began`;
  log.state(`drain: ${activeCount} requests are cut off, ${newest}, ${onReusedConnections} on reused connections; ${received}`);
}
