/** Runners named by 32 bits: a hash of the id. Marks that two runners share name nobody (design/usage 2.1). */
import * as log from "../runtime/log.js";
import * as textHash from "../limits/text-hash.js";

/** The mark of an id, a signed 32-bit number. */
export function runnerHash(id: string): number {
  return textHash.hashText(id) | 0;
}

/** Ids by mark over the runners listed; rebuilt with each list. */
export class RunnerHashes<Id extends string> {
  private readonly ids = new Map<number, Id>();
  private readonly shared = new Set<number>();

  constructor(private readonly hash: (id: string) => number = runnerHash) {}

  /** The runners that marks may name from now on. */
  replaceAll(ids: Iterable<Id>): void {
    this.ids.clear();
    this.shared.clear();
    for (const id of ids) {
      const mark = this.hash(id);
      const other = this.ids.get(mark);
      if (other !== undefined && other !== id) this.shared.add(mark);
      this.ids.set(mark, id);
    }
    if (this.shared.size > 0) log.count("marks.shared", this.shared.size);
  }

  /** Null when no runner of the list has this mark, or more than one. */
  idOf(mark: number): Id | null {
    return this.shared.has(mark) ? null : (this.ids.get(mark) ?? null);
  }

  /** Null when the mark would name another runner too. */
  hashOf(id: string): number | null {
    const mark = this.hash(id);
    return this.shared.has(mark) ? null : mark;
  }
}
