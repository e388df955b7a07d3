/**
 * What the routers know together of the runners' prefix caches and prefill queues (design 7.4). Exchanged as hints, kept
 * in memory, lost with the process.
 */
import type * as promptParts from "../routing/prompt-parts.js";

/** Until the first samples. */
const INITIAL_TOKENS_PER_MS = 40;
/** Weights of a sample above and below the present rate: responses are delayed by more than the prefill, so that the fast ones count. */
const RISE_WEIGHT = 0.3;
const FALL_WEIGHT = 0.02;
const MAX_CACHED_KEYS = 4000;
const MIN_SAMPLE_TOKENS = 1500;

interface RunnerPrefill {
  /** When the prefills sent to it so far end. */
  busyUntil: number;
  /** Prefix keys, the least recently used first. */
  cachedKeys: Set<number>;
}

/** The prefix caches and prefill backlogs of all runners, as far as this router knows; times are milliseconds of the steady clock. */
export class PrefillTracker {
  private readonly byRunner = new Map<string, RunnerPrefill>();
  /** The prefill rate of a runner, learned from responses. */
  tokensPerMs = INITIAL_TOKENS_PER_MS;

  private getOrCreate(runner: string): RunnerPrefill {
    let prefill = this.byRunner.get(runner);
    if (!prefill) {
      prefill = { busyUntil: 0, cachedKeys: new Set() };
      this.byRunner.set(runner, prefill);
    }
    return prefill;
  }

  /** Forgets all runners that are no members. */
  retainOnly(members: { has(runner: string): boolean }): void {
    for (const runner of this.byRunner.keys()) if (!members.has(runner)) this.byRunner.delete(runner);
  }

  /** A prompt was sent to the runner by this router or another. */
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

  /** How long the runner is busy with the prefills ahead. */
  backlogMs(runner: string, now: number): number {
    const prefill = this.byRunner.get(runner);
    return prefill ? Math.max(0, prefill.busyUntil - now) : 0;
  }

  /** Tokens of the prompt that the runner would have to process. */
  uncachedTokens(runner: string, parts: readonly promptParts.PromptPart[], keys: readonly number[]): number {
    let tokens = 0;
    for (const part of parts.slice(this.cachedParts(runner, keys))) tokens += part.tokens;
    return tokens;
  }

  /** How many parts of the prompt, from the first on, the runner has cached. */
  cachedParts(runner: string, keys: readonly number[]): number {
    const cached = this.byRunner.get(runner)?.cachedKeys;
    if (!cached) return 0;
    for (let count = keys.length; count > 0; count -= 1) if (cached.has(keys[count - 1])) return count;
    return 0;
  }

  /** The first byte of a response came `tookMs` after its request; short prompts say too little. */
  learnRate(tokens: number, tookMs: number): void {
    if (tokens < MIN_SAMPLE_TOKENS || tookMs <= 0) return;
    const sample = tokens / tookMs;
    this.tokensPerMs += (sample > this.tokensPerMs ? RISE_WEIGHT : FALL_WEIGHT) * (sample - this.tokensPerMs);
  }
}
