// Runners that left the list: what an older list or another source still says of them is not believed for a while.
import type * as schema from "../wire/schema.js";

const TOMBSTONE_MS = 120_000;

interface Tombstone {
  at: number;
  listed: schema.Instance | null;
}

/** Ids that were listed and left. */
export class RunnerTombstones {
  private readonly tombstones = new Map<string, Tombstone>();

  add(id: string, now: number): void {
    this.tombstones.set(id, { at: now, listed: null });
  }

  /** Still gone, and no longer listed either. */
  markUnlisted(id: string): void {
    const tombstones = this.tombstones.get(id);
    if (tombstones) tombstones.listed = null;
  }

  /** True when it is gone; it is kept in mind in case it is still listed after a while. */
  suppresses(instance: schema.Instance): boolean {
    const tombstones = this.tombstones.get(instance.id);
    if (tombstones) tombstones.listed = instance;
    return tombstones !== undefined;
  }

  /** What is listed still, or again, after that while is believed. */
  expire(now: number): schema.Instance[] {
    const back: schema.Instance[] = [];
    for (const [id, { at, listed }] of this.tombstones) {
      if (now - at <= TOMBSTONE_MS) continue;
      this.tombstones.delete(id);
      if (listed) back.push(listed);
    }
    return back;
  }
}
