/** Estimates how long an outage will go on, for the Retry-After of requests that it rejects (design/tenants 4.6). */
import type * as types from "../wire/types.js";

/** Bounds on the estimate, in milliseconds. */
export interface OutageBounds {
  minMs: number;
  maxMs: number;
}

/** An outage not observed for so long has ended; the next observation begins another. */
const RESET_AFTER_MS = 2000;

/**
 * An outage that has lasted for some time is expected to last for as long again: nothing tells a short one from the
 * begin of a long one, and whoever is sent away for too short a time is sent away twice.
 */
export class Outage {
  private since: types.SteadyMs | null = null;
  private lastSeenAt: number = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly clock: types.Clock,
    private readonly bounds: OutageBounds,
  ) {}

  /** Records that the outage was observed; returns after how many milliseconds a retry is worthwhile. */
  retryAfterMs(): number {
    const now = this.clock.now();
    if (this.since === null || now - this.lastSeenAt > RESET_AFTER_MS) this.since = now;
    this.lastSeenAt = now;
    return Math.min(this.bounds.maxMs, Math.max(this.bounds.minMs, now - this.since));
  }

  /** Records that the outage is over. */
  end(): void {
    this.since = null;
  }
}
