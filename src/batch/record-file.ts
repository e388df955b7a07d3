/**
 * The records of one batch on disk (design/batch 5): a file to which whole records are appended, each with its lengths
 * and a checksum. A record is durable once `append` resolves; bytes after the last whole record belong to a write that
 * was never acknowledged, and are overwritten.
 */
import type * as schema from "../wire/batch-schema.js";
import * as files from "../store/files.js";
import * as format from "../store/format.js";

const MAGIC = 0x43574252;
/** Magic, item and attempt, length and checksum of the body, checksum of the header. */
const HEADER_BYTES = 24;
const CHECKED_HEADER_BYTES = 20;

/** Where a record's body lies in the file. */
interface Extent {
  offset: number;
  bytes: number;
}

/** Identifies a record inside its file. */
export type RecordId = Pick<schema.RecordKey, "item" | "attempt">;

function extentKey(id: RecordId): string {
  return `${id.item}/${id.attempt}`;
}

function encodeHeader(id: RecordId, body: Buffer): Buffer {
  const header = Buffer.alloc(HEADER_BYTES);
  header.writeUInt32BE(MAGIC, 0);
  header.writeInt32BE(id.item, 4);
  header.writeUInt32BE(id.attempt, 8);
  header.writeUInt32BE(body.length, 12);
  header.writeUInt32BE(format.checksum(body), 16);
  header.writeUInt32BE(format.checksum(header.subarray(0, CHECKED_HEADER_BYTES)), CHECKED_HEADER_BYTES);
  return header;
}

/** One open file; calls of `append` run one after the other. */
export class RecordFile {
  private lastWrite: Promise<unknown> = Promise.resolve();

  private constructor(
    private readonly file: files.RecordFile,
    private readonly extents: Map<string, Extent>,
    private end: number,
  ) {}

  /** Reads the whole records and writes them again: the last one may not have been durable before. */
  static async open(file: files.RecordFile): Promise<RecordFile> {
    const content = await file.read();
    const extents = new Map<string, Extent>();
    let at = 0;
    for (let next = recordAt(content, at); next; next = recordAt(content, at)) {
      extents.set(extentKey(next.id), next.extent);
      at = next.extent.offset + next.extent.bytes;
    }
    if (at > 0) await rewrite(file, content.subarray(0, at));
    return new RecordFile(file, extents, at);
  }

  has(id: RecordId): boolean {
    return this.extents.has(extentKey(id));
  }

  /** Bytes of all whole records. */
  get bytes(): number {
    return this.end;
  }

  async read(id: RecordId): Promise<Buffer | null> {
    const extent = this.extents.get(extentKey(id));
    return extent ? this.file.readAt(extent.offset, extent.bytes) : null;
  }

  /** Resolves once the record is durable; one that is there already stays as it is. Rejects if the disk refuses. */
  append(id: RecordId, body: Buffer): Promise<void> {
    const write = (): Promise<void> => this.write(id, body);
    const done = this.lastWrite.then(write, write);
    this.lastWrite = done;
    return done;
  }

  private async write(id: RecordId, body: Buffer): Promise<void> {
    if (this.has(id)) return;
    const bytes = Buffer.concat([encodeHeader(id, body), body]);
    await files.writeFully(this.file, bytes, this.end);
    await this.file.sync();
    this.extents.set(extentKey(id), { offset: this.end + HEADER_BYTES, bytes: body.length });
    this.end += bytes.length;
  }

  async close(): Promise<void> {
    await this.lastWrite.catch(ignore);
    await this.file.close();
  }
}

/** The whole record that begins there, or null. */
function recordAt(content: Buffer, at: number): { id: RecordId; extent: Extent } | null {
  if (content.length < at + HEADER_BYTES) return null;
  const header = content.subarray(at, at + HEADER_BYTES);
  if (header.readUInt32BE(0) !== MAGIC) return null;
  if (format.checksum(header.subarray(0, CHECKED_HEADER_BYTES)) !== header.readUInt32BE(CHECKED_HEADER_BYTES)) return null;
  const extent = { offset: at + HEADER_BYTES, bytes: header.readUInt32BE(12) };
  const body = content.subarray(extent.offset, extent.offset + extent.bytes);
  if (body.length < extent.bytes || format.checksum(body) !== header.readUInt32BE(16)) return null;
  return { id: { item: header.readInt32BE(4), attempt: header.readUInt32BE(8) }, extent };
}

/** Writes the same bytes again: a sync alone doesn't prove that an earlier process's writes are durable. */
async function rewrite(file: files.StoreFile, bytes: Buffer): Promise<void> {
  await files.writeFully(file, bytes, 0);
  await file.sync();
}

/** The caller of the failed write has its error. */
function ignore(): void {}
