/**
 * The counter state as records, for the log on disk and for snapshots that a peer fetches (design/tallies 5). A snapshot is
 * read in steps while adds go on coming: compaction must pause meanwhile, and adds that came after its begin follow it.
 */
import type { TallyAdd, TallyRecord } from "../wire/tally-schema.js";
import * as counterState from "./counter-state.js";

/** Which fields of a record count. */
export const KIND = {
  /** `stream`: identity of the disk that the log lies on. */
  store: 0,
  /** `era`: of the node. */
  era: 1,
  /** The node holds what the system held before its disk was made. */
  whole: 2,
  /** `tally`, `amount`: a compacted sum. */
  sum: 3,
  /** `tally`, `id`, `era`, `amount`: an id in the compacted sums. */
  id: 4,
  /** `stream`, `position`: the stream is compacted up to the position. */
  stream: 5,
  /** `stream`, `position`, and the fields of an add. */
  add: 6,
} as const;

const BLANK: TallyRecord = { kind: KIND.store, stream: "", position: 0, tally: "", id: "", amount: 0, era: 0 };

/** The identity of the disk. */
export function storeRecord(store: string): TallyRecord {
  return { ...BLANK, kind: KIND.store, stream: store };
}

/** The era that the node is in. */
export function eraRecord(era: number): TallyRecord {
  return { ...BLANK, kind: KIND.era, era };
}

/** Says that the disk is complete. */
export function completeRecord(): TallyRecord {
  return { ...BLANK, kind: KIND.whole };
}

/** One add of a stream. */
export function addRecord(stream: string, position: number, { tally, id, amount, era }: TallyAdd): TallyRecord {
  return { kind: KIND.add, stream, position, tally, id, amount, era };
}

/** All records of the state as of this call. Until the last one is read, the state may take adds but may not be compacted. */
export function snapshotRecords(state: counterState.CounterState): Generator<TallyRecord> {
  const ends = new Map<string, number>();
  for (const stream of state.streamNames()) ends.set(stream, state.offsetOf(stream));
  return recordsOf(state, ends);
}

/** Adds are read so many at a time. */
const ADDS_PER_STEP = 256;

function* recordsOf(state: counterState.CounterState, ends: ReadonlyMap<string, number>): Generator<TallyRecord> {
  yield eraRecord(state.era);
  for (const [tally, amount] of state.sums()) yield { ...BLANK, kind: KIND.sum, tally, amount };
  for (const { key, era, amount } of state.compactedIds()) {
    const [tally, id] = key.split("\n");
    yield { ...BLANK, kind: KIND.id, tally, id, era, amount };
  }
  for (const [stream, end] of ends) {
    let position = state.compactedOffset(stream);
    yield { ...BLANK, kind: KIND.stream, stream, position };
    while (position < end) {
      for (const add of state.addsAfter(stream, position, Math.min(ADDS_PER_STEP, end - position))) {
        position += 1;
        yield addRecord(stream, position, add);
      }
    }
  }
}

/** Takes one record of a snapshot or a log. An add that is held already is passed over; one after a gap is left out (false). */
export function applyRecord(state: counterState.CounterState, record: TallyRecord): boolean {
  const { kind, stream, position, tally, id, amount, era } = record;
  if (kind === KIND.era) state.era = Math.max(state.era, era);
  if (kind === KIND.sum) state.restoreSum(tally, amount);
  if (kind === KIND.id) state.restoreId(counterState.keyOf(tally, id), era, amount);
  if (kind === KIND.stream) state.restoreStream(stream, position);
  if (kind !== KIND.add) return true;
  const offset = state.offsetOf(stream);
  if (position > offset + 1) return false;
  if (position === offset + 1) state.append(stream, { tally, id, amount, era });
  return true;
}

/**
 * The state made of a peer's snapshot and of the adds that this node alone holds. Null where the peer lacks adds that are
 * compacted here: then it is not ahead and must not replace anything.
 */
export function mergeSnapshot(snapshot: Iterable<TallyRecord>, own: counterState.CounterState): counterState.CounterState | null {
  const state = new counterState.CounterState();
  for (const record of snapshot) if (!applyRecord(state, record)) return null;
  for (const stream of own.streamNames()) {
    const offset = state.offsetOf(stream);
    if (offset < own.compactedOffset(stream)) return null;
    for (const add of own.addsAfter(stream, offset, Infinity)) state.append(stream, add);
  }
  state.era = Math.max(state.era, own.era);
  return state;
}
