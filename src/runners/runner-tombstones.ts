/** Tombstones of runners that left the membership: an older membership, or another source, that still lists them is ignored for a while. */
import type * as schema from "../wire/schema.js";

const TOMBSTONE_MS = 120_000;

interface Tombstone {
  removedAt: number;
  /** As it was listed since its removal. */
  listed: schema.Instance | null;
}

/** One for each fleet; times are milliseconds of the steady clock. */
export class RunnerTombstones {
  private readonly tombstones = new Map<string, Tombstone>();

  add(id: string, now: number): void {
    this.tombstones.set(id, { removedAt: now, listed: null });
  }

  /** It is no longer listed anywhere. */
  markUnlisted(id: string): void {
    const tombstones = this.tombstones.get(id);
    if (tombstones) tombstones.listed = null;
  }

  /** Whether the instance has a tombstone; `expire` returns it later if it is still listed then. */
  suppresses(instance: schema.Instance): boolean {
    const tombstones = this.tombstones.get(instance.id);
    if (tombstones) tombstones.listed = instance;
    return tombstones !== undefined;
  }

  /** Removes expired tombstones; returns the instances among them that are listed. */
  expire(now: number): schema.Instance[] {
    const stillListed: schema.Instance[] = [];
    for (const [id, { removedAt, listed }] of this.tombstones) {
      if (now - removedAt <= TOMBSTONE_MS) continue;
      this.tombstones.delete(id);
      if (listed) stillListed.push(listed);
    }
    return stillListed;
  }
}
