// Quantiles of what was seen lately, by the HDR histograms that come with Node.js (design/admission 3).
import * as perf from "node:perf_hooks";

const FIGURES = 2;
const WINDOW = 400;
const ENOUGH = 50;
const FRESH = 16;
const MOST = 10_000_000;

function made(): perf.RecordableHistogram {
  return perf.createHistogram({ lowest: 1, highest: MOST, figures: FIGURES });
}

/** Values above 0, kept in steps of 1 / scale; forgotten after one to two windows of records. */
export class Spread {
  private current = made();
  private former = made();
  private readonly cached = new Map<number, number>();
  private sinceRead = 0;
  private all = 0;

  /** `window`: records until the oldest are forgotten. */
  constructor(
    private readonly scale: number,
    private readonly window = WINDOW,
  ) {}

  get count(): number {
    return this.all;
  }

  record(value: number): void {
    if (!Number.isFinite(value) || value < 0) return;
    if (this.current.count >= this.window) {
      const oldest = this.former;
      this.former = this.current;
      oldest.reset();
      this.current = oldest;
    }
    this.current.record(Math.min(MOST, Math.max(1, Math.round(value * this.scale))));
    this.all += 1;
    this.sinceRead += 1;
    if (this.all <= FRESH || this.sinceRead >= FRESH) {
      this.sinceRead = 0;
      this.cached.clear();
    }
  }

  /** The same of all records of the window so far, read anew. */
  exactly(percent: number): number {
    return this.current.count === 0 ? 0 : this.current.percentile(percent) / this.scale;
  }

  /** The value that `percent` of the records do not exceed; `none` without a record. */
  at(percent: number, none: number): number {
    if (this.all === 0) return none;
    let value = this.cached.get(percent);
    if (value === undefined) {
      const read = this.current.count >= ENOUGH || this.former.count === 0 ? this.current : this.former;
      value = read.percentile(percent) / this.scale;
      this.cached.set(percent, value);
    }
    return value;
  }
}

/** A table that forgets what was not used for longest. */
export class Bounded<K, V> {
  private readonly items = new Map<K, V>();
  constructor(
    private readonly most: number,
    private readonly make: () => V,
  ) {}

  of(key: K): V {
    const item = this.items.get(key) ?? this.make();
    this.items.delete(key);
    this.items.set(key, item);
    for (const oldest of this.items.keys()) {
      if (this.items.size <= this.most) break;
      this.items.delete(oldest);
    }
    return item;
  }

  entries(): Iterable<[K, V]> {
    return this.items.entries();
  }
}
