// A simulated disk under the real ring of records: torn, short, failed, lost and stalled writes, and losses of power.
import type * as ring from "../../src/store/ring.js";
import type * as types from "../../src/wire/types.js";

/** A guard of the disk that a mutation takes out. */
export interface DiskMutations {
  /** A write that kept only part of its bytes counts as whole. */
  readonly isShortWriteCounted: boolean;
}

/** What the disk does to writes that start now. */
export type DiskTrouble = "none" | "stalled" | "failing" | "short";

const WRITE_MS = 2;
const JITTER_MS = 6;
const STALL_POLL_MS = 50;

/** The files of one machine. They outlive its processes; a wipe is a new instance. */
export class ModelDisk {
  trouble: DiskTrouble = "none";
  private readonly files = new Map<string, Buffer>();
  /** Writes that were started and are not synced: a loss of power keeps any part of them. */
  private readonly unsynced = new Map<string, Buffer>();

  constructor(
    private readonly chance: types.World,
    private readonly mutations: DiskMutations,
  ) {}

  /** The files as one process sees them; its timers stand while it is frozen and are gone once it has ended. */
  open(process: types.World): ring.Files {
    const openSlot = this.openSlot.bind(this, process);
    return {
      open(_folder: string, name: string): Promise<ring.Slot> {
        return Promise.resolve(openSlot(name));
      },
    };
  }

  /** The process ended or the power went: each write under way is kept, kept in part or lost. */
  crash(): void {
    for (const [name, bytes] of this.unsynced) {
      const share = this.chance.random() * 1.5 - 0.25;
      this.keep(name, bytes.subarray(0, Math.floor(bytes.length * Math.min(1, Math.max(0, share)))));
    }
    this.unsynced.clear();
  }

  private keep(name: string, bytes: Buffer): void {
    const old = this.files.get(name) ?? Buffer.alloc(0);
    this.files.set(name, Buffer.concat([bytes, old.subarray(bytes.length)]));
  }

  private openSlot(process: types.World, name: string): ring.Slot {
    const read = this.read.bind(this, name);
    const write = this.write.bind(this, process, name);
    return {
      readAll(): Promise<Buffer> {
        return Promise.resolve(read());
      },
      write,
      close(): Promise<void> {
        return Promise.resolve();
      },
    };
  }

  private read(name: string): Buffer {
    return Buffer.from(this.files.get(name) ?? Buffer.alloc(0));
  }

  private async write(process: types.World, name: string, bytes: Buffer): Promise<void> {
    this.unsynced.set(name, bytes);
    await wait(process, WRITE_MS + this.chance.random() * JITTER_MS);
    while (this.trouble === "stalled") await wait(process, STALL_POLL_MS);
    this.unsynced.delete(name);
    if (this.trouble === "none") {
      this.keep(name, bytes);
      return;
    }
    const isWhole = this.trouble === "failing" && this.chance.random() < 0.3;
    this.keep(name, isWhole ? bytes : bytes.subarray(0, Math.floor(bytes.length * this.chance.random())));
    const isSaid = this.trouble === "failing" || !this.mutations.isShortWriteCounted;
    if (isSaid) throw new Error("the disk took only a part");
  }
}

function wait(process: types.World, ms: number): Promise<void> {
  return new Promise(function waiting(resolve) {
    process.after(ms, resolve);
  });
}
