/**
 * A note on the disk that this control node opened its slot of quotas in an epoch of the voters (design/tenants 4.3). After a
 * start it proves that whoever held the slot before has stopped: the fence need not be waited out again. A note that is
 * lost or torn costs that wait and nothing else.
 */
import * as crypto from "node:crypto";
import * as superstruct from "superstruct";
import type * as files from "../../store/files.js";
import * as log from "../../runtime/log.js";

const FILE = "quota-slot";
/** All notes are as long: a shorter one must leave nothing of a longer one behind. */
const NOTE_BYTES = 512;
const DIGEST_CHARACTERS = 44;

const shape = superstruct.type({
  disk: superstruct.string(),
  epoch: superstruct.integer(),
  slot: superstruct.integer(),
  slots: superstruct.integer(),
});

/** Which slot was open, of which disk, in which epoch of the voters. */
export type Note = superstruct.Infer<typeof shape>;

function packed(note: Note): Buffer {
  const body = JSON.stringify(note);
  return Buffer.from((digestOf(body) + body).padEnd(NOTE_BYTES), "utf8");
}

function digestOf(body: string): string {
  return crypto.createHash("sha256").update(body).digest("base64");
}

/** Null where the bytes are no whole note. */
export function parse(bytes: Buffer): Note | null {
  const text = bytes.toString("utf8").trimEnd();
  const body = text.slice(DIGEST_CHARACTERS);
  if (digestOf(body) !== text.slice(0, DIGEST_CHARACTERS)) return null;
  const [failure, note] = superstruct.validate(JSON.parse(body) as unknown, shape);
  return failure ? null : note;
}

/** Reads and writes the note of one node; a disk that fails or hangs keeps nobody waiting. */
export class SlotNote {
  private isWriting = false;
  private written: Note | null = null;

  constructor(private readonly folder: files.StoreFolder) {}

  /** The note of a former life, or null. */
  async read(): Promise<Note | null> {
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

  /** Keeps the note unless it is kept already, or a write is under way: whoever calls often writes it later. */
  keep(note: Note): void {
    // The place follows from the disk and the epoch.
    if (this.isWriting || (this.written?.epoch === note.epoch && this.written.disk === note.disk)) return;
    this.isWriting = true;
    this.write(note).then(
      () => this.ended(note),
      () => this.ended(null),
    );
  }

  private ended(note: Note | null): void {
    this.isWriting = false;
    this.written = note ?? this.written;
    if (note === null) log.count("quota.note_failed");
  }

  private async write(note: Note): Promise<void> {
    const file = await this.folder.open(FILE);
    try {
      await file.write(packed(note), 0);
      await file.sync();
      await this.folder.sync();
    } finally {
      await file.close();
    }
  }
}
