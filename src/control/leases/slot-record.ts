/**
 * A record on disk that this control node opened its slot of quotas in an epoch of the voters (design/tenants 4.3). After a
 * restart it proves that whoever owned the slot before has stopped, so that the fence need not be waited out again. A record
 * that is lost or torn costs that wait and nothing else.
 */
import * as crypto from "node:crypto";
import * as superstruct from "superstruct";
import type * as files from "../../store/files.js";
import * as log from "../../runtime/log.js";

const FILE = "quota-slot";
/** All records have this length: a shorter one must leave nothing of a longer one behind. */
const RECORD_BYTES = 512;
/** A SHA-256 digest in base64. */
const DIGEST_CHARACTERS = 44;

const shape = superstruct.type({
  disk: superstruct.string(),
  epoch: superstruct.integer(),
  slot: superstruct.integer(),
  slots: superstruct.integer(),
});

/** Which slot was open, of which disk, in which epoch of the voters. */
export type SlotRecord = superstruct.Infer<typeof shape>;

function serialize(record: SlotRecord): Buffer {
  const body = JSON.stringify(record);
  return Buffer.from((digestOf(body) + body).padEnd(RECORD_BYTES), "utf8");
}

function digestOf(body: string): string {
  return crypto.createHash("sha256").update(body).digest("base64");
}

/** Null where the bytes are no complete record. */
export function parse(bytes: Buffer): SlotRecord | null {
  const text = bytes.toString("utf8").trimEnd();
  const body = text.slice(DIGEST_CHARACTERS);
  if (digestOf(body) !== text.slice(0, DIGEST_CHARACTERS)) return null;
  const [failure, record] = superstruct.validate(JSON.parse(body) as unknown, shape);
  return failure ? null : record;
}

/** Reads and writes the record of one node; nobody waits for a disk that fails or hangs. */
export class SlotRecordFile {
  private isWriting = false;
  /** The record on disk, as far as this incarnation wrote it. */
  private written: SlotRecord | null = null;

  constructor(private readonly folder: files.StoreFolder) {}

  /** The record of the previous incarnation, or null. */
  async read(): Promise<SlotRecord | null> {
    try {
      await this.folder.make();
      const file = await this.folder.open(FILE);
      const bytes = await file.read();
      await file.close();
      return parse(bytes);
    } catch {
      log.count("quota.note_unreadable");
      return null;
    }
  }

  /** Begins to save the record, unless it is saved already or a write is in progress: the caller calls again soon. */
  save(record: SlotRecord): void {
    // The slot follows from the disk and the epoch.
    if (this.isWriting || (this.written?.epoch === record.epoch && this.written.disk === record.disk)) return;
    this.isWriting = true;
    this.write(record).then(
      () => this.finishWrite(record),
      () => this.finishWrite(null),
    );
  }

  /** Null: the write failed. */
  private finishWrite(record: SlotRecord | null): void {
    this.isWriting = false;
    this.written = record ?? this.written;
    if (record === null) log.count("quota.note_failed");
  }

  private async write(record: SlotRecord): Promise<void> {
    const file = await this.folder.open(FILE);
    try {
      await file.write(serialize(record), 0);
      await file.sync();
      await this.folder.sync();
    } finally {
      await file.close();
    }
  }
}
