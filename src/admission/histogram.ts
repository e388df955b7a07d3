/** Percentiles of recent values, by the HDR histograms that come with Node.js (design/admission 3). */
import * as perf from "node:perf_hooks";

const SIGNIFICANT_FIGURES = 2;
const WINDOW_RECORDS = 400;
const MIN_CURRENT_RECORDS = 50;
const CACHE_RECORDS = 16;
const MAX_VALUE = 10_000_000;

function newHistogram(): perf.RecordableHistogram {
  return perf.createHistogram({ lowest: 1, highest: MAX_VALUE, figures: SIGNIFICANT_FIGURES });
}

/** Values above 0, kept in steps of 1 / scale; forgotten after one to two windows of records. */
export class Histogram {
  private current = newHistogram();
  private previous = newHistogram();
  private readonly cached = new Map<number, number>();
  private sinceRead = 0;
  private recorded = 0;

  /** `window`: records until the oldest are forgotten. */
  constructor(
    private readonly scale: number,
    private readonly window = WINDOW_RECORDS,
  ) {}

  /** All values recorded so far, also the forgotten ones. */
  get count(): number {
    return this.recorded;
  }

  /** Records a value; one that is negative or not finite is ignored. */
  record(value: number): void {
    if (!Number.isFinite(value) || value < 0) return;
    if (this.current.count >= this.window) {
      const oldest = this.previous;
      this.previous = this.current;
      oldest.reset();
      this.current = oldest;
    }
    this.current.record(Math.min(MAX_VALUE, Math.max(1, Math.round(value * this.scale))));
    this.recorded += 1;
    this.sinceRead += 1;
    if (this.recorded <= CACHE_RECORDS || this.sinceRead >= CACHE_RECORDS) {
      this.sinceRead = 0;
      this.cached.clear();
    }
  }

  /** The same over the current window alone, computed anew; 0 without a record. */
  exactPercentile(percent: number): number {
    return this.current.count === 0 ? 0 : this.current.percentile(percent) / this.scale;
  }

  /**
   * The value that `percent` of the recent records do not exceed; `fallback` without a record. Cached over a few
   * records.
   */
  percentile(percent: number, fallback: number): number {
    if (this.recorded === 0) return fallback;
    let value = this.cached.get(percent);
    if (value === undefined) {
      const read = this.current.count >= MIN_CURRENT_RECORDS || this.previous.count === 0 ? this.current : this.previous;
      value = read.percentile(percent) / this.scale;
      this.cached.set(percent, value);
    }
    return value;
  }
}
