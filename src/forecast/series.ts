/**
 * The forecast of one rate (design/batch 8): its short-term level and trend, moved by the shape of the season for times
 * further away. Every step it is compared with what it said before, for several horizons.
 */
import * as errors from "./errors.js";
import * as season from "./season.js";
import * as smoothing from "./smoothing.js";

/** Slots of a season; steps of a slot. */
export const SLOTS = 48;
const STEPS_PER_SLOT = 15;
/** Horizons in steps whose errors are measured: two minutes, a quarter and a half of an hour, two and six hours a day. */
const HORIZONS = [1, 8, 15, 60, 180] as const;

interface Pending {
  horizon: number;
  dueAt: number;
  expected: number;
}

/** One series; `observe` is called once a step. */
export class RateSeries {
  /** Milliseconds between two observations. */
  readonly stepMs: number;
  private readonly near = new smoothing.DampedTrend();
  private readonly shape: season.SeasonShape;
  private readonly errorsByHorizon = HORIZONS.map(() => new errors.RatioErrors());
  private pending: Pending[] = [];
  private lastAt = 0;

  constructor(seasonMs: number) {
    this.stepMs = stepMsOf(seasonMs);
    this.shape = new season.SeasonShape(seasonMs, SLOTS);
  }

  /** The mean rate over the step that ended at this time. */
  observe(atMs: number, rate: number): void {
    this.compare(atMs, rate);
    this.near.observe(rate);
    this.shape.observe(atMs - this.stepMs / 2, rate);
    this.lastAt = atMs;
    for (const [index, horizon] of HORIZONS.entries()) {
      const dueAt = atMs + horizon * this.stepMs;
      this.pending.push({ horizon: index, dueAt, expected: this.expected(dueAt - this.stepMs / 2) });
    }
  }

  private compare(atMs: number, rate: number): void {
    const due = this.pending.filter((item) => item.dueAt <= atMs + this.stepMs / 2);
    this.pending = this.pending.filter((item) => item.dueAt > atMs + this.stepMs / 2);
    for (const item of due) this.errorsByHorizon[item.horizon].learn(item.expected, rate);
  }

  /** The rate expected at a time. */
  expected(atMs: number): number {
    const steps = Math.max(0, (atMs - this.lastAt) / this.stepMs);
    const ratio = this.shape.ratio(this.lastAt - this.stepMs / 2, atMs);
    // The shape knows how the day goes on; without it the trend alone is followed.
    return ratio === null ? this.near.after(steps) : this.near.after(0) * ratio;
  }

  /** The errors of forecasts that look about so far ahead. */
  errorsAt(aheadMs: number): errors.RatioErrors {
    const steps = aheadMs / this.stepMs;
    let best = 0;
    for (const [index, horizon] of HORIZONS.entries())
      if (Math.abs(Math.log(horizon / Math.max(1, steps))) < Math.abs(Math.log(HORIZONS[best] / Math.max(1, steps)))) best = index;
    while (best > 0 && this.errorsByHorizon[best].count === 0) best -= 1;
    return this.errorsByHorizon[best];
  }

  /** Steps observed, and the part of the season that is known, 0 to 1. */
  get knowledge(): { steps: number; coverage: number } {
    return { steps: this.near.count, coverage: this.shape.coverage };
  }
}

/** The length of a step in milliseconds, for a season of this length. */
export function stepMsOf(seasonMs: number): number {
  return seasonMs / SLOTS / STEPS_PER_SLOT;
}
