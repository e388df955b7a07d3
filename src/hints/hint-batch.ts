/**
 * Hints collected for one frame (design/usage 2.2): the prefills of one runner from one sender are one entry, and the
 * oldest entries are dropped beyond the bound. Hints may be lost without harm.
 */
import * as schema from "../wire/schema.js";
import * as log from "../runtime/log.js";

/** Entries of one frame, and keys of one entry. */
export const MAX_ENTRIES = 64;
/** Prefix keys of one prefill. */
export const MAX_KEYS = 24;

/** The hints of one frame; its fields are those of the wire's schema. */
export interface HintFrame {
  /** Hashes of runners that became unresponsive with requests in flight. */
  silent: number[];
  /** Long prompts sent to a runner: its hash, the uncached tokens, and the keys of the parts. */
  readings: schema.PrefillHint[];
}

function dropOldest(entries: Map<number, unknown> | Set<number>): void {
  for (const oldest of entries.keys()) {
    if (entries.size <= MAX_ENTRIES) return;
    entries.delete(oldest);
    log.count("signs.dropped");
  }
}

/** The hints until the next frame, bounded in entries and keys. */
export class HintBatch {
  private readonly unresponsive = new Set<number>();
  private readonly prefills = new Map<number, schema.PrefillHint>();

  /** Whether there is nothing to send. */
  get isEmpty(): boolean {
    return this.unresponsive.size === 0 && this.prefills.size === 0;
  }

  /** Adds an unresponsive runner by its hash. */
  addUnresponsive(runner: number): void {
    this.unresponsive.add(runner);
    dropOldest(this.unresponsive);
  }

  /** Adds a prompt that was sent to a runner to the runner's earlier ones. */
  addPrefill(prefill: schema.PrefillHint): void {
    const before = this.prefills.get(prefill.runner);
    const keys = new Set([...(before?.keys ?? []), ...prefill.keys]);
    this.prefills.set(prefill.runner, {
      runner: prefill.runner,
      unread: (before?.unread ?? 0) + prefill.unread,
      keys: [...keys].slice(-MAX_KEYS),
    });
    dropOldest(this.prefills);
  }

  /** Returns all hints as one frame; the batch is empty afterwards. */
  drain(): HintFrame {
    const frame = { silent: [...this.unresponsive], readings: [...this.prefills.values()] };
    this.unresponsive.clear();
    this.prefills.clear();
    return frame;
  }
}

/** An upper bound of an entry's bytes in a frame: varints of the hash, tokens and keys, and the ends of its array. */
export function maxBytesOf(prefill: schema.PrefillHint): number {
  return 10 + 5 * prefill.keys.length;
}
