/**
 * Tells whether this process itself was not run for a while: it was suspended, or its event loop was busy. What its peers
 * sent meanwhile is still unread then, so that their silence says nothing about them.
 */
import type * as types from "../wire/types.js";

/** The periodic work of a node follows each 100 ms; a run that comes later than this was delayed. */
const DELAYED_RUN_MS = 250;
/** After a long delay peers have had this time to be in touch again. */
const MAX_RECOVERY_MS = 5000;

/** Watches the runs of one periodic task; a simulation that runs it seldom sees a delay each time. */
export class LoopDelay {
  /** Null before the first run: a start is no delay. */
  private lastRunAt: types.SteadyMs | null = null;
  private delayedAt = Number.NEGATIVE_INFINITY;
  private delayMs = 0;
  private wasReported = false;

  constructor(private readonly clock: types.Clock) {}

  /**
   * The task runs now. Returns whether this run is delayed, for which a caller may put off what it concludes from silence; never
   * twice in a row, so that a loop that stays slow goes on to conclude.
   */
  recordRun(): boolean {
    const now = this.clock.now();
    const sinceLastMs = this.sinceLastRunMs();
    this.lastRunAt = now;
    const isDelayed = sinceLastMs > DELAYED_RUN_MS;
    if (isDelayed) {
      this.delayedAt = now;
      this.delayMs = sinceLastMs;
    }
    this.wasReported = isDelayed && !this.wasReported;
    return this.wasReported;
  }

  /** Whether a run was delayed within the last `withinMs` milliseconds, or is delayed now. */
  wasDelayed(withinMs: number): boolean {
    return this.sinceLastRunMs() > DELAYED_RUN_MS || this.clock.now() - this.delayedAt <= withinMs;
  }

  private sinceLastRunMs(): number {
    return this.lastRunAt === null ? 0 : this.clock.now() - this.lastRunAt;
  }

  /** Whether peers may not be in touch again since the last delay: for as long as that took, and `settleMs` more. */
  isRecovering(settleMs: number): boolean {
    return this.wasDelayed(Math.min(MAX_RECOVERY_MS, this.delayMs + settleMs));
  }
}
