/**
 * A ring of preallocated files that keeps the newest of a row of records (design 5.3, hardening 6). Each record goes whole into the
 * file after the newest one's and is synced before `write` resolves; a failed write is repeated, whole, into the same
 * file. So a torn write hurts a record that was never acknowledged, and never the newest acknowledged one.
 */
import * as log from "../runtime/log.js";
import * as conversion from "./conversion.js";
import * as files from "./files.js";
import * as format from "./format.js";
import * as inspection from "./inspection.js";

/** Files of a ring. */
export const FILES = 4;
const FIRST_BYTES = 64 * 1024;
/** The next file has room for a record this many times as large as the last one. */
const ROOM_FACTOR = 2;
/** When it has less, it grows to this many times, so that slowly growing records seldom make it grow. */
const GROWTH_FACTOR = 3;

/** How records are told apart. */
export interface RingOptions {
  /** Fingerprint of the records' layout: a record of another one is an error. */
  layout: number;
  /** A random id for a new set of files, `format.SET_ID_BYTES` long. */
  newSetId(): Buffer;
}

/** What opening a folder gave. */
export interface OpenedRing {
  ring: Ring;
  /** The newest whole record, durable by now; null if the files are a new set. */
  newest: Buffer | null;
  /** With no record: whether the folder shows no trace of any earlier promise. */
  isPristine: boolean;
  /** With no record: the newest one of release 1, to be written converted; then `conversion.discard` is called. */
  unconverted: Buffer | null;
}

interface Position {
  setId: Buffer;
  /** Number and file of the newest durable record. */
  number: number;
  place: number;
}

/** One open set of files. */
export class Ring {
  /** Room that is being made in the file of the next record. */
  private reservation: Promise<void> = Promise.resolve();

  private constructor(
    private readonly files: readonly files.StoreFile[],
    private readonly capacities: number[],
    private readonly layout: number,
    private readonly position: Position,
  ) {}

  /** Opens the set of files, or makes a new one; what it gives is durable. Rejects if the disk refuses. */
  static async open(folder: files.StoreFolder, options: RingOptions): Promise<OpenedRing> {
    await folder.make();
    const opened = await openAll(folder);
    try {
      const contents = await Promise.all(opened.map(readFile));
      const unconverted = await conversion.preserve(folder, contents);
      if (unconverted) return await Ring.openConverted(folder, opened, contents, options, unconverted);
      const { newest, isPristine, isConverted } = inspection.inspect(contents, options.layout);
      const position = newest
        ? { setId: newest.setId, number: newest.number, place: newest.place }
        : { setId: options.newSetId(), number: 0, place: 0 };
      if (newest) await makeDurable(opened[newest.place], contents[newest.place], newest);
      else await makeSet(folder, opened, contents, { setId: position.setId, origin: isPristine ? "first" : "later" });
      if (isConverted) await conversion.discard(folder);
      const capacities = contents.map(capacityOf);
      const ring = new Ring(opened, capacities, options.layout, position);
      return { ring, newest: newest?.body ?? null, isPristine, unconverted: null };
    } catch (cause) {
      await closeAll(opened);
      throw cause;
    }
  }

  /** A new set in the place of the files of release 1, whose newest record is durable elsewhere by now. */
  private static async openConverted(
    folder: files.StoreFolder,
    opened: readonly files.StoreFile[],
    contents: readonly Buffer[],
    options: RingOptions,
    unconverted: Buffer,
  ): Promise<OpenedRing> {
    const position = { setId: options.newSetId(), number: 0, place: 0 };
    await makeSet(folder, opened, contents, { setId: position.setId, origin: "converted" });
    const ring = new Ring(opened, contents.map(capacityOf), options.layout, position);
    return { ring, newest: null, isPristine: false, unconverted };
  }

  async close(): Promise<void> {
    await this.reservation;
    await closeAll(this.files);
  }

  /** Resolves once the record is durable; rejects if it may not be. One call at a time. */
  async write(body: Buffer): Promise<void> {
    const { setId } = this.position;
    const number = this.position.number + 1;
    // Number and place move on after a success only: failures never reach the file of the newest durable record.
    const place = (this.position.place + 1) % this.files.length;
    const record = format.encodeRecord({ setId, layout: this.layout, number, body });
    const padded = Buffer.concat([record], format.roundUpToBlock(record.length));
    await this.reservation;
    await files.writeWhole(this.files[place], padded, format.RECORD_AT);
    await this.files[place].sync();
    this.position.number = number;
    this.position.place = place;
    this.capacities[place] = Math.max(this.capacities[place], format.RECORD_AT + padded.length);
    this.reservation = this.reserve((place + 1) % this.files.length, padded.length);
  }

  /** Makes room ahead of need, so that a disk that fills up later still takes the next records. */
  private async reserve(place: number, lastBytes: number): Promise<void> {
    const capacity = this.capacities[place];
    if (capacity >= format.RECORD_AT + ROOM_FACTOR * lastBytes) return;
    const bytes = format.RECORD_AT + GROWTH_FACTOR * lastBytes;
    try {
      await files.writeWhole(this.files[place], Buffer.alloc(bytes - capacity), capacity);
      await this.files[place].sync();
      this.capacities[place] = bytes;
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
    for (let index = 0; index < FILES; index += 1) opened.push(await folder.open(fileName(index)));
  } catch (cause) {
    await closeAll(opened);
    throw cause;
  }
  return opened;
}

async function closeAll(opened: readonly files.StoreFile[]): Promise<void> {
  await Promise.allSettled(opened.map(closeFile));
}

function closeFile(file: files.StoreFile): Promise<void> {
  return file.close();
}

function readFile(file: files.StoreFile): Promise<Buffer> {
  return file.read();
}

function capacityOf(content: Buffer): number {
  return Math.max(FIRST_BYTES, format.roundUpToBlock(content.length));
}

/**
 * The newest record may come from a process that ended before its sync. It is written once more, the same bytes at the
 * same place, since a sync alone proves nothing after one that failed; if it was durable, this changes nothing.
 */
async function makeDurable(file: files.StoreFile, content: Buffer, newest: inspection.NewestRecord): Promise<void> {
  const end = format.RECORD_AT + format.roundUpToBlock(format.RECORD_HEAD_BYTES + newest.body.length);
  await files.writeWhole(file, content.subarray(format.RECORD_AT, end), format.RECORD_AT);
  await file.sync();
}

/** What the headers of a new set tell. */
interface NewSet {
  setId: Buffer;
  origin: format.Origin;
}

/**
 * Writes the headers of a new set and makes files and names durable, all before the first record. Record bytes of an
 * older set stay until then, as the trace that it was there; they belong to another set and are never read as this one's.
 */
async function makeSet(
  folder: files.StoreFolder,
  opened: readonly files.StoreFile[],
  contents: readonly Buffer[],
  { setId, origin }: NewSet,
): Promise<void> {
  async function makeFile(file: files.StoreFile, index: number): Promise<void> {
    const bytes = Buffer.alloc(capacityOf(contents[index]));
    if (origin === "later") contents[index].copy(bytes);
    format.encodeHeader({ setId, files: opened.length, index, origin }).copy(bytes);
    await files.writeWhole(file, bytes, 0);
    await file.sync();
  }
  const steps = await Promise.allSettled([...opened.map(makeFile), folder.sync()]);
  for (const step of steps) if (step.status === "rejected") throw step.reason;
}
