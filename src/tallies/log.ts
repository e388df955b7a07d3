/**
 * The tallies' log on disk: two files that take turns (design/tallies 5). The newer one holds a snapshot and what came
 * after it; when it has grown, a new snapshot goes into the other file, and only once that is durable does the newer one
 * become the older. What is read at a start is written as a new generation before anybody hears of it, since a sync says
 * nothing of what an earlier process wrote. A disk that refuses is tried again for ever; `append` never rejects.
 */
import * as log from "../runtime/log.js";
import type * as files from "../store/files.js";
import * as storageRemedies from "../store/storage-remedies.js";
import type { TallyRecord } from "../wire/tally-schema.js";
import * as types from "../wire/types.js";
import * as timers from "../runtime/timers.js";
import * as generations from "./generation.js";

const FILES = ["tallies-0", "tallies-1"];
/** Pause between two attempts at a disk that refuses. */
export const RETRY_MS = 500;
/** Records of one frame of a snapshot. */
const SNAPSHOT_FRAME_RECORDS = 1024;
/** A file is followed by the next one when what was appended takes so many times the snapshot, and at least MIN_BYTES. */
const GROWTH_FACTOR = 2;
const MIN_BYTES = 512 * 1024;
const SALTS = 2 ** 32;

/** Records that wait for the disk, and who waits for them. */
interface Batch {
  records: TallyRecord[];
  done: (() => void)[];
}

function emptyBatch(): Batch {
  return { records: [], done: [] };
}

/** Makes the records of a snapshot of now; must hold still until `finished` is called, but for what is appended. */
export interface SnapshotSource {
  begin(): Iterable<TallyRecord>;
  finished(): void;
}

async function closeAll(opened: readonly files.StoreFile[]): Promise<void> {
  await Promise.allSettled(opened.map((file) => file.close()));
}

/** One open log; group commit: what comes while a sync is under way goes into the next frame. */
export class TallyLog {
  private waiting: Batch = emptyBatch();
  private isWriting = false;
  private isClosed = false;
  private error = "";
  private snapshotBytes = 0;
  private writer!: generations.GenerationWriter;
  private busySince: types.SteadyMs | null = null;
  private mustRewrite = false;
  private source: SnapshotSource | null = null;

  private constructor(
    private readonly clock: types.Clock,
    private readonly opened: files.StoreFile[],
    private readonly capacities: number[],
    private newest: number,
    private generation: number,
  ) {}

  /** The log and the records that it held. Rejects if the disk refuses; `start` must follow. */
  static async open(clock: types.Clock, folder: files.StoreFolder): Promise<{ log: TallyLog; records: TallyRecord[] }> {
    await folder.make();
    const opened: files.StoreFile[] = [];
    try {
      for (const name of FILES) opened.push(await folder.open(name));
      await folder.sync();
      return await TallyLog.read(clock, opened);
    } catch (cause) {
      await closeAll(opened);
      throw cause;
    }
  }

  private static async read(clock: types.Clock, opened: files.StoreFile[]): Promise<{ log: TallyLog; records: TallyRecord[] }> {
    const contents: generations.GenerationContent[] = [];
    for (const file of opened) contents.push(await generations.read(file));
    const newest = contents[1].generation > contents[0].generation ? 1 : 0;
    const capacities = contents.map((content) => content.capacity);
    const { generation, records } = contents[newest];
    return { log: new TallyLog(clock, opened, capacities, newest, generation), records };
  }

  /** Writes the first snapshot of this life; resolves once it is durable. */
  async start(source: SnapshotSource): Promise<void> {
    this.isWriting = true;
    await this.persistently(() => this.rewrite(source));
    this.isWriting = false;
    this.source = source;
    this.go();
  }

  /** What failed last; empty while the disk takes writes. */
  status(): { error: string; waitingMs: number; generation: number; bytes: number } {
    const waitingMs = this.busySince === null ? 0 : Math.round(this.clock.now() - this.busySince);
    return { error: this.error, waitingMs, generation: this.generation, bytes: this.writer?.bytes ?? 0 };
  }

  /** Resolves once the records are durable, however long that takes. */
  append(records: TallyRecord[]): Promise<void> {
    const { waiting } = this;
    for (const record of records) waiting.records.push(record);
    const durable = new Promise<void>((resolve) => waiting.done.push(resolve));
    this.go();
    return durable;
  }

  /** The next thing that is written is a whole snapshot; resolves once that is durable. */
  replace(): Promise<void> {
    this.mustRewrite = true;
    return this.append([]);
  }

  async close(): Promise<void> {
    this.isClosed = true;
    await closeAll(this.opened);
  }

  private go(): void {
    if (this.isWriting || this.isClosed || !this.source || this.waiting.done.length === 0) return;
    this.isWriting = true;
    void this.writeAll(this.source);
  }

  private async writeAll(source: SnapshotSource): Promise<void> {
    while (this.waiting.done.length > 0 && !this.isClosed) {
      const batch = this.waiting;
      this.waiting = emptyBatch();
      await this.persistently(() => this.writeNext(batch, source));
      if (!this.isClosed) for (const done of batch.done) done();
    }
    this.isWriting = false;
  }

  private isGrown(): boolean {
    return this.writer.bytes > Math.max(MIN_BYTES, GROWTH_FACTOR * this.snapshotBytes + MIN_BYTES);
  }

  /** A snapshot is made of the state now, which has the records of the batch. After a failed sync nothing is known of any frame. */
  private async writeNext(batch: Batch, source: SnapshotSource): Promise<void> {
    if (this.mustRewrite || this.isGrown()) {
      await this.rewrite(source);
      return;
    }
    await this.writer.write(batch.records, false);
    try {
      await this.writer.sync();
    } catch (cause) {
      this.mustRewrite = true;
      throw cause;
    }
  }

  private async rewrite(source: SnapshotSource): Promise<void> {
    const file = (this.newest + 1) % this.opened.length;
    const place = { generation: this.generation + 1, salt: Math.floor(this.clock.random() * SALTS) };
    const writer = new generations.GenerationWriter(this.opened[file], place, this.capacities[file]);
    this.mustRewrite = false;
    try {
      let records: TallyRecord[] = [];
      for (const record of source.begin()) {
        records.push(record);
        if (records.length < SNAPSHOT_FRAME_RECORDS) continue;
        await writer.write(records, false);
        records = [];
      }
      await writer.write(records, true);
      await writer.sync();
    } catch (cause) {
      this.mustRewrite = true;
      throw cause;
    } finally {
      this.capacities[file] = writer.capacity;
      source.finished();
    }
    this.writer = writer;
    this.newest = file;
    this.generation = place.generation;
    this.snapshotBytes = writer.bytes;
  }

  /** Tries again until it succeeds or the log is closed. */
  private async persistently(attempt: () => Promise<void>): Promise<void> {
    while (!this.isClosed) {
      this.busySince = this.clock.now();
      try {
        await attempt();
        this.succeeded();
        return;
      } catch (cause) {
        this.failed(cause);
      }
      await timers.sleep(this.clock, RETRY_MS);
    }
  }

  private succeeded(): void {
    this.busySince = null;
    if (this.error !== "") log.state("tallies: the disk takes writes again");
    this.error = "";
  }

  private failed(cause: unknown): void {
    if (this.isClosed) return;
    const error = storageRemedies.describeFailure(cause);
    log.count("tallies.disk_refused");
    if (error !== this.error) log.state(`tallies: the disk refuses: ${error}`);
    this.error = error;
  }
}
