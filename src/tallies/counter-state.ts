/**
 * All tallies as one node knows them, as a state machine without I/O (design/tallies 3). Each incarnation of a node
 * has one stream of the adds that it accepted; a node holds a stream up to an offset, without gaps. A total is the sum over all
 * distinct ids, so it does not depend on the order in which adds came, nor on how often one was accepted.
 *
 * Adds that every member holds are compacted: their sums stay, the adds are dropped, and their ids are remembered for some eras.
 * Ids are the same only if their eras are near each other; an era ends only when all members hold what came before it, so
 * that an id is forgotten everywhere before it can be taken for a new one anywhere (design/tallies 6).
 */
import type { TallyAdd } from "../wire/tally-schema.js";

/** Two adds with one id count once if their eras are at most so far apart. */
export const MAX_ERA_DISTANCE = 2;

/** An id as it counts. `compacted`: the part of `amount` that is in the compacted sums; null while none is. */
interface CountedId {
  amount: number;
  compacted: number | null;
  /** Where it was first seen; empty and 0 where it came with a snapshot's compacted sums. */
  stream: string;
  position: number;
}

/** Adds 1 to `compacted` are compacted; `adds` follow them. */
interface Stream {
  compacted: number;
  adds: TallyAdd[];
}

/** What a new add was: `repeated`: its id is held already; `conflicting`: with another amount, of which the greater counts. */
export type AppendResult = "new" | "repeated" | "conflicting";

/** An id is one of its tally's. */
export function keyOf(tally: string, id: string): string {
  return `${tally}\n${id}`;
}

/** Reads and changes of all tallies; nothing in here waits. */
export class CounterState {
  /** Of this node; grows only (era-advancer.ts). */
  era = 0;
  private readonly streams = new Map<string, Stream>();
  private readonly totals = new Map<string, number>();
  private readonly compactedSums = new Map<string, number>();
  private readonly eras = new Map<number, Map<string, CountedId>>();
  private idCount = 0;

  /** The sum of a tally; 0 for one that is new. */
  total(tally: string): number {
    return this.totals.get(tally) ?? 0;
  }

  /** Names of all tallies. */
  names(): string[] {
    return [...this.totals.keys()];
  }

  /** The offset of the last add that is held of the stream. */
  offsetOf(stream: string): number {
    const found = this.streams.get(stream);
    return found ? found.compacted + found.adds.length : 0;
  }

  /** The offset up to which the stream is compacted; peers that lack it need a snapshot. */
  compactedOffset(stream: string): number {
    return this.streams.get(stream)?.compacted ?? 0;
  }

  /** Names of all streams. */
  streamNames(): Iterable<string> {
    return this.streams.keys();
  }

  /** Ids that are remembered. */
  get ids(): number {
    return this.idCount;
  }

  /** What is remembered of the id: the amount that counts, and where an add with it lies. */
  find(tally: string, id: string): { amount: number; stream: string; position: number } | null {
    const key = keyOf(tally, id);
    for (const ids of this.eras.values()) {
      const counted = ids.get(key);
      if (counted) return counted;
    }
    return null;
  }

  /** At most `limit` adds after the offset `after`; empty where `after` lies in the compacted part. */
  addsAfter(stream: string, after: number, limit: number): TallyAdd[] {
    const found = this.streams.get(stream);
    if (!found || after < found.compacted) return [];
    return found.adds.slice(after - found.compacted, after - found.compacted + limit);
  }

  /** Appends the stream's next add and counts it. */
  append(stream: string, add: TallyAdd): AppendResult {
    const { compacted: folded, adds } = this.streamOf(stream);
    const position = folded + adds.push(add);
    const key = keyOf(add.tally, add.id);
    const counted = this.findNear(key, add.era);
    if (!counted) {
      this.idsOf(add.era).set(key, { amount: add.amount, compacted: null, stream, position });
      this.idCount += 1;
      this.increase(this.totals, add.tally, add.amount);
      return "new";
    }
    if (counted.amount === add.amount) return "repeated";
    if (add.amount > counted.amount) {
      this.increase(this.totals, add.tally, add.amount - counted.amount);
      counted.amount = add.amount;
    }
    return "conflicting";
  }

  /** Compacts the stream up to an offset that every member holds; returns how many adds were dropped. */
  compact(stream: string, position: number): number {
    const found = this.streamOf(stream);
    const count = Math.min(position - found.compacted, found.adds.length);
    if (count <= 0) return 0;
    for (const add of found.adds.splice(0, count)) this.compactAdd(add);
    found.compacted += count;
    return count;
  }

  private compactAdd(add: TallyAdd): void {
    const counted = this.findNear(keyOf(add.tally, add.id), add.era)!;
    const before = counted.compacted;
    if (before !== null && before >= add.amount) return;
    this.increase(this.compactedSums, add.tally, add.amount - (before ?? 0));
    counted.compacted = add.amount;
  }

  /** Forgets ids that no add to come can repeat; an era with adds that are not compacted stays. */
  forgetOldIds(): void {
    let oldest = this.era - MAX_ERA_DISTANCE;
    for (const { adds } of this.streams.values()) if (adds.length > 0) oldest = Math.min(oldest, adds[0].era - MAX_ERA_DISTANCE);
    for (const [era, ids] of this.eras) {
      if (era >= oldest) continue;
      this.idCount -= ids.size;
      this.eras.delete(era);
    }
  }

  /** The compacted sums. */
  sums(): Iterable<[tally: string, sum: number]> {
    return this.compactedSums;
  }

  /** Ids that are in the compacted sums, with the amount there. */
  *compactedIds(): Generator<{ key: string; era: number; amount: number }> {
    for (const [era, ids] of this.eras) {
      for (const [key, { compacted: folded }] of ids) if (folded !== null) yield { key, era, amount: folded };
    }
  }

  /** Only for restoring a snapshot: a compacted sum. */
  restoreSum(tally: string, sum: number): void {
    this.compactedSums.set(tally, sum);
    this.increase(this.totals, tally, sum);
  }

  /** Only for restoring a snapshot: an id that is in the compacted sums. */
  restoreId(key: string, era: number, amount: number): void {
    this.idsOf(era).set(key, { amount, compacted: amount, stream: "", position: 0 });
    this.idCount += 1;
  }

  /** Only for restoring a snapshot: the offset up to which a stream is compacted. */
  restoreStream(stream: string, folded: number): void {
    this.streams.set(stream, { compacted: folded, adds: [] });
  }

  private findNear(key: string, era: number): CountedId | null {
    for (let near = era - MAX_ERA_DISTANCE; near <= era + MAX_ERA_DISTANCE; near += 1) {
      const counted = this.eras.get(near)?.get(key);
      if (counted) return counted;
    }
    return null;
  }

  private streamOf(name: string): Stream {
    let found = this.streams.get(name);
    if (!found) this.streams.set(name, (found = { compacted: 0, adds: [] }));
    return found;
  }

  private idsOf(era: number): Map<string, CountedId> {
    let ids = this.eras.get(era);
    if (!ids) this.eras.set(era, (ids = new Map<string, CountedId>()));
    return ids;
  }

  private increase(sums: Map<string, number>, tally: string, by: number): void {
    sums.set(tally, (sums.get(tally) ?? 0) + by);
  }
}
