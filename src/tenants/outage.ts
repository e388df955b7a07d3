/** How long a state in which nothing can be decided is expected to last on (design/tenants 4.6). */
import type * as types from "../wire/types.js";

/** Bounds on the estimate, in milliseconds. */
export interface OutageBounds {
  leastMs: number;
  mostMs: number;
}

/** Not met for so long: what was seen before tells nothing of now (*ours*). */
const FORGOTTEN_MS = 2000;

/**
 * An outage that has lasted for some time is expected to last for as long again: nothing tells a short one from the
 * begin of a long one, and whoever is sent away for too short a time is sent away twice.
 */
export class Outage {
  private since: types.SteadyMs | null = null;
  private metAt: number = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly clock: types.Clock,
    private readonly bounds: OutageBounds,
  ) {}

  /** The outage is met: after how many milliseconds it is worth to come back. */
  met(): number {
    const now = this.clock.now();
    if (this.since === null || now - this.metAt > FORGOTTEN_MS) this.since = now;
    this.metAt = now;
    return Math.min(this.bounds.mostMs, Math.max(this.bounds.leastMs, now - this.since));
  }

  /** What it held up works again. */
  over(): void {
    this.since = null;
  }
}
