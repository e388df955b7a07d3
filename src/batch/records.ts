/**
 * The records of all batches on this node's disk (design/batch 5): submissions and results, each written once. One file
 * a batch, so that a dropped batch frees its bytes. Used by this node alone; `replicas.ts` spreads records over the core.
 */
import type * as schema from "../wire/batch-schema.js";
import * as errors from "../runtime/errors.js";
import * as log from "../runtime/log.js";
import type * as files from "../store/files.js";
import type * as types from "../wire/types.js";
import * as bounds from "./bounds.js";
import * as recordFile from "./record-file.js";

const SUFFIX = ".records";
/** The record of a batch's submission. */
export const SUBMISSION: recordFile.RecordId = { item: -1, attempt: 0 };
/** Records of a batch that the table doesn't name are kept this long: its submission may be in progress. */
const UNREFERENCED_RETENTION_MS = 120_000;

/** Reports a disk's failure as false or null; memory holds only the positions of the records. */
export class Records {
  private readonly opened = new Map<string, Promise<recordFile.RecordFile>>();
  private readonly unreferencedSince = new Map<string, types.SteadyMs>();

  constructor(
    private readonly clock: types.Clock,
    private readonly folder: files.RecordFolder,
  ) {}

  /** Opens what is there. Rejects if the disk refuses. */
  async open(): Promise<void> {
    await this.folder.make();
    for (const name of await this.folder.names()) {
      if (name.endsWith(SUFFIX)) await this.fileOf(name.slice(0, -SUFFIX.length));
    }
  }

  /** True once the record is durable here; false if the disk refused or the bound on all records is reached. */
  async put(key: schema.RecordKey, body: Buffer): Promise<boolean> {
    try {
      const isNew = !this.opened.has(key.digest);
      const file = await this.fileOf(key.digest);
      if (!file.has(key) && (await this.bytes()) + body.length > bounds.MAX_BYTES) return false;
      await file.append(key, body);
      if (isNew) await this.folder.sync();
      return true;
    } catch (cause) {
      log.count("batch.record_refused");
      log.state(`batch: a record was not written: ${errors.messageOf(cause)}`);
      return false;
    }
  }

  /** Null where this disk does not hold it, or can't be read. */
  async get(key: schema.RecordKey): Promise<Buffer | null> {
    const opened = this.opened.get(key.digest);
    if (!opened) return null;
    try {
      return await (await opened).read(key);
    } catch {
      log.count("batch.record_unread");
      return null;
    }
  }

  async has(key: schema.RecordKey): Promise<boolean> {
    const opened = this.opened.get(key.digest);
    return opened !== undefined && (await opened).has(key);
  }

  /** Drops the files of batches that are not named any more. */
  async retainOnly(digests: ReadonlySet<string>): Promise<void> {
    const now = this.clock.now();
    for (const digest of [...this.opened.keys()]) {
      if (digests.has(digest)) this.unreferencedSince.delete(digest);
      else if (!this.unreferencedSince.has(digest)) this.unreferencedSince.set(digest, now);
      else if (now - this.unreferencedSince.get(digest)! > UNREFERENCED_RETENTION_MS) await this.drop(digest);
    }
  }

  async close(): Promise<void> {
    for (const opened of this.opened.values()) await (await opened).close();
    this.opened.clear();
  }

  /** Bytes of all records. */
  async bytes(): Promise<number> {
    let sum = 0;
    for (const opened of this.opened.values()) sum += (await opened).bytes;
    return sum;
  }

  private fileOf(digest: string): Promise<recordFile.RecordFile> {
    let opened = this.opened.get(digest);
    if (!opened) {
      opened = this.folder.open(`${digest}${SUFFIX}`).then((file) => recordFile.RecordFile.open(file));
      this.opened.set(digest, opened);
      opened.catch(() => this.opened.delete(digest));
    }
    return opened;
  }

  private async drop(digest: string): Promise<void> {
    const opened = this.opened.get(digest);
    this.opened.delete(digest);
    this.unreferencedSince.delete(digest);
    await (await opened)?.close();
    await this.folder.remove(`${digest}${SUFFIX}`);
  }
}
