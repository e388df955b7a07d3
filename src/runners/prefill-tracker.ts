// What the routers know together of the runners' readings (design 7.4): who has read which parts, and how long
// each still reads. Told among routers as it happens, kept in memory, lost with the process.
import type * as routePlan from "../routing/route-plan.js";
import * as shares from "../limits/shares.js";

const FIRST_RATE = 40;
const FASTER = 0.3;
const SLOWER = 0.02;
const MAX_KEPT = 4000;
const LONG_SAMPLE = 1500;

interface Reader {
  busyUntil: number;
  kept: Set<number>;
}

/** Which prompts each runner keeps and reads, as far as it is known here. */
export class PrefillTracker {
  private readonly readers = new Map<string, Reader>();
  /** Tokens read a millisecond, learned from the replies. */
  rate = FIRST_RATE;

  private readerOf(runner: string): Reader {
    let reader = this.readers.get(runner);
    if (!reader) {
      reader = { busyUntil: 0, kept: new Set() };
      this.readers.set(runner, reader);
    }
    return reader;
  }

  forgetAllBut(standing: { has(runner: string): boolean }): void {
    for (const runner of this.readers.keys()) if (!standing.has(runner)) this.readers.delete(runner);
  }

  /** A reading that was sent, here or by another router. */
  note(runner: string, unread: number, keys: readonly number[], now: number): void {
    const reader = this.readerOf(runner);
    reader.busyUntil = Math.max(now, reader.busyUntil) + unread / this.rate;
    for (const key of keys) {
      reader.kept.delete(key);
      reader.kept.add(key);
    }
    for (const oldest of reader.kept) {
      if (reader.kept.size <= MAX_KEPT) break;
      reader.kept.delete(oldest);
    }
  }

  backlogMs(runner: string, now: number): number {
    const reader = this.readers.get(runner);
    return reader ? Math.max(0, reader.busyUntil - now) : 0;
  }

  /** Tokens that the runner would have to read: the key of a part is made of all before it, so these are kept with it. */
  unread(runner: string, parts: readonly routePlan.PromptPart[], keys: readonly number[]): number {
    let unread = 0;
    for (const part of parts.slice(this.keptParts(runner, keys))) unread += part.tokens;
    return unread;
  }

  /** How many parts of the prompt, from the first on, the runner keeps. */
  keptParts(runner: string, keys: readonly number[]): number {
    const kept = this.readers.get(runner)?.kept;
    if (!kept) return 0;
    for (let count = keys.length; count > 0; count -= 1) if (kept.has(keys[count - 1])) return count;
    return 0;
  }

  /** The upper side of what is seen: replies are held up by more than reading. */
  learn(tokens: number, tookMs: number): void {
    if (tokens < LONG_SAMPLE || tookMs <= 0) return;
    const sample = tokens / tookMs;
    this.rate += (sample > this.rate ? FASTER : SLOWER) * (sample - this.rate);
  }
}

/** One key a part, made of it and all before it. */
export function chainKeys(parts: readonly routePlan.PromptPart[]): number[] {
  const keys: number[] = [];
  let chain = "";
  for (const part of parts) {
    chain += `${part.id},`;
    keys.push(shares.hash(chain) | 0);
  }
  return keys;
}
