/**
 * Transfers a snapshot of all counters to a node that lacks adds which its peers have compacted, part by part (design/tallies
 * 4.3). One part is in flight at a time, so that other messages of the link don't queue behind it.
 */
import * as calls from "../wire/calls.js";
import type * as link from "../wire/link.js";
import type { TallyRecord, CounterSnapshotRequest, TallySnapshotPart } from "../wire/tally-schema.js";
import type * as types from "../wire/types.js";
import * as log from "../runtime/log.js";
import type * as counterStore from "./counter-store.js";

const PART_RECORDS = 512;
const PART_TIMEOUT_MS = 2000;
/** A transfer without requests is dropped after this time, so that compaction can go on. */
const SNAPSHOT_EXPIRY_MS = 5000;
const MAX_SNAPSHOTS = 2;

interface Snapshot {
  records: Iterator<TallyRecord>;
  next: number;
  expiry: types.Timer;
}

const EXPIRED: TallySnapshotPart = { token: "", isLast: true, records: [] };

/** Serves snapshots to peers and fetches theirs. */
export class SnapshotTransfer {
  private readonly open = new Map<string, Snapshot>();
  private lastToken = 0;
  private isFetching = false;

  constructor(
    private readonly clock: types.Clock,
    private readonly store: counterStore.CounterStore,
  ) {}

  /** Returns the requested part; an empty token in the reply says that the snapshot has expired. */
  readPart(ask: CounterSnapshotRequest): TallySnapshotPart {
    const token = ask.token === "" ? this.begin() : ask.token;
    const snapshot = this.open.get(token);
    if (!snapshot || snapshot.next !== ask.part) return EXPIRED;
    snapshot.expiry.stop();
    snapshot.expiry = this.clock.schedule(SNAPSHOT_EXPIRY_MS, () => this.end(token));
    snapshot.next += 1;
    const records: TallyRecord[] = [];
    let isLast = false;
    while (records.length < PART_RECORDS && !isLast) {
      const { value, done } = snapshot.records.next() as IteratorResult<TallyRecord, undefined>;
      if (done) isLast = true;
      else records.push(value);
    }
    if (isLast) this.end(token);
    return { token, isLast, records };
  }

  private begin(): string {
    if (this.open.size >= MAX_SNAPSHOTS || !this.store.isOpen) return "";
    this.lastToken += 1;
    const token = String(this.lastToken);
    const expiry = this.clock.schedule(SNAPSHOT_EXPIRY_MS, () => this.end(token));
    this.open.set(token, { records: this.store.beginSnapshot()[Symbol.iterator](), next: 0, expiry });
    return token;
  }

  private end(token: string): void {
    const snapshot = this.open.get(token);
    if (!snapshot) return;
    snapshot.expiry.stop();
    this.open.delete(token);
    this.store.endSnapshot();
  }

  /** Fetches a snapshot from the peer at the other end of the link and merges it; one at a time. */
  async fetchFrom(from: link.Link): Promise<void> {
    if (this.isFetching) return;
    this.isFetching = true;
    try {
      const records = await this.fetchRecords(from);
      if (!records || !(await this.store.mergeSnapshot(records))) return;
      log.count("tallies.snapshots_taken");
      log.state(`tallies: ${records.length} records fetched from a peer`);
    } finally {
      this.isFetching = false;
    }
  }

  /** All records; null where the link or the snapshot ended meanwhile. */
  private async fetchRecords(from: link.Link): Promise<TallyRecord[] | null> {
    const records: TallyRecord[] = [];
    let token = "";
    for (let part = 0; ; part += 1) {
      const reply = await from.call(calls.counterSnapshot, { token, part }, PART_TIMEOUT_MS);
      if (!reply || reply.token === "") return null;
      for (const record of reply.records) records.push(record);
      if (reply.isLast) return records;
      token = reply.token;
    }
  }
}
