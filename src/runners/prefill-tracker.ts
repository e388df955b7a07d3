// What the routers know together of the runners' readings (design 7.4): who has read which parts, and how long
// each still reads. Told among routers as it happens, kept in memory, lost with the process.
import type * as promptParts from "../routing/prompt-parts.js";

const INITIAL_TOKENS_PER_MS = 40;
const RISE_WEIGHT = 0.3;
const FALL_WEIGHT = 0.02;
const MAX_CACHED_KEYS = 4000;
const MIN_SAMPLE_TOKENS = 1500;

interface RunnerPrefill {
  busyUntil: number;
  cachedKeys: Set<number>;
}

/** Which prompts each runner keeps and reads, as far as it is known here. */
export class PrefillTracker {
  private readonly byRunner = new Map<string, RunnerPrefill>();
  /** Tokens read a millisecond, learned from the replies. */
  tokensPerMs = INITIAL_TOKENS_PER_MS;

  private getOrCreate(runner: string): RunnerPrefill {
    let prefill = this.byRunner.get(runner);
    if (!prefill) {
      prefill = { busyUntil: 0, cachedKeys: new Set() };
      this.byRunner.set(runner, prefill);
    }
    return prefill;
  }

  retainOnly(standing: { has(runner: string): boolean }): void {
    for (const runner of this.byRunner.keys()) if (!standing.has(runner)) this.byRunner.delete(runner);
  }

  /** A reading that was sent, here or by another router. */
  recordPrefill(runner: string, uncachedTokens: number, keys: readonly number[], now: number): void {
    const prefill = this.getOrCreate(runner);
    prefill.busyUntil = Math.max(now, prefill.busyUntil) + uncachedTokens / this.tokensPerMs;
    for (const key of keys) {
      prefill.cachedKeys.delete(key);
      prefill.cachedKeys.add(key);
    }
    for (const oldest of prefill.cachedKeys) {
      if (prefill.cachedKeys.size <= MAX_CACHED_KEYS) break;
      prefill.cachedKeys.delete(oldest);
    }
  }

  backlogMs(runner: string, now: number): number {
    const prefill = this.byRunner.get(runner);
    return prefill ? Math.max(0, prefill.busyUntil - now) : 0;
  }

  /** Tokens that the runner would have to read: the key of a part is made of all before it, so these are kept with it. */
  unread(runner: string, parts: readonly promptParts.PromptPart[], keys: readonly number[]): number {
    let unread = 0;
    for (const part of parts.slice(this.cachedParts(runner, keys))) unread += part.tokens;
    return unread;
  }

  /** How many parts of the prompt, from the first on, the runner keeps. */
  cachedParts(runner: string, keys: readonly number[]): number {
    const kept = this.byRunner.get(runner)?.cachedKeys;
    if (!kept) return 0;
    for (let count = keys.length; count > 0; count -= 1) if (kept.has(keys[count - 1])) return count;
    return 0;
  }

  /** The upper side of what is seen: replies are held up by more than reading. */
  learnRate(tokens: number, tookMs: number): void {
    if (tokens < MIN_SAMPLE_TOKENS || tookMs <= 0) return;
    const sample = tokens / tookMs;
    this.tokensPerMs += (sample > this.tokensPerMs ? RISE_WEIGHT : FALL_WEIGHT) * (sample - this.tokensPerMs);
  }
}
