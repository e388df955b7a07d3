// Runners that left the list: what an older list or another source still says of them is not believed for a while.
import type * as schema from "../wire/schema.js";

const KEPT_MS = 120_000;

interface Tombstone {
  at: number;
  listed: schema.Instance | null;
}

/** Ids that were listed and left. */
export class RunnerTombstones {
  private readonly gone = new Map<string, Tombstone>();

  add(id: string, now: number): void {
    this.gone.set(id, { at: now, listed: null });
  }

  /** Still gone, and no longer listed either. */
  unlist(id: string): void {
    const gone = this.gone.get(id);
    if (gone) gone.listed = null;
  }

  /** True when it is gone; it is kept in mind in case it is still listed after a while. */
  holds(instance: schema.Instance): boolean {
    const gone = this.gone.get(instance.id);
    if (gone) gone.listed = instance;
    return gone !== undefined;
  }

  /** What is listed still, or again, after that while is believed. */
  sweep(now: number): schema.Instance[] {
    const back: schema.Instance[] = [];
    for (const [id, { at, listed }] of this.gone) {
      if (now - at <= KEPT_MS) continue;
      this.gone.delete(id);
      if (listed) back.push(listed);
    }
    return back;
  }
}
