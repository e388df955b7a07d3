/**
 * Gaps between the events of this router's streams, by runner, relative to the gap that their routes allow
 * (design/admission 12).
 *
 * A long prefill delays every stream of its runner: where gaps are near their limit, none is added.
 */
import type * as types from "../wire/types.js";

/** Half-life of an observed gap (ours). */
const HALF_LIFE_MS = 500;
/** From this fraction of the allowed gap on, no long prefill is added to a runner (ours). */
const NEAR_LIMIT_FRACTION = 0.45;

interface RecentGap {
  fraction: number;
  at: number;
}

/** The longest recent gap of each runner, as a fraction of the gap allowed; decays exponentially. */
export class InterTokenGaps {
  private readonly byRunner = new Map<types.RunnerId, RecentGap>();

  /** Records a gap that has just ended, as a fraction of the gap allowed. */
  recordGap(runner: types.RunnerId, fraction: number, now: number): void {
    const recent = this.byRunner.get(runner);
    if (!recent) this.byRunner.set(runner, { fraction, at: now });
    else if (fraction >= this.fractionAt(runner, now)) Object.assign(recent, { fraction, at: now });
  }

  private fractionAt(runner: types.RunnerId, now: number): number {
    const recent = this.byRunner.get(runner);
    return recent ? recent.fraction * 0.5 ** ((now - recent.at) / HALF_LIFE_MS) : 0;
  }

  /** Whether the gaps of the runner's streams are too long for another long prefill. */
  isNearLimit(runner: types.RunnerId, now: number): boolean {
    return this.fractionAt(runner, now) >= NEAR_LIMIT_FRACTION;
  }

  /** Drops runners that are not listed. */
  retainOnly(listed: { has(id: string): boolean }): void {
    for (const id of this.byRunner.keys()) if (!listed.has(id)) this.byRunner.delete(id);
  }
}
