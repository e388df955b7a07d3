/**
 * A simulated disk that loses power: each write and each name that was not synced is kept, lost or torn by itself.
 * Faults come from a row of choices, so that a failing history can be shrunk; once the row is used up, nothing fails.
 */
import type * as files from "../../src/store/files.js";

interface UnsyncedWrite {
  position: number;
  bytes: Buffer;
}

interface SimulatedFile {
  /** What a loss of power leaves for certain. */
  durable: Buffer;
  /** What a process reads. */
  current: Buffer;
  unsynced: UnsyncedWrite[];
  isNameDurable: boolean;
}

export interface DiskOptions {
  /** Guards that a disk of a test may lack, to show that the checks see it. */
  losesFolderSyncs?: boolean;
  losesFileSyncs?: boolean;
  hidesShortWrites?: boolean;
}

type WriteFault = "none" | "short" | "stopped" | "refused" | "refused_midway";
type SyncFault = "none" | "refused" | "dropped";

const WRITE_FAULTS: WriteFault[] = ["none", "short", "stopped", "refused", "refused_midway"];
const SYNC_FAULTS: SyncFault[] = ["none", "refused", "dropped"];
/** Of the choices from 0 to 99, those from here on are faults. */
const FIRST_FAULTY_CHOICE = 85;

function applied(content: Buffer, write: UnsyncedWrite): Buffer {
  const length = Math.max(content.length, write.position + write.bytes.length);
  const made = Buffer.concat([content], length);
  write.bytes.copy(made, write.position);
  return made;
}

function failure(code: string): Error {
  return Object.assign(new Error(`${code}: simulated`), { code });
}

/** The disk itself, which outlives the processes that use it. */
export class SimulatedDisk {
  readonly files = new Map<string, SimulatedFile>();
  /** Every operation fails with this code until it is taken back; null: none does. */
  refusal: string | null = null;
  isHanging = false;
  /** A full disk takes what lies within the files as they are, and no more. */
  isFull = false;
  syncs = 0;
  private choices: number[] = [];
  private next = 0;

  constructor(readonly options: DiskOptions = {}) {}

  /** Begins a life of the machine, which is cut at an operation. */
  mount(choices: number[] = [], operations = Infinity): MountedDisk {
    this.choices = choices;
    this.next = 0;
    return new MountedDisk(this, operations);
  }

  /** A number from 0 to `below` - 1; 0 where the row of choices is used up. */
  choose(below: number): number {
    const choice = this.choices[this.next] ?? 0;
    this.next += 1;
    return choice % below;
  }

  chooseFault<T>(faults: T[]): T {
    if (this.choose(100) < FIRST_FAULTY_CHOICE) return faults[0];
    return faults[this.choose(faults.length)];
  }

  fileOf(name: string): SimulatedFile {
    const file = this.files.get(name) ?? { durable: Buffer.alloc(0), current: Buffer.alloc(0), unsynced: [], isNameDurable: false };
    this.files.set(name, file);
    return file;
  }

  /** After a kill the next process finds all that was written; this is what it finds after a loss of power. */
  losePower(): void {
    for (const [name, file] of [...this.files]) {
      if (!file.isNameDurable && this.choose(2) === 1) this.files.delete(name);
      this.settleUnsynced(file);
      file.current = file.durable;
      file.isNameDurable = true;
    }
  }

  /** Each unsynced write reaches the disk, or not, or in part. */
  settleUnsynced(file: SimulatedFile): void {
    for (const write of file.unsynced) {
      const fate = this.choose(3);
      if (fate === 0) file.durable = applied(file.durable, write);
      if (fate === 2) file.durable = applied(file.durable, { ...write, bytes: write.bytes.subarray(0, this.tearAt(write.bytes.length)) });
    }
    file.unsynced = [];
  }

  /** Half of the tears fall into the first bytes, where the heads of records are. */
  tearAt(length: number): number {
    return this.choose(2) === 0 ? this.choose(Math.min(length, 200)) : this.choose(1000) % length;
  }
}

/** The disk as one process sees it. From the cut on none of its operations ends or has any effect. */
export class MountedDisk implements files.StoreFolder {
  readonly name = "/simulated";
  readonly cut: Promise<void>;
  private isCut = false;
  private reportCut: () => void = ignore;

  constructor(
    private readonly disk: SimulatedDisk,
    private operationsLeft: number,
  ) {
    this.cut = new Promise((resolve) => {
      this.reportCut = resolve;
    });
  }

  /** Gives whether the operation ends; the one at the cut may still have its effect, or a part of it. */
  private async enter(): Promise<boolean> {
    await Promise.resolve();
    if (this.isCut || this.disk.isHanging) await new Promise(ignore);
    if (this.disk.refusal) throw failure(this.disk.refusal);
    this.operationsLeft -= 1;
    this.isCut = this.operationsLeft <= 0;
    return !this.isCut;
  }

  /** Ends this life; where the operation was the last one, it never returns. */
  end(): Promise<never> {
    this.isCut = true;
    this.reportCut();
    return new Promise(ignore);
  }

  async make(): Promise<void> {
    if (!(await this.enter())) await this.end();
  }

  async open(name: string): Promise<files.StoreFile> {
    const runs = await this.enter();
    const file = this.disk.fileOf(name);
    if (!runs) await this.end();
    return {
      read: this.read.bind(this, file),
      write: this.write.bind(this, file),
      sync: this.syncFile.bind(this, file),
      close: () => Promise.resolve(),
    };
  }

  async sync(): Promise<void> {
    const { disk } = this;
    const runs = await this.enter();
    if (runs && disk.chooseFault(SYNC_FAULTS) !== "none") throw failure("EIO");
    disk.syncs += 1;
    for (const file of disk.files.values()) {
      const isReached = runs || disk.choose(2) === 0;
      if (isReached && !disk.options.losesFolderSyncs) file.isNameDurable = true;
    }
    if (!runs) await this.end();
  }

  private async read(file: SimulatedFile): Promise<Buffer> {
    if (!(await this.enter())) await this.end();
    return Buffer.from(file.current);
  }

  private async write(file: SimulatedFile, bytes: Buffer, position: number): Promise<number> {
    const runs = await this.enter();
    const fault = runs ? this.disk.chooseFault(WRITE_FAULTS) : "refused_midway";
    const isPartial = fault === "short" || fault === "refused_midway";
    const offered = this.disk.isFull ? Math.max(0, Math.min(bytes.length, file.current.length - position)) : bytes.length;
    const taken = fault === "none" ? offered : isPartial ? this.disk.tearAt(bytes.length) : 0;
    const write = { position, bytes: Buffer.from(bytes.subarray(0, taken)) };
    file.current = applied(file.current, write);
    file.unsynced.push(write);
    if (!runs) await this.end();
    if (offered === 0 || fault === "refused" || fault === "refused_midway") throw failure("ENOSPC");
    return this.disk.options.hidesShortWrites ? bytes.length : taken;
  }

  private async syncFile(file: SimulatedFile): Promise<void> {
    const { disk } = this;
    const runs = await this.enter();
    const fault = runs ? disk.chooseFault(SYNC_FAULTS) : "none";
    if (!runs && disk.choose(2) === 1) await this.end();
    if (fault === "dropped") disk.settleUnsynced(file);
    if (fault !== "none") throw failure("EIO");
    disk.syncs += 1;
    if (!disk.options.losesFileSyncs) {
      file.durable = file.unsynced.reduce(applied, file.durable);
      file.unsynced = [];
    }
    if (!runs) await this.end();
  }
}

function ignore(): void {}
