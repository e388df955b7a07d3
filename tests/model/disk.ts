// A simulated disk under the real ring of records: torn, short, failed, lost and stalled writes, and losses of power.
import type * as files from "../../src/store/files.js";
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

interface Content {
  durable: Buffer;
  /** With writes that no sync has followed yet: a loss of power keeps any part of them. */
  cached: Buffer;
}

/** The files of one machine. They outlive its processes; a wipe is a new instance. */
export class ModelDisk {
  trouble: DiskTrouble = "none";
  private readonly contents = new Map<string, Content>();

  constructor(
    private readonly chance: types.Clock,
    private readonly mutations: DiskMutations,
  ) {}

  /** The folder as one process sees it; its timers stand while it is frozen and are gone once it has ended. */
  open(process: types.Clock): files.StoreFolder {
    const openFile = this.openFile.bind(this, process);
    return { name: "model", make: () => Promise.resolve(), open: (name) => Promise.resolve(openFile(name)), sync: () => Promise.resolve() };
  }

  /** The process ended or the power went: each write under way is kept, kept in part or lost. */
  crash(): void {
    for (const content of this.contents.values()) {
      const share = Math.min(1, Math.max(0, this.chance.random() * 1.5 - 0.25));
      const bytes = Math.floor(content.cached.length * share);
      content.durable = Buffer.concat([content.cached.subarray(0, bytes), content.durable.subarray(bytes)]);
      content.cached = content.durable;
    }
  }

  private openFile(process: types.Clock, name: string): files.StoreFile {
    const content = this.contents.get(name) ?? { durable: Buffer.alloc(0), cached: Buffer.alloc(0) };
    this.contents.set(name, content);
    return {
      read: () => Promise.resolve(Buffer.from(content.cached)),
      write: this.write.bind(this, process, content),
      sync: this.sync.bind(this, process, content),
      close: () => Promise.resolve(),
    };
  }

  private async write(process: types.Clock, content: Content, bytes: Buffer, position: number): Promise<number> {
    await this.turnaround(process);
    const isWhole = this.trouble === "none" || (this.trouble === "failing" && this.chance.random() < 0.3);
    const taken = isWhole ? bytes : bytes.subarray(0, Math.floor(bytes.length * this.chance.random()));
    const old = content.cached;
    const before = Buffer.concat([old.subarray(0, position), Buffer.alloc(Math.max(0, position - old.length))]);
    content.cached = Buffer.concat([before, taken, old.subarray(position + taken.length)]);
    if (this.trouble === "failing") throw new Error("the disk took only a part");
    return this.mutations.isShortWriteCounted ? bytes.length : taken.length;
  }

  private async sync(process: types.Clock, content: Content): Promise<void> {
    await this.turnaround(process);
    content.durable = content.cached;
  }

  private async turnaround(process: types.Clock): Promise<void> {
    await wait(process, (WRITE_MS + this.chance.random() * JITTER_MS) / 2);
    while (this.trouble === "stalled") await wait(process, STALL_POLL_MS);
  }
}

function wait(process: types.Clock, ms: number): Promise<void> {
  return new Promise(function waiting(resolve) {
    process.schedule(ms, resolve);
  });
}
