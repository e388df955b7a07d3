/**
 * How far forecasts were off (design/batch 8): each one made is compared with what was then seen, and the newest
 * ratios, by how far ahead they looked, tell how wide a band has to be.
 */
import * as statistics from "simple-statistics";

/** Newest ratios kept for each horizon. */
const KEPT = 200;
/** Fewer than these say little: the usual ones count as well. */
const FEW = 60;
/** Logarithms of seen over expected before anything was learned: off by a third, one time in ten by more than half. */
const USUAL = [-0.6, -0.4, -0.25, -0.15, -0.05, 0, 0.05, 0.15, 0.25, 0.4, 0.6];

/** One forecast that was wholly wrong says no more than one that was off by this, as a logarithm. */
const MAX_RATIO = 1.2;

/** Logarithms of seen / expected, the newest of one horizon. */
export class RatioErrors {
  private readonly ratios: number[] = [];

  /** Both above 0; others teach nothing. */
  learn(expected: number, seen: number): void {
    if (expected <= 0 || seen <= 0 || !Number.isFinite(expected) || !Number.isFinite(seen)) return;
    this.ratios.push(Math.min(MAX_RATIO, Math.max(-MAX_RATIO, Math.log(seen / expected))));
    if (this.ratios.length > KEPT) this.ratios.shift();
  }

  get count(): number {
    return this.ratios.length;
  }

  private sample(): number[] {
    return this.ratios.length < FEW ? [...this.ratios, ...USUAL] : this.ratios;
  }

  /** The factor by which what is seen differs from what was expected, at a quantile from 0 to 1. */
  factorAt(quantile: number): number {
    return Math.exp(statistics.quantile(this.sample(), Math.min(1, Math.max(0, quantile))));
  }

  /** The median of |seen / expected - 1|. */
  medianError(): number {
    return statistics.median(this.sample().map(distance));
  }
}

function distance(logarithm: number): number {
  return Math.abs(Math.exp(logarithm) - 1);
}
