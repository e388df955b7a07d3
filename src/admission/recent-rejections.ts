/** Requests denied a moment ago find a better chance on the way back (design/admission 5). Bounded, in memory. */
import * as textHash from "../limits/text-hash.js";

const RETENTION_MS = 10_000;
const MAX_KEYS = 4096;
const MAX_COUNT = 4;
const BODY_BYTES = 128;

interface RejectionRecord {
  times: number;
  at: number;
}

/** The same for each try of one request, whatever its id: its whole prompt, else the head of its body. */
export function requestKey(route: string, keys: readonly number[], body: Buffer | null): number {
  const last = keys[keys.length - 1];
  if (last !== undefined) return last;
  return body ? textHash.hashText(`${route}|${body.toString("latin1", 0, BODY_BYTES)}`) : 0;
}

/** How often requests were denied lately, by their key. At most 4,096 keys, for 10 s each. */
export class RecentRejections {
  private readonly byKey = new Map<number, RejectionRecord>();

  /** How often it was denied lately; 0 where the key says nothing. */
  count(key: number, now: number): number {
    const found = this.byKey.get(key);
    return found && key !== 0 && now - found.at <= RETENTION_MS ? found.times : 0;
  }

  /** It was denied now; key 0 is not recorded. */
  record(key: number, now: number): void {
    if (key === 0) return;
    const count = Math.min(MAX_COUNT, this.count(key, now) + 1);
    this.byKey.delete(key);
    this.byKey.set(key, { times: count, at: now });
    for (const [oldest, { at }] of this.byKey) {
      if (this.byKey.size <= MAX_KEYS && now - at <= RETENTION_MS) break;
      this.byKey.delete(oldest);
    }
  }

  /** It was admitted: the next of this key is a newcomer again. */
  forget(key: number): void {
    this.byKey.delete(key);
  }

  /** Keys held now. */
  get size(): number {
    return this.byKey.size;
  }
}
