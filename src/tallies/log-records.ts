/**
 * The ledger as records, for the log on disk and for snapshots that another node takes (design/tallies 5). A snapshot is
 * made piece by piece while adds go on coming: folding must rest meanwhile, and adds that came after it began follow it.
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
  /** `tally`, `amount`: a folded sum. */
  sum: 3,
  /** `tally`, `id`, `era`, `amount`: an id in the folded sums. */
  id: 4,
  /** `stream`, `position`: so much of it is folded. */
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

/** That the node is whole. */
export function completeRecord(): TallyRecord {
  return { ...BLANK, kind: KIND.whole };
}

/** One add of a stream. */
export function addRecord(stream: string, position: number, { tally, id, amount, era }: TallyAdd): TallyRecord {
  return { kind: KIND.add, stream, position, tally, id, amount, era };
}

/** All records of a ledger as it is when this is called; the ledger may take adds, but not fold, until the last one is read. */
export function snapshotRecords(ledger: counterState.CounterState): Generator<TallyRecord> {
  const ends = new Map<string, number>();
  for (const stream of ledger.streamNames()) ends.set(stream, ledger.offsetOf(stream));
  return recordsOf(ledger, ends);
}

/** Adds are read so many at a time. */
const ADDS_PER_STEP = 256;

function* recordsOf(ledger: counterState.CounterState, ends: ReadonlyMap<string, number>): Generator<TallyRecord> {
  yield eraRecord(ledger.era);
  for (const [tally, amount] of ledger.sums()) yield { ...BLANK, kind: KIND.sum, tally, amount };
  for (const { key, era, amount } of ledger.compactedIds()) {
    const [tally, id] = key.split("\n");
    yield { ...BLANK, kind: KIND.id, tally, id, era, amount };
  }
  for (const [stream, end] of ends) {
    let position = ledger.compactedOffset(stream);
    yield { ...BLANK, kind: KIND.stream, stream, position };
    while (position < end) {
      for (const add of ledger.addsAfter(stream, position, Math.min(ADDS_PER_STEP, end - position))) {
        position += 1;
        yield addRecord(stream, position, add);
      }
    }
  }
}

/** Takes one record of a snapshot or a log. An add that is held already is passed over; one after a gap is left out (false). */
export function applyRecord(ledger: counterState.CounterState, record: TallyRecord): boolean {
  const { kind, stream, position, tally, id, amount, era } = record;
  if (kind === KIND.era) ledger.era = Math.max(ledger.era, era);
  if (kind === KIND.sum) ledger.restoreSum(tally, amount);
  if (kind === KIND.id) ledger.restoreId(counterState.keyOf(tally, id), era, amount);
  if (kind === KIND.stream) ledger.restoreStream(stream, position);
  if (kind !== KIND.add) return true;
  const held = ledger.offsetOf(stream);
  if (position > held + 1) return false;
  if (position === held + 1) ledger.append(stream, { tally, id, amount, era });
  return true;
}

/**
 * A ledger made of another node's snapshot and of what this node alone holds. Null where the other one lacks adds that are
 * folded here: then it is not ahead, and nothing may be given up for it.
 */
export function mergeSnapshot(snapshot: Iterable<TallyRecord>, own: counterState.CounterState): counterState.CounterState | null {
  const ledger = new counterState.CounterState();
  for (const record of snapshot) if (!applyRecord(ledger, record)) return null;
  for (const stream of own.streamNames()) {
    const held = ledger.offsetOf(stream);
    if (held < own.compactedOffset(stream)) return null;
    for (const add of own.addsAfter(stream, held, Infinity)) ledger.append(stream, add);
  }
  ledger.era = Math.max(ledger.era, own.era);
  return ledger;
}
