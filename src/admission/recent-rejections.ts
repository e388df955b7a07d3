/** Requests rejected lately, which have a better chance when they are retried (design/admission 5). Bounded, in memory. */
import * as textHash from "../limits/text-hash.js";

const RETENTION_MS = 10_000;
const MAX_KEYS = 4096;
const MAX_COUNT = 4;
const BODY_BYTES = 128;

interface RejectionRecord {
  times: number;
  at: number;
}

/**
 * A key that is the same for each attempt of one request, whatever its id: the hash of its complete prompt, else of the
 * head of its body; 0 where there is neither.
 */
export function requestKey(route: string, keys: readonly number[], body: Buffer | null): number {
  const last = keys[keys.length - 1];
  if (last !== undefined) return last;
  return body ? textHash.hashText(`${route}|${body.toString("latin1", 0, BODY_BYTES)}`) : 0;
}

/** How often requests were rejected lately, by their key. At most 4,096 keys, for 10 s each. */
export class RecentRejections {
  private readonly byKey = new Map<number, RejectionRecord>();

  /** How often the request was rejected lately; 0 for key 0. */
  count(key: number, now: number): number {
    const found = this.byKey.get(key);
    return found && key !== 0 && now - found.at <= RETENTION_MS ? found.times : 0;
  }

  /** The request was rejected now; key 0 is not recorded. */
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

  /** The request was admitted: its rejections no longer count. */
  forget(key: number): void {
    this.byKey.delete(key);
  }

  /** Keys recorded now. */
  get size(): number {
    return this.byKey.size;
  }
}
