/**
 * At most one run a period: the first request after an idle period runs at once, further ones are combined into one run
 * at the end of the period (design/usage 2.2).
 */
import * as types from "../wire/types.js";

/** The period of hints. */
export const PERIOD_MS = 60;

/** Runs a function at most once a period, on request. */
export class Throttle {
  private lastRunAt = -Infinity;
  private timer: types.Timer | null = null;

  constructor(
    private readonly clock: types.Clock,
    private readonly run: () => void,
    private readonly periodMs = PERIOD_MS,
  ) {}

  /** Requests a run: now, or once at the end of the period. */
  request(): void {
    if (this.timer) return;
    const waitMs = this.lastRunAt + this.periodMs - this.clock.now();
    if (waitMs <= 0) this.fire();
    else this.timer = this.clock.schedule(waitMs, () => this.fire());
  }

  private fire(): void {
    this.timer = null;
    this.lastRunAt = this.clock.now();
    this.run();
  }

  /** Cancels a deferred run. */
  stop(): void {
    this.timer?.stop();
    this.timer = null;
  }
}
