// A disk in memory with a delay, that stalls, loses what was not synced with its machine's power, and may forget syncs.
import type * as files from "../../src/store/files.js";
import type * as types from "../../src/wire/types.js";

const STALL_STEP_MS = 20;

interface MemoryFile {
  durable: Buffer;
  current: Buffer;
}

/** Outlives the processes that use it; `mount` gives the folder of one of them. */
export class MemoryDisk {
  files = new Map<string, MemoryFile>();
  isStalled = false;
  /** A guard taken out: nothing is durable before the file is closed. */
  losesSyncs = false;

  constructor(
    private readonly clock: types.Clock,
    private readonly syncMs: number,
  ) {}

  /** After a loss of power; a part of what was not synced may be there all the same. */
  losePower(): void {
    for (const file of this.files.values()) {
      const kept = Math.floor(this.clock.random() * (file.current.length + 1));
      const isTorn = this.clock.random() < 0.5;
      file.current = isTorn ? Buffer.concat([file.current.subarray(0, kept), file.durable.subarray(kept)]) : Buffer.from(file.durable);
    }
  }

  wipe(): void {
    this.files = new Map();
  }

  private async wait(isDead: () => boolean): Promise<void> {
    await new Promise<void>((resolve) => this.clock.schedule(this.syncMs * (0.5 + this.clock.random()), resolve));
    while (this.isStalled && !isDead()) await new Promise<void>((resolve) => this.clock.schedule(STALL_STEP_MS, resolve));
    if (isDead()) await new Promise<never>(() => {});
  }

  /** The folder of one process; once it is dead, none of its operations has an effect. */
  mount(isDead: () => boolean): files.StoreFolder {
    const wait = this.wait.bind(this, isDead);
    const fileOf = (name: string): MemoryFile => {
      const file = this.files.get(name) ?? { durable: Buffer.alloc(0), current: Buffer.alloc(0) };
      this.files.set(name, file);
      return file;
    };
    return {
      name: "/memory",
      make: () => Promise.resolve(),
      sync: () => Promise.resolve(),
      open: async (name) => {
        const file = fileOf(name);
        await Promise.resolve();
        return {
          read: () => Promise.resolve(Buffer.from(file.current)),
          write: (bytes, position) => {
            if (isDead()) return new Promise(() => {});
            const made = Buffer.concat([file.current], Math.max(file.current.length, position + bytes.length));
            bytes.copy(made, position);
            file.current = made;
            return Promise.resolve(bytes.length);
          },
          sync: async () => {
            const written = file.current;
            await wait();
            if (!this.losesSyncs) file.durable = written;
          },
          close: () => Promise.resolve(),
        };
      },
    };
  }
}
