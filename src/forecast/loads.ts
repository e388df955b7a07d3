/**
 * The load forecast of the whole fleet, by region and route (design/batch 8). Every control node keeps one: it hears
 * what all routers counted, so that losing any node loses no more than that node's last reports.
 */
import type * as schema from "../wire/batch-schema.js";
import type * as types from "../wire/types.js";
import type * as errors from "./errors.js";
import * as series from "./series.js";

/** A day. */
export const DAY_MS = 24 * 3600 * 1000;
/** Series held; routes come and go. */
const MAX_SERIES = 512;
/** Weight of a newest mean. */
const MEAN_WEIGHT = 0.2;
/** A series without arrivals for so many steps is dropped. */
const IDLE_STEPS = 720;

interface Entry {
  series: series.RateSeries;
  /** Arrivals heard since the step began. */
  arrivals: number;
  idleSteps: number;
}

/** Means of what a request of a route takes; 0: not known. */
export interface RouteMeans {
  heldMs: number;
  unread: number;
}

/** Fed by `take`, stepped by `turn`. */
export class LoadForecast {
  private readonly entries = new Map<string, Entry>();
  private readonly means = new Map<string, RouteMeans>();
  private stepAt: types.SteadyMs;
  private readonly stepMs: number;
  /** Tokens of prompts that a runner reads a millisecond; 0: not known. */
  readRate = 0;

  constructor(
    private readonly clock: types.Clock,
    private readonly seasonMs = DAY_MS,
  ) {
    this.stepAt = clock.now();
    this.stepMs = series.stepMsOf(seasonMs);
  }

  /** A report of this node or a sibling. */
  take(report: schema.LoadReport): void {
    if (report.readRate > 0) this.readRate = blended(this.readRate, report.readRate);
    for (const load of report.loads) {
      const entry = this.entryOf(load.region, load.route);
      if (entry) entry.arrivals += load.arrivals;
      const means = this.means.get(load.route) ?? { heldMs: 0, unread: 0 };
      if (load.heldMs > 0) means.heldMs = blended(means.heldMs, load.heldMs);
      if (load.heldMs > 0) means.unread = blended(means.unread, load.unread);
      this.means.set(load.route, means);
    }
  }

  private entryOf(region: string, route: string): Entry | null {
    const key = `${region}|${route}`;
    let entry = this.entries.get(key);
    if (!entry && this.entries.size < MAX_SERIES) {
      entry = { series: new series.RateSeries(this.seasonMs), arrivals: 0, idleSteps: 0 };
      this.entries.set(key, entry);
    }
    return entry ?? null;
  }

  /** Called often; ends each step that is over. */
  turn(): void {
    const now = this.clock.now();
    while (now - this.stepAt >= this.stepMs) {
      this.stepAt = (this.stepAt + this.stepMs) as types.SteadyMs;
      for (const [key, entry] of this.entries) this.endStep(key, entry);
    }
  }

  private endStep(key: string, entry: Entry): void {
    entry.idleSteps = entry.arrivals > 0 ? 0 : entry.idleSteps + 1;
    if (entry.idleSteps > IDLE_STEPS) {
      this.entries.delete(key);
      return;
    }
    entry.series.observe(this.stepAt, (entry.arrivals * 1000) / this.stepMs);
    entry.arrivals = 0;
  }

  meansOf(route: string): RouteMeans | null {
    return this.means.get(route) ?? null;
  }

  /** The series of a region: all its routes. */
  seriesIn(region: string): { route: string; series: series.RateSeries }[] {
    const found: { route: string; series: series.RateSeries }[] = [];
    for (const [key, { series }] of this.entries) {
      const [where, route] = [key.slice(0, key.indexOf("|")), key.slice(key.indexOf("|") + 1)];
      if (where === region) found.push({ route, series });
    }
    return found;
  }

  /** How the load of a region `aheadMs` from now compares with now, and how sure that is; null: nothing was seen there. */
  outlook(region: string, aheadMs: number, weightOf: (route: string) => number): Outlook | null {
    const now = this.clock.now();
    let present = 0;
    let future = 0;
    let main: { weight: number; series: series.RateSeries } | null = null;
    for (const { route, series } of this.seriesIn(region)) {
      const rate = series.expected(now);
      const weight = rate * weightOf(route);
      present += weight;
      future += series.expected(now + aheadMs) * weightOf(route);
      if (!main || weight > main.weight) main = { weight, series };
    }
    if (!main || main.series.knowledge.steps === 0) return null;
    return { ratio: present > 0 ? future / present : 1, errors: main.series.errorsAt(aheadMs), ...main.series.knowledge };
  }
}

/** The load at a time over the load now. */
export interface Outlook {
  ratio: number;
  /** How far forecasts that looked about so far ahead were off. */
  errors: errors.RatioErrors;
  /** Steps observed, and the part of the season that is known, 0 to 1. */
  steps: number;
  coverage: number;
}

function blended(before: number, newest: number): number {
  return before === 0 ? newest : before + MEAN_WEIGHT * (newest - before);
}
