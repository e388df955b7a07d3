/**
 * One node's tallies with their disk: the ledger in memory, the log behind it, and how much of each stream is durable
 * (design/tallies 5). Changes count at once; whoever promises anything waits until they are durable.
 */
import * as log from "../runtime/log.js";
import type * as files from "../store/files.js";
import * as storageRemedies from "../store/storage-remedies.js";
import type { StreamPosition, TallyAdd, TallyRecord } from "../wire/tally-schema.js";
import type * as types from "../wire/types.js";
import * as ledgers from "./ledger.js";
import * as logs from "./log.js";
import * as records from "./records.js";

/** The tallies of one node. `newStore`: a random identity for a disk that has none. */
export class TallyStore implements logs.SnapshotSource {
  ledger = new ledgers.Ledger();
  /** Empty until the disk is read. */
  store = "";
  /** Whether this disk holds what the system held before it was made (readiness.ts). */
  isWhole = false;
  /** Whether the disk was made whole in an earlier life. */
  wasWhole = false;
  /** The era as the disk holds it: all adds of earlier eras are durable, too. */
  durableEra = 0;
  private readonly durable = new Map<string, number>();
  private log: logs.TallyLog | null = null;
  private isClosed = false;
  /** Snapshots under way: folding rests meanwhile. */
  private snapshots = 0;

  constructor(
    private readonly clock: types.Clock,
    private readonly newStore: () => string,
  ) {}

  get isOpen(): boolean {
    return this.log !== null;
  }

  /** Opens the log, however often that takes; resolves once its content is durable. */
  async open(folder: files.StoreFolder): Promise<void> {
    try {
      const opened = await logs.TallyLog.open(this.clock, folder);
      for (const record of opened.records) this.restore(record);
      this.wasWhole = this.isWhole;
      if (this.store === "") this.store = this.newStore();
      await opened.log.start(this);
      this.log = opened.log;
      this.madeDurable(this.positions());
      this.durableEra = this.ledger.era;
      log.state(`tallies: disk ${this.store} is open, ${this.wasWhole ? "whole" : "new"}`);
    } catch (cause) {
      log.count("tallies.disk_refused");
      log.state(`tallies: the disk can't be opened: ${storageRemedies.describeFailure(cause)}`);
      if (!this.isClosed) this.clock.schedule(logs.RETRY_MS, () => void this.open(folder));
    }
  }

  private restore(record: TallyRecord): void {
    if (record.kind === records.KIND.store) this.store = record.stream;
    else if (record.kind === records.KIND.whole) this.isWhole = true;
    else if (!records.restore(this.ledger, record)) log.count("tallies.gap_on_disk");
  }

  /** How much of the stream is on the own disk. */
  durableOf(stream: string): number {
    return this.durable.get(stream) ?? 0;
  }

  /** All streams, as far as they are on the own disk. */
  durablePositions(): StreamPosition[] {
    return [...this.durable].map(([stream, position]) => ({ stream, position }));
  }

  /** Counts adds that follow what is held of the stream; what is held already is passed over, and nothing is taken after a gap. */
  take(stream: string, from: number, adds: readonly TallyAdd[]): Promise<void> {
    const taken: TallyRecord[] = [];
    for (const [index, add] of adds.entries()) {
      const position = from + index;
      const held = this.ledger.held(stream);
      if (position > held + 1) break;
      if (position <= held) continue;
      const counted = this.ledger.append(stream, add);
      if (counted !== "new") log.count(`tallies.${counted}`);
      taken.push(records.addRecord(stream, position, add));
    }
    const end = Math.min(from + adds.length - 1, this.ledger.held(stream));
    if (taken.length === 0 && this.durableOf(stream) >= end) return Promise.resolve();
    return this.append(taken, [{ stream, position: end }]);
  }

  /** From now on adds are accepted in this era. */
  async enterEra(era: number): Promise<void> {
    this.ledger.era = era;
    await this.append([records.eraRecord(era)], []);
    this.durableEra = Math.max(this.durableEra, era);
  }

  /** The disk holds all that it should from now on. */
  becomeWhole(): void {
    this.isWhole = true;
    void this.append([records.wholeRecord()], []);
  }

  /** Takes another node's snapshot in the place of what is held, but for what only this node holds. False: it is not ahead. */
  async adopt(snapshot: Iterable<TallyRecord>): Promise<boolean> {
    const ledger = records.adopted(snapshot, this.ledger);
    if (!ledger || !this.log) return false;
    this.ledger = ledger;
    const positions = this.positions();
    await this.log.replace();
    this.madeDurable(positions);
    this.durableEra = Math.max(this.durableEra, ledger.era);
    return true;
  }

  begin(): Iterable<TallyRecord> {
    this.snapshots += 1;
    const head = [records.storeRecord(this.store)];
    if (this.isWhole) head.push(records.wholeRecord());
    return concatenated(head, records.snapshotOf(this.ledger));
  }

  finished(): void {
    this.snapshots -= 1;
  }

  /** Folds what every member holds, unless a snapshot is under way. */
  fold(positions: Iterable<StreamPosition>): void {
    if (this.snapshots > 0) return;
    let folded = 0;
    for (const { stream, position } of positions) folded += this.ledger.fold(stream, Math.min(position, this.durableOf(stream)));
    this.ledger.forget();
    if (folded > 0) log.count("tallies.folded", folded);
  }

  status(): unknown {
    return this.log?.status() ?? null;
  }

  async close(): Promise<void> {
    this.isClosed = true;
    await this.log?.close();
  }

  private async append(taken: TallyRecord[], positions: StreamPosition[]): Promise<void> {
    if (!this.log) return new Promise(() => {});
    await this.log.append(taken);
    this.madeDurable(positions);
  }

  private positions(): StreamPosition[] {
    return [...this.ledger.streamNames()].map((stream) => ({ stream, position: this.ledger.held(stream) }));
  }

  private madeDurable(positions: readonly StreamPosition[]): void {
    for (const { stream, position } of positions) if (position > this.durableOf(stream)) this.durable.set(stream, position);
  }
}

function* concatenated(head: Iterable<TallyRecord>, tail: Iterable<TallyRecord>): Generator<TallyRecord> {
  yield* head;
  yield* tail;
}
