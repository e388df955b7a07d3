/**
 * Signs gathered for one frame (design/usage 2.2): readings of one runner from one side are one entry, and the oldest
 * entries are dropped beyond the bound. Signs are hints.
 */
import * as schema from "../wire/schema.js";
import * as log from "../runtime/log.js";

/** Entries of one frame, and keys of one entry (*ours*). */
export const MAX_ENTRIES = 64;
/** Keys of one reading that are told. */
export const MAX_KEYS = 24;

/** One frame: the marks of silent runners, and readings that were sent. */
export interface HintFrame {
  /** Marks of runners that fell silent while at work. */
  silent: number[];
  /** Long prompts sent to a runner: its mark, tokens to read, and keys of the parts. */
  readings: schema.ReadingSign[];
}

/** Signs until the next frame, bounded in entries and keys. */
export class HintBatch {
  private readonly silent = new Set<number>();
  private readonly readings = new Map<number, schema.ReadingSign>();

  /** Nothing to send. */
  get isEmpty(): boolean {
    return this.silent.size === 0 && this.readings.size === 0;
  }

  /** A runner is silent. */
  addUnresponsive(mark: number): void {
    this.silent.add(mark);
    dropOldest(this.silent);
  }

  /** A prompt was sent to a runner; it is added to the runner's earlier ones. */
  addPrefill(reading: schema.ReadingSign): void {
    const before = this.readings.get(reading.runner);
    const keys = new Set([...(before?.keys ?? []), ...reading.keys]);
    this.readings.set(reading.runner, {
      runner: reading.runner,
      unread: (before?.unread ?? 0) + reading.unread,
      keys: [...keys].slice(-MAX_KEYS),
    });
    dropOldest(this.readings);
  }

  /** All signs as one frame; the batch is empty afterwards. */
  drain(): HintFrame {
    const frame = { silent: [...this.silent], readings: [...this.readings.values()] };
    this.silent.clear();
    this.readings.clear();
    return frame;
  }
}

function dropOldest(entries: Map<number, unknown> | Set<number>): void {
  for (const oldest of entries.keys()) {
    if (entries.size <= MAX_ENTRIES) return;
    entries.delete(oldest);
    log.count("signs.dropped");
  }
}

/** Upper side of an entry's bytes in a frame: varints of a mark, tokens and keys, and the ends of its array. */
export function maxBytesOf(reading: schema.ReadingSign): number {
  return 10 + 5 * reading.keys.length;
}
