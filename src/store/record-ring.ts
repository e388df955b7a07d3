/**
 * A ring of preallocated files that keeps the newest of a sequence of records (design 5.3, hardening 6). Each record is
 * written completely to the file after the newest one's and synced before `write` resolves; a failed write is repeated,
 * completely, in the same file. So a torn write damages a record that was never acknowledged, and never the newest
 * acknowledged one.
 */
import * as log from "../runtime/log.js";
import * as conversion from "./conversion.js";
import * as files from "./files.js";
import * as format from "./format.js";
import * as inspection from "./inspection.js";

/** Files of a ring. */
export const FILE_COUNT = 4;
const INITIAL_FILE_BYTES = 64 * 1024;
/** Space is reserved once the next file has less than this many times the size of the last record. */
const MIN_RESERVE_FACTOR = 2;
/** It then grows to this many times that size, so that slowly growing records seldom make it grow. */
const GROWTH_FACTOR = 3;

/** Parameters of a ring. */
export interface RingOptions {
  /** Fingerprint of the records' layout; opening files with a record of another layout fails. */
  layout: number;
  /** A random id for a new set of files, `format.SET_ID_BYTES` long. */
  newSetId(): Buffer;
}

/** Result of opening a folder. */
export interface OpenedRing {
  ring: RecordRing;
  /** Body of the newest complete record, durable by now; null if the files are a new set. */
  newestBody: Buffer | null;
  /** Without a record: whether no earlier set in this folder can ever have granted a ballot. */
  isPristine: boolean;
  /** With no record: the newest one of release 1, to be written converted; then `conversion.discard` is called. */
  unconverted: Buffer | null;
}

interface Position {
  setId: Buffer;
  /** Number of the newest durable record. */
  number: number;
  /** File that contains it. */
  fileIndex: number;
}

/** One open set of files. */
export class RecordRing {
  /** Settled once the space for the next record is reserved. */
  private reservation: Promise<void> = Promise.resolve();

  private constructor(
    private readonly files: readonly files.StoreFile[],
    private readonly capacities: number[],
    private readonly layout: number,
    private readonly position: Position,
  ) {}

  /** Opens the set of files, or creates a new one; its result is durable. Rejects with the error of the disk. */
  static async open(folder: files.StoreFolder, options: RingOptions): Promise<OpenedRing> {
    await folder.make();
    const opened = await openAll(folder);
    try {
      const contents = await Promise.all(opened.map((file) => file.read()));
      const unconverted = await conversion.preserve(folder, contents);
      if (unconverted) return await RecordRing.createConvertedSet(folder, opened, contents, options, unconverted);
      const { newest, isPristine, isConverted } = inspection.inspect(contents, options.layout);
      const position = newest
        ? { setId: newest.setId, number: newest.number, fileIndex: newest.fileIndex }
        : { setId: options.newSetId(), number: 0, fileIndex: 0 };
      if (newest) await rewriteNewest(opened[newest.fileIndex], contents[newest.fileIndex], newest);
      else await createFileSet(folder, opened, contents, { setId: position.setId, origin: isPristine ? "first" : "later" });
      if (isConverted) await conversion.discardCopy(folder);
      const capacities = contents.map(capacityOf);
      const ring = new RecordRing(opened, capacities, options.layout, position);
      return { ring, newestBody: newest?.body ?? null, isPristine, unconverted: null };
    } catch (cause) {
      await closeAll(opened);
      throw cause;
    }
  }

  /** Creates a new set over the files of release 1, whose newest record is durable in the copy by now. */
  private static async createConvertedSet(
    folder: files.StoreFolder,
    opened: readonly files.StoreFile[],
    contents: readonly Buffer[],
    options: RingOptions,
    unconverted: Buffer,
  ): Promise<OpenedRing> {
    const position = { setId: options.newSetId(), number: 0, fileIndex: 0 };
    await createFileSet(folder, opened, contents, { setId: position.setId, origin: "converted" });
    const ring = new RecordRing(opened, contents.map(capacityOf), options.layout, position);
    return { ring, newestBody: null, isPristine: false, unconverted };
  }

  /** Closes the files once the reservation in progress has ended. */
  async close(): Promise<void> {
    await this.reservation;
    await closeAll(this.files);
  }

  /** Resolves once the record is durable; rejects if it may not be. One call at a time. */
  async write(body: Buffer): Promise<void> {
    const { setId } = this.position;
    const number = this.position.number + 1;
    // Number and file advance after a success only: a failure never reaches the file of the newest durable record.
    const fileIndex = (this.position.fileIndex + 1) % this.files.length;
    const record = format.encodeRecord({ setId, layout: this.layout, number, body });
    const padded = Buffer.concat([record], format.roundUpToBlock(record.length));
    await this.reservation;
    await files.writeFully(this.files[fileIndex], padded, format.RECORD_OFFSET);
    await this.files[fileIndex].sync();
    this.position.number = number;
    this.position.fileIndex = fileIndex;
    this.capacities[fileIndex] = Math.max(this.capacities[fileIndex], format.RECORD_OFFSET + padded.length);
    this.reservation = this.reserve((fileIndex + 1) % this.files.length, padded.length);
  }

  /** Reserves space ahead of need, so that a disk that fills up later still takes the next records. */
  private async reserve(fileIndex: number, lastBytes: number): Promise<void> {
    const capacity = this.capacities[fileIndex];
    if (capacity >= format.RECORD_OFFSET + MIN_RESERVE_FACTOR * lastBytes) return;
    const bytes = format.RECORD_OFFSET + GROWTH_FACTOR * lastBytes;
    try {
      await files.writeFully(this.files[fileIndex], Buffer.alloc(bytes - capacity), capacity);
      await this.files[fileIndex].sync();
      this.capacities[fileIndex] = bytes;
    } catch {
      log.count("store.reserve_failed");
    }
  }
}

function fileName(index: number): string {
  return `register-${index}`;
}

async function openAll(folder: files.StoreFolder): Promise<files.StoreFile[]> {
  const opened: files.StoreFile[] = [];
  try {
    for (let index = 0; index < FILE_COUNT; index += 1) opened.push(await folder.open(fileName(index)));
  } catch (cause) {
    await closeAll(opened);
    throw cause;
  }
  return opened;
}

async function closeAll(opened: readonly files.StoreFile[]): Promise<void> {
  await Promise.allSettled(opened.map((file) => file.close()));
}

function capacityOf(content: Buffer): number {
  return Math.max(INITIAL_FILE_BYTES, format.roundUpToBlock(content.length));
}

/**
 * The newest record may come from a process that ended before its sync. It is written once more, the same bytes at the
 * same offset, since a sync proves nothing after one that failed; if it was durable, this changes nothing.
 */
async function rewriteNewest(file: files.StoreFile, content: Buffer, newest: inspection.NewestRecord): Promise<void> {
  const end = format.RECORD_OFFSET + format.roundUpToBlock(format.RECORD_HEADER_BYTES + newest.body.length);
  await files.writeFully(file, content.subarray(format.RECORD_OFFSET, end), format.RECORD_OFFSET);
  await file.sync();
}

/** What the headers of a new set contain. */
interface NewFileSet {
  setId: Buffer;
  origin: format.Origin;
}

/**
 * Writes the headers of a new set and makes files and names durable, all before the first record. Record bytes of an
 * older set stay until then, as evidence that it existed; they belong to another set and are never read as this one's.
 */
async function createFileSet(
  folder: files.StoreFolder,
  opened: readonly files.StoreFile[],
  contents: readonly Buffer[],
  { setId, origin }: NewFileSet,
): Promise<void> {
  async function makeFile(file: files.StoreFile, index: number): Promise<void> {
    const bytes = Buffer.alloc(capacityOf(contents[index]));
    if (origin === "later") contents[index].copy(bytes);
    format.encodeFileHeader({ setId, files: opened.length, index, origin }).copy(bytes);
    await files.writeFully(file, bytes, 0);
    await file.sync();
  }
  const steps = await Promise.allSettled([...opened.map(makeFile), folder.sync()]);
  for (const step of steps) if (step.status === "rejected") throw step.reason;
}
