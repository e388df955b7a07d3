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
import * as logGeneration from "./log-generation.js";

const FILE_NAMES = ["tallies-0", "tallies-1"];
/** Pause between two attempts at a disk that refuses. */
export const RETRY_INTERVAL_MS = 500;
/** Records of one frame of a snapshot. */
const SNAPSHOT_FRAME_RECORDS = 1024;
/** A file is followed by the next one when what was appended takes so many times the snapshot, and at least MIN_BYTES. */
const GROWTH_FACTOR = 2;
const MIN_GROWTH_BYTES = 512 * 1024;
const SALT_COUNT = 2 ** 32;

/** Records that wait for the disk, and who waits for them. */
interface Batch {
  records: TallyRecord[];
  resolvers: (() => void)[];
}

function emptyBatch(): Batch {
  return { records: [], resolvers: [] };
}

/** Makes the records of a snapshot of now; must hold still until `finished` is called, but for what is appended. */
export interface SnapshotSource {
  beginSnapshot(): Iterable<TallyRecord>;
  endSnapshot(): void;
}

async function closeAll(opened: readonly files.StoreFile[]): Promise<void> {
  await Promise.allSettled(opened.map((file) => file.close()));
}

/** One open log; group commit: what comes while a sync is under way goes into the next frame. */
export class CounterLog {
  private pending: Batch = emptyBatch();
  private isWriting = false;
  private isClosed = false;
  private error = "";
  private snapshotBytes = 0;
  private writer!: logGeneration.GenerationWriter;
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
  static async open(clock: types.Clock, folder: files.StoreFolder): Promise<{ log: CounterLog; records: TallyRecord[] }> {
    await folder.make();
    const opened: files.StoreFile[] = [];
    try {
      for (const name of FILE_NAMES) opened.push(await folder.open(name));
      await folder.sync();
      return await CounterLog.read(clock, opened);
    } catch (cause) {
      await closeAll(opened);
      throw cause;
    }
  }

  private static async read(clock: types.Clock, opened: files.StoreFile[]): Promise<{ log: CounterLog; records: TallyRecord[] }> {
    const contents: logGeneration.GenerationContent[] = [];
    for (const file of opened) contents.push(await logGeneration.readGeneration(file));
    const newest = contents[1].generation > contents[0].generation ? 1 : 0;
    const capacities = contents.map((content) => content.capacity);
    const { generation, records } = contents[newest];
    return { log: new CounterLog(clock, opened, capacities, newest, generation), records };
  }

  /** Writes the first snapshot of this life; resolves once it is durable. */
  async start(source: SnapshotSource): Promise<void> {
    this.isWriting = true;
    await this.retryUntilDone(() => this.rewrite(source));
    this.isWriting = false;
    this.source = source;
    this.startWriting();
  }

  /** What failed last; empty while the disk takes writes. */
  status(): { error: string; waitingMs: number; generation: number; bytes: number } {
    const waitingMs = this.busySince === null ? 0 : Math.round(this.clock.now() - this.busySince);
    return { error: this.error, waitingMs, generation: this.generation, bytes: this.writer?.bytes ?? 0 };
  }

  /** Resolves once the records are durable, however long that takes. */
  append(records: TallyRecord[]): Promise<void> {
    const { pending: waiting } = this;
    for (const record of records) waiting.records.push(record);
    const durable = new Promise<void>((resolve) => waiting.resolvers.push(resolve));
    this.startWriting();
    return durable;
  }

  /** The next thing that is written is a whole snapshot; resolves once that is durable. */
  writeSnapshot(): Promise<void> {
    this.mustRewrite = true;
    return this.append([]);
  }

  async close(): Promise<void> {
    this.isClosed = true;
    await closeAll(this.opened);
  }

  private startWriting(): void {
    if (this.isWriting || this.isClosed || !this.source || this.pending.resolvers.length === 0) return;
    this.isWriting = true;
    void this.writeAll(this.source);
  }

  private async writeAll(source: SnapshotSource): Promise<void> {
    while (this.pending.resolvers.length > 0 && !this.isClosed) {
      const batch = this.pending;
      this.pending = emptyBatch();
      await this.retryUntilDone(() => this.writeNext(batch, source));
      if (!this.isClosed) for (const done of batch.resolvers) done();
    }
    this.isWriting = false;
  }

  private isGrown(): boolean {
    return this.writer.bytes > Math.max(MIN_GROWTH_BYTES, GROWTH_FACTOR * this.snapshotBytes + MIN_GROWTH_BYTES);
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
    const place = { generation: this.generation + 1, salt: Math.floor(this.clock.random() * SALT_COUNT) };
    const writer = new logGeneration.GenerationWriter(this.opened[file], place, this.capacities[file]);
    this.mustRewrite = false;
    try {
      let records: TallyRecord[] = [];
      for (const record of source.beginSnapshot()) {
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
      source.endSnapshot();
    }
    this.writer = writer;
    this.newest = file;
    this.generation = place.generation;
    this.snapshotBytes = writer.bytes;
  }

  /** Tries again until it succeeds or the log is closed. */
  private async retryUntilDone(attempt: () => Promise<void>): Promise<void> {
    while (!this.isClosed) {
      this.busySince = this.clock.now();
      try {
        await attempt();
        this.recordSuccess();
        return;
      } catch (cause) {
        this.recordFailure(cause);
      }
      await timers.sleep(this.clock, RETRY_INTERVAL_MS);
    }
  }

  private recordSuccess(): void {
    this.busySince = null;
    if (this.error !== "") log.state("tallies: the disk takes writes again");
    this.error = "";
  }

  private recordFailure(cause: unknown): void {
    if (this.isClosed) return;
    const error = storageRemedies.describeFailure(cause);
    log.count("tallies.disk_refused");
    if (error !== this.error) log.state(`tallies: the disk refuses: ${error}`);
    this.error = error;
  }
}
