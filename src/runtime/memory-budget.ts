/** A bound on the memory that this process holds for its peers, shared by all of them (design/edge 7.14). */

/** One bound, in bytes. */
export class MemoryBudget {
  usedBytes = 0;

  constructor(readonly maxBytes: number) {}

  /** Whether so many bytes more would fit. */
  hasCapacity(more: number): boolean {
    return this.usedBytes + more <= this.maxBytes;
  }

  /** A share of the bound for one peer's exchange; empty at first. */
  open(): MemoryShare {
    return new MemoryShare(this);
  }
}

/** What one exchange holds of a budget. Whoever opened it releases it. */
export class MemoryShare {
  private bytes = 0;
  private isReleased = false;

  constructor(private readonly budget: MemoryBudget) {}

  /** Bytes that the exchange holds. */
  get heldBytes(): number {
    return this.bytes;
  }

  /** Sets what the exchange holds; false, and nothing is changed, where the budget has no room for it or the share was released. */
  resize(bytes: number): boolean {
    if (this.isReleased) return false;
    const more = bytes - this.bytes;
    if (more > 0 && !this.budget.hasCapacity(more)) return false;
    this.bytes = bytes;
    this.budget.usedBytes += more;
    return true;
  }

  /** Gives everything back, for good. Any number of calls. */
  release(): void {
    if (this.isReleased) return;
    this.resize(0);
    this.isReleased = true;
  }
}
