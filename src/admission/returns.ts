// Who was denied a moment ago finds a better chance on the way back (design/admission 5). Bounded, in memory.
import * as shares from "../shares/shares.js";

const KEPT_MS = 10_000;
const MOST = 4096;
const MOST_TIMES = 4;
const BODY_BYTES = 128;

interface Denied {
  times: number;
  at: number;
}

/** The same for each try of one request, whatever its id: its whole prompt, else the head of its body. */
export function keyOf(route: string, keys: readonly number[], body: Buffer | null): number {
  const last = keys[keys.length - 1];
  if (last !== undefined) return last;
  return body ? shares.hash(`${route}|${body.toString("latin1", 0, BODY_BYTES)}`) : 0;
}

export class Returns {
  private readonly denied = new Map<number, Denied>();

  /** How often it was denied lately; 0 where the key says nothing. */
  times(key: number, now: number): number {
    const found = this.denied.get(key);
    return found && key !== 0 && now - found.at <= KEPT_MS ? found.times : 0;
  }

  note(key: number, now: number): void {
    if (key === 0) return;
    const times = Math.min(MOST_TIMES, this.times(key, now) + 1);
    this.denied.delete(key);
    this.denied.set(key, { times, at: now });
    for (const [oldest, { at }] of this.denied) {
      if (this.denied.size <= MOST && now - at <= KEPT_MS) break;
      this.denied.delete(oldest);
    }
  }

  served(key: number): void {
    this.denied.delete(key);
  }

  get size(): number {
    return this.denied.size;
  }
}
