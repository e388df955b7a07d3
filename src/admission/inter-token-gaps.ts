/**
 * Pauses between the events of this router's streams, by runner, over what their routes allow (design/admission 12).
 *
 * Long readings hold up every stream of their runner: where its streams pause almost too long, none is added.
 */
import type * as types from "../wire/types.js";

/** What was seen counts half after so long (ours). */
const HALF_LIFE_MS = 500;
/** From this part of the allowed pause on, a runner takes no further long reading from a newcomer (ours). */
const PRESSED_SHARE = 0.45;

interface RecentPause {
  share: number;
  at: number;
}

/** The longest recent pause of each runner, as a share of the pause allowed; it decays by half-lives. */
export class InterTokenGaps {
  private readonly byRunner = new Map<types.RunnerId, RecentPause>();

  /** A pause of so much of the one allowed has just ended there. */
  recordGap(runner: types.RunnerId, share: number, now: number): void {
    const seen = this.byRunner.get(runner);
    if (!seen) this.byRunner.set(runner, { share, at: now });
    else if (share >= this.shareAt(runner, now)) Object.assign(seen, { share, at: now });
  }

  private shareAt(runner: types.RunnerId, now: number): number {
    const seen = this.byRunner.get(runner);
    return seen ? seen.share * 0.5 ** ((now - seen.at) / HALF_LIFE_MS) : 0;
  }

  /** Whether streams there pause too long for another long prompt. */
  isNearLimit(runner: types.RunnerId, now: number): boolean {
    return this.shareAt(runner, now) >= PRESSED_SHARE;
  }

  /** Drops runners that are not listed. */
  retainOnly(listed: { has(id: string): boolean }): void {
    for (const id of this.byRunner.keys()) if (!listed.has(id)) this.byRunner.delete(id);
  }
}
