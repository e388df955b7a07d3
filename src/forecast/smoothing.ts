/**
 * Double exponential smoothing with a damped trend (Holt 1957; Gardner and McKenzie 1985): the short-term part of the
 * load forecast (design/batch 8). One observation a step of fixed length; values are rates and never negative.
 */

/** Weights of the newest observation in level and trend, and what is left of the trend after a step. */
const LEVEL_WEIGHT = 0.35;
const TREND_WEIGHT = 0.1;
const DAMPING = 0.9;

/** Level and trend of one series. */
export class DampedTrend {
  private level = 0;
  private trend = 0;
  private steps = 0;

  /** Observations so far. */
  get count(): number {
    return this.steps;
  }

  observe(value: number): void {
    const before = this.level;
    if (this.steps === 0) this.level = value;
    else this.level = LEVEL_WEIGHT * value + (1 - LEVEL_WEIGHT) * (before + DAMPING * this.trend);
    if (this.steps > 0) this.trend = TREND_WEIGHT * (this.level - before) + (1 - TREND_WEIGHT) * DAMPING * this.trend;
    this.steps += 1;
  }

  /** The value expected `steps` steps after the last observation; 0 without one. */
  after(steps: number): number {
    const sum = (DAMPING * (1 - DAMPING ** Math.max(0, steps))) / (1 - DAMPING);
    return Math.max(0, this.level + sum * this.trend);
  }
}
