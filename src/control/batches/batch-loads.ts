/**
 * Gathers what routers counted (design/batch 8): each control node asks the routers that follow it, sums their counts by
 * region and route, and tells its siblings the sums, so that all of them learn the same forecast.
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

const ASK_EVERY_MS = 5000;
const REPLY_MS = 2000;

/** A router's counts as heard last. */
interface Counted {
  life: string;
  arrivals: Map<string, number>;
}

interface Heard {
  node: schema.NodeInfo;
  loads: batchSchema.RouterLoads;
}

/** Turned by the control node's timer. */
export class BatchLoads {
  readonly forecast: loads.LoadForecast;
  private readonly counted = new Map<string, Counted>();
  private askedAt = -Infinity;
  private isAsking = false;

  constructor(
    private readonly clock: types.Clock,
    private readonly feed: Pick<feedPublisher.FeedPublisher, "subscribersOf">,
    private readonly members: Pick<membership.Membership, "readyRouters">,
    private readonly dial: Pick<dialer.Dialer, "links">,
  ) {
    this.forecast = new loads.LoadForecast(clock);
  }

  /** Hears siblings. */
  register(handlers: link.Handlers): void {
    handlers.on(calls.loadReport, (_from, told) => {
      this.forecast.take(told);
      return null;
    });
  }

  turn(): void {
    this.forecast.turn();
    const now = this.clock.now();
    if (this.isAsking || now - this.askedAt < ASK_EVERY_MS) return;
    const spanMs = now - this.askedAt;
    this.askedAt = now;
    void this.gather(Number.isFinite(spanMs) ? spanMs : 0);
  }

  private async gather(spanMs: number): Promise<void> {
    this.isAsking = true;
    const followers = new Set(this.feed.subscribersOf(loadSummary.SUMMARY_TOPIC));
    const asked: Promise<Heard | null>[] = [];
    for (const { node, link: to } of this.members.readyRouters()) if (followers.has(to)) asked.push(ask(node, to));
    const heard = await Promise.all(asked);
    this.isAsking = false;
    const report = this.reportOf(heard, spanMs);
    if (report.loads.length === 0) return;
    this.forecast.take(report);
    for (const sibling of this.dial.links()) sibling.send(calls.loadReport, report);
  }

  private reportOf(heard: readonly (Heard | null)[], spanMs: number): batchSchema.LoadReport {
    const sums = new Map<string, batchSchema.RegionLoad>();
    let readRate = 0;
    for (const item of heard) {
      if (!item) continue;
      readRate = Math.max(readRate, item.loads.readRate);
      for (const load of this.newOf(item)) add(sums, item.node.region, load);
    }
    return { spanMs, readRate, loads: [...sums.values()] };
  }

  /** What a router counted since it was asked last; the first answer of a life only sets the mark. */
  private newOf({ node, loads: told }: Heard): batchSchema.RouteLoad[] {
    const before = this.counted.get(node.name);
    const arrivals = new Map<string, number>();
    const isKnown = before?.life === told.life;
    const made: batchSchema.RouteLoad[] = [];
    for (const load of told.routes) {
      arrivals.set(load.route, load.arrivals);
      if (isKnown) made.push({ ...load, arrivals: Math.max(0, load.arrivals - (before.arrivals.get(load.route) ?? 0)) });
    }
    this.counted.set(node.name, { life: told.life, arrivals });
    return made;
  }
}

async function ask(node: schema.NodeInfo, to: link.Link): Promise<Heard | null> {
  const told = await to.call(calls.routerLoads, { _: false }, REPLY_MS);
  return told && { node, loads: told };
}

/** Means are weighted by the arrivals that they stand for. */
function add(sums: Map<string, batchSchema.RegionLoad>, region: string, load: batchSchema.RouteLoad): void {
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
