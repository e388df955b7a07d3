/**
 * The records of one batch on disk (design/batch 5): a file to which whole records are appended, each with its lengths
 * and a checksum. A record is durable once `append` resolves; bytes behind the last whole record belong to a write that
 * was never acknowledged, and are written over.
 */
import type * as schema from "../wire/batch-schema.js";
import * as files from "../store/files.js";
import * as format from "../store/format.js";

const MAGIC = 0x43574252;
/** Magic, item and attempt, length and checksum of the body, checksum of the head. */
const HEAD_BYTES = 24;
const HEAD_CHECKED_BYTES = 20;

/** Where a record's body lies in the file. */
interface Extent {
  at: number;
  bytes: number;
}

/** What a record is named by inside its file. */
export type Place = Pick<schema.RecordKey, "item" | "attempt">;

function placeKey(place: Place): string {
  return `${place.item}/${place.attempt}`;
}

function headOf(place: Place, body: Buffer): Buffer {
  const head = Buffer.alloc(HEAD_BYTES);
  head.writeUInt32BE(MAGIC, 0);
  head.writeInt32BE(place.item, 4);
  head.writeUInt32BE(place.attempt, 8);
  head.writeUInt32BE(body.length, 12);
  head.writeUInt32BE(format.checksum(body), 16);
  head.writeUInt32BE(format.checksum(head.subarray(0, HEAD_CHECKED_BYTES)), HEAD_CHECKED_BYTES);
  return head;
}

/** One file, opened; a single call of `append` runs at a time, later ones wait. */
export class RecordFile {
  private last: Promise<unknown> = Promise.resolve();

  private constructor(
    private readonly file: files.RecordFile,
    private readonly extents: Map<string, Extent>,
    private end: number,
  ) {}

  /** Reads what is there. Its last whole record may not be durable yet: it is synced before anybody hears of it. */
  static async open(file: files.RecordFile): Promise<RecordFile> {
    const content = await file.read();
    const extents = new Map<string, Extent>();
    let at = 0;
    for (let next = recordAt(content, at); next; next = recordAt(content, at)) {
      extents.set(placeKey(next.place), next.extent);
      at = next.extent.at + next.extent.bytes;
    }
    if (at > 0) await rewrite(file, content.subarray(0, at));
    return new RecordFile(file, extents, at);
  }

  has(place: Place): boolean {
    return this.extents.has(placeKey(place));
  }

  /** Bytes of all whole records. */
  get bytes(): number {
    return this.end;
  }

  async read(place: Place): Promise<Buffer | null> {
    const extent = this.extents.get(placeKey(place));
    return extent ? this.file.readAt(extent.at, extent.bytes) : null;
  }

  /** Resolves once the record is durable; one that is there already stays as it is. Rejects if the disk refuses. */
  append(place: Place, body: Buffer): Promise<void> {
    const write = this.write.bind(this, place, body);
    const done = this.last.then(write, write);
    this.last = done;
    return done;
  }

  private async write(place: Place, body: Buffer): Promise<void> {
    if (this.has(place)) return;
    const bytes = Buffer.concat([headOf(place, body), body]);
    await files.writeFully(this.file, bytes, this.end);
    await this.file.sync();
    this.extents.set(placeKey(place), { at: this.end + HEAD_BYTES, bytes: body.length });
    this.end += bytes.length;
  }

  async close(): Promise<void> {
    await this.last.catch(ignore);
    await this.file.close();
  }
}

/** The whole record that begins there, or null. */
function recordAt(content: Buffer, at: number): { place: Place; extent: Extent } | null {
  if (content.length < at + HEAD_BYTES) return null;
  const head = content.subarray(at, at + HEAD_BYTES);
  if (head.readUInt32BE(0) !== MAGIC) return null;
  if (format.checksum(head.subarray(0, HEAD_CHECKED_BYTES)) !== head.readUInt32BE(HEAD_CHECKED_BYTES)) return null;
  const extent = { at: at + HEAD_BYTES, bytes: head.readUInt32BE(12) };
  const body = content.subarray(extent.at, extent.at + extent.bytes);
  if (body.length < extent.bytes || format.checksum(body) !== head.readUInt32BE(16)) return null;
  return { place: { item: head.readInt32BE(4), attempt: head.readUInt32BE(8) }, extent };
}

/** The same bytes once more: a sync alone proves nothing of writes of an earlier process. */
async function rewrite(file: files.StoreFile, bytes: Buffer): Promise<void> {
  await files.writeFully(file, bytes, 0);
  await file.sync();
}

/** A write that failed was reported to its caller. */
function ignore(): void {}
