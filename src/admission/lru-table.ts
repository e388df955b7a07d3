/** A bounded table in memory that evicts its least recently used entry. */

/** At most `capacity` entries, each created on first use. */
export class LruTable<K, V> {
  private readonly items = new Map<K, V>();
  constructor(
    private readonly capacity: number,
    private readonly make: () => V,
  ) {}

  /** The entry of this key, which becomes the most recently used. */
  getOrCreate(key: K): V {
    const item = this.items.get(key) ?? this.make();
    this.items.delete(key);
    this.items.set(key, item);
    for (const oldest of this.items.keys()) {
      if (this.items.size <= this.capacity) break;
      this.items.delete(oldest);
    }
    return item;
  }

  /** All entries, the least recently used first. */
  entries(): Iterable<[K, V]> {
    return this.items.entries();
  }
}
