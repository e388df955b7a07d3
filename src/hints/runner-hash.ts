/** Runners identified by a 32-bit hash of their id. A hash that two runners share identifies neither (design/usage 2.1). */
import * as log from "../runtime/log.js";
import * as textHash from "../limits/text-hash.js";

/** The hash of an id, a signed 32-bit number. */
export function runnerHash(id: string): number {
  return textHash.hashText(id) | 0;
}

/** Ids by hash over the listed runners; rebuilt with each list. */
export class RunnerHashes<Id extends string> {
  private readonly ids = new Map<number, Id>();
  private readonly colliding = new Set<number>();

  constructor(private readonly hash: (id: string) => number = runnerHash) {}

  /** Replaces the runners that hashes may identify. */
  replaceAll(ids: Iterable<Id>): void {
    this.ids.clear();
    this.colliding.clear();
    for (const id of ids) {
      const hash = this.hash(id);
      const other = this.ids.get(hash);
      if (other !== undefined && other !== id) this.colliding.add(hash);
      this.ids.set(hash, id);
    }
    if (this.colliding.size > 0) log.count("marks.shared", this.colliding.size);
  }

  /** The runner with this hash; null when no listed runner has it, or more than one. */
  idOf(hash: number): Id | null {
    return this.colliding.has(hash) ? null : (this.ids.get(hash) ?? null);
  }

  /** The hash of a runner; null when another listed runner has the same. */
  hashOf(id: string): number | null {
    const hash = this.hash(id);
    return this.colliding.has(hash) ? null : hash;
  }
}
