/**
 * Collects the load that routers counted (design/batch 8): each control node requests it from the routers that follow it, sums
 * it by region and route, and sends the sums to its peers, so that all of them learn the same forecast.
 */
import * as calls from "../../wire/calls.js";
import type * as batchSchema from "../../wire/batch-schema.js";
import type * as link from "../../wire/link.js";
import type * as schema from "../../wire/schema.js";
import * as types from "../../wire/types.js";
import type * as dialer from "../../feed/dialer.js";
import type * as feedPublisher from "../../feed/feed-publisher.js";
import * as loads from "../../forecast/loads.js";
import * as loadSummary from "../../load/load-summary.js";
import type * as membership from "../members/membership.js";

const COLLECT_INTERVAL_MS = 5000;
const REPLY_TIMEOUT_MS = 2000;

/** A router's counts as received last. */
interface RouterCounts {
  incarnation: string;
  arrivals: Map<string, number>;
}

/** A router's reply to a request for its loads. */
interface RouterReply {
  node: schema.NodeInfo;
  loads: batchSchema.RouterLoads;
}

/** Run by the control node's timer. */
export class LoadCollector {
  readonly forecast: loads.LoadForecast;
  private readonly counted = new Map<string, RouterCounts>();
  private requestedAt = -Infinity;
  private isCollecting = false;

  constructor(
    private readonly clock: types.Clock,
    private readonly feed: Pick<feedPublisher.FeedPublisher, "subscribersOf">,
    private readonly members: Pick<membership.Membership, "readyRouters">,
    private readonly dial: Pick<dialer.Dialer, "links">,
  ) {
    this.forecast = new loads.LoadForecast(clock);
  }

  /** Registers the handler of peers' reports. */
  registerHandlers(handlers: link.Handlers): void {
    handlers.on(calls.loadReport, (_from, report) => {
      this.forecast.take(report);
      return null;
    });
  }

  /** Collects the loads when they are due. */
  runPeriodically(): void {
    this.forecast.turn();
    const now = this.clock.now();
    if (this.isCollecting || now - this.requestedAt < COLLECT_INTERVAL_MS) return;
    const spanMs = now - this.requestedAt;
    this.requestedAt = now;
    void this.collect(Number.isFinite(spanMs) ? spanMs : 0);
  }

  private async collect(spanMs: number): Promise<void> {
    this.isCollecting = true;
    const followers = new Set(this.feed.subscribersOf(loadSummary.SUMMARY_TOPIC));
    const requests: Promise<RouterReply | null>[] = [];
    for (const router of this.members.readyRouters()) {
      if (followers.has(router.link)) requests.push(requestLoads(router.node, router.link));
    }
    const replies = await Promise.all(requests);
    this.isCollecting = false;
    const report = this.reportOf(replies, spanMs);
    if (report.loads.length === 0) return;
    this.forecast.take(report);
    for (const peer of this.dial.links()) peer.send(calls.loadReport, report);
  }

  private reportOf(replies: readonly (RouterReply | null)[], spanMs: number): batchSchema.LoadReport {
    const sums = new Map<string, batchSchema.RegionLoad>();
    let readRate = 0;
    for (const reply of replies) {
      if (!reply) continue;
      readRate = Math.max(readRate, reply.loads.readRate);
      for (const load of this.arrivalsSinceLast(reply)) addLoad(sums, reply.node.region, load);
    }
    return { spanMs, readRate, loads: [...sums.values()] };
  }

  /** What a router counted since its last reply; the first reply of an incarnation only sets the offset. */
  private arrivalsSinceLast({ node, loads: counted }: RouterReply): batchSchema.RouteLoad[] {
    const previous = this.counted.get(node.name);
    const arrivals = new Map<string, number>();
    const isKnown = previous?.incarnation === counted.life;
    const loadsSinceLast: batchSchema.RouteLoad[] = [];
    for (const load of counted.routes) {
      arrivals.set(load.route, load.arrivals);
      if (isKnown) loadsSinceLast.push({ ...load, arrivals: Math.max(0, load.arrivals - (previous.arrivals.get(load.route) ?? 0)) });
    }
    this.counted.set(node.name, { incarnation: counted.life, arrivals });
    return loadsSinceLast;
  }
}

async function requestLoads(node: schema.NodeInfo, to: link.Link): Promise<RouterReply | null> {
  const reply = await to.call(calls.routerLoads, { _: false }, REPLY_TIMEOUT_MS);
  return reply && { node, loads: reply };
}

/** Means are weighted by the arrivals that they stand for. */
function addLoad(sums: Map<string, batchSchema.RegionLoad>, region: string, load: batchSchema.RouteLoad): void {
  const key = `${region}|${load.route}`;
  const sum = sums.get(key);
  if (!sum) {
    sums.set(key, { region, ...load });
    return;
  }
  const arrivals = sum.arrivals + load.arrivals;
  const weight = load.heldMs <= 0 ? 0 : sum.heldMs <= 0 ? 1 : load.arrivals / Math.max(1, arrivals);
  sum.heldMs += weight * (load.heldMs - sum.heldMs);
  sum.unread += weight * (load.unread - sum.unread);
  sum.arrivals = arrivals;
}
