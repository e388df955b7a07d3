/**
 * One node's tallies with their disk: the state in memory, the log behind it, and how much of each stream is durable
 * (design/tallies 5). Changes count at once; whoever promises anything waits until they are durable.
 */
import * as log from "../runtime/log.js";
import type * as files from "../store/files.js";
import * as storageRemedies from "../store/storage-remedies.js";
import type { StreamPosition, TallyAdd, TallyRecord } from "../wire/tally-schema.js";
import type * as types from "../wire/types.js";
import * as counterState from "./counter-state.js";
import * as counterLog from "./counter-log.js";
import * as logRecords from "./log-records.js";

/** The tallies of one node. `newStore`: a random identity for a disk that has none. */
export class CounterStore implements counterLog.SnapshotSource {
  state = new counterState.CounterState();
  /** Empty until the disk is read. */
  diskId = "";
  /** Whether this disk holds what the system held before it was made (totals-readiness.ts). */
  isComplete = false;
  /** Whether the disk was complete before this incarnation opened it. */
  wasComplete = false;
  /** The era as the disk holds it: all adds of earlier eras are durable, too. */
  durableEra = 0;
  private readonly durableOffsets = new Map<string, number>();
  private log: counterLog.CounterLog | null = null;
  private isClosed = false;
  /** Snapshots being read: compaction pauses meanwhile. */
  private openSnapshots = 0;

  constructor(
    private readonly clock: types.Clock,
    private readonly newDiskId: () => string,
  ) {}

  get isOpen(): boolean {
    return this.log !== null;
  }

  /** Opens the log, however often that takes; resolves once its content is durable. */
  async open(folder: files.StoreFolder): Promise<void> {
    try {
      const opened = await counterLog.CounterLog.open(this.clock, folder);
      for (const record of opened.records) this.restore(record);
      this.wasComplete = this.isComplete;
      if (this.diskId === "") this.diskId = this.newDiskId();
      await opened.log.start(this);
      this.log = opened.log;
      this.recordDurable(this.positions());
      this.durableEra = this.state.era;
      log.state(`tallies: disk ${this.diskId} is open, ${this.wasComplete ? "complete" : "new"}`);
    } catch (cause) {
      log.count("tallies.disk_refused");
      log.state(`tallies: the disk can't be opened: ${storageRemedies.describeFailure(cause)}`);
      if (!this.isClosed) this.clock.schedule(counterLog.RETRY_INTERVAL_MS, () => void this.open(folder));
    }
  }

  private restore(record: TallyRecord): void {
    if (record.kind === logRecords.KIND.store) this.diskId = record.stream;
    else if (record.kind === logRecords.KIND.whole) this.isComplete = true;
    else if (!logRecords.applyRecord(this.state, record)) log.count("tallies.gap_on_disk");
  }

  /** How much of the stream is on the own disk. */
  durableOffset(stream: string): number {
    return this.durableOffsets.get(stream) ?? 0;
  }

  /** All streams, as far as they are on the own disk. */
  durablePositions(): StreamPosition[] {
    return [...this.durableOffsets].map(([stream, position]) => ({ stream, position }));
  }

  /** Appends adds that follow the offset of the stream. Adds below it are skipped, and nothing is appended after a gap. */
  appendAdds(stream: string, from: number, adds: readonly TallyAdd[]): Promise<void> {
    const added: TallyRecord[] = [];
    for (const [index, add] of adds.entries()) {
      const position = from + index;
      const offset = this.state.offsetOf(stream);
      if (position > offset + 1) break;
      if (position <= offset) continue;
      const counted = this.state.append(stream, add);
      if (counted !== "new") log.count(`tallies.${counted}`);
      added.push(logRecords.addRecord(stream, position, add));
    }
    const end = Math.min(from + adds.length - 1, this.state.offsetOf(stream));
    if (added.length === 0 && this.durableOffset(stream) >= end) return Promise.resolve();
    return this.append(added, [{ stream, position: end }]);
  }

  /** From now on adds are accepted in this era. */
  async enterEra(era: number): Promise<void> {
    this.state.era = era;
    await this.append([logRecords.eraRecord(era)], []);
    this.durableEra = Math.max(this.durableEra, era);
  }

  /** Marks the disk as complete: it holds all that it should from now on. */
  markComplete(): void {
    this.isComplete = true;
    void this.append([logRecords.completeRecord()], []);
  }

  /** Replaces the state by a peer's snapshot together with the adds that only this node holds. False, and no change: the peer is not ahead. */
  async mergeSnapshot(snapshot: Iterable<TallyRecord>): Promise<boolean> {
    const state = logRecords.mergeSnapshot(snapshot, this.state);
    if (!state || !this.log) return false;
    this.state = state;
    const positions = this.positions();
    await this.log.writeSnapshot();
    this.recordDurable(positions);
    this.durableEra = Math.max(this.durableEra, state.era);
    return true;
  }

  beginSnapshot(): Iterable<TallyRecord> {
    this.openSnapshots += 1;
    const head = [logRecords.storeRecord(this.diskId)];
    if (this.isComplete) head.push(logRecords.completeRecord());
    return concatenated(head, logRecords.snapshotRecords(this.state));
  }

  endSnapshot(): void {
    this.openSnapshots -= 1;
  }

  /** Compacts what every member holds, unless a snapshot is being read. */
  compact(positions: Iterable<StreamPosition>): void {
    if (this.openSnapshots > 0) return;
    let compacted = 0;
    for (const { stream, position } of positions) compacted += this.state.compact(stream, Math.min(position, this.durableOffset(stream)));
    this.state.forgetOldIds();
    if (compacted > 0) log.count("tallies.folded", compacted);
  }

  status(): unknown {
    return this.log?.status() ?? null;
  }

  async close(): Promise<void> {
    this.isClosed = true;
    await this.log?.close();
  }

  private async append(added: TallyRecord[], positions: StreamPosition[]): Promise<void> {
    if (!this.log) return new Promise(() => {});
    await this.log.append(added);
    this.recordDurable(positions);
  }

  private positions(): StreamPosition[] {
    return [...this.state.streamNames()].map((stream) => ({ stream, position: this.state.offsetOf(stream) }));
  }

  private recordDurable(positions: readonly StreamPosition[]): void {
    for (const { stream, position } of positions) if (position > this.durableOffset(stream)) this.durableOffsets.set(stream, position);
  }
}

function* concatenated(head: Iterable<TallyRecord>, tail: Iterable<TallyRecord>): Generator<TallyRecord> {
  yield* head;
  yield* tail;
}
