// The ledger alone: totals hang on the adds only, not on their order, on folding, or on the way they came (design/tallies 3, 6).
import * as fc from "fast-check";
import * as counterState from "../../src/tallies/counter-state.js";
import * as logRecords from "../../src/tallies/log-records.js";
import type { TallyAdd, TallyRecord } from "../../src/wire/tally-schema.js";

const STREAMS = ["s1", "s2", "s3"];
const TALLIES = ["a", "b"];

/** Ids come again in other streams, and sometimes with another amount. */
const anyAdd = fc.record({
  stream: fc.constantFrom(...STREAMS),
  tally: fc.constantFrom(...TALLIES),
  id: fc.nat(8).map(String),
  amount: fc.integer({ min: 1, max: 3 }),
});

/** One step of a node: it takes the next add of a stream, folds, or goes on from a snapshot of itself. */
const anyStep = fc.record({ stream: fc.nat(2), kind: fc.constantFrom("take", "take", "take", "fold", "snapshot"), count: fc.nat(5) });

function streamsOf(adds: readonly (TallyAdd & { stream: string })[]): Map<string, TallyAdd[]> {
  const streams = new Map<string, TallyAdd[]>(STREAMS.map((name) => [name, []]));
  for (const { stream, ...add } of adds) streams.get(stream)!.push(add);
  return streams;
}

function expected(adds: readonly TallyAdd[], tally: string): number {
  const ids = new Map<string, number>();
  for (const add of adds) if (add.tally === tally) ids.set(add.id, Math.max(ids.get(add.id) ?? 0, add.amount));
  return [...ids.values()].reduce((sum, amount) => sum + amount, 0);
}

function restored(ledger: counterState.CounterState): counterState.CounterState {
  const made = new counterState.CounterState();
  for (const record of [...logRecords.snapshotRecords(ledger)]) expect(logRecords.applyRecord(made, record)).toBe(true);
  return made;
}

test("in whatever order streams come, fold and are restored, all nodes come to the greatest amount of each id", () => {
  fc.assert(
    fc.property(fc.array(anyAdd, { maxLength: 40 }), fc.array(anyStep, { maxLength: 80 }), (drawn, steps) => {
      const adds = drawn.map((add) => ({ ...add, era: 0 }));
      const streams = streamsOf(adds);
      let ledger = new counterState.CounterState();
      for (const { stream, kind, count } of steps) {
        const name = STREAMS[stream];
        const next = streams.get(name)!.slice(ledger.offsetOf(name), ledger.offsetOf(name) + count);
        if (kind === "take") for (const add of next) ledger.append(name, add);
        if (kind === "fold") ledger.compact(name, ledger.offsetOf(name) - count);
        if (kind === "snapshot") ledger = restored(ledger);
      }
      for (const [name, all] of streams) for (const add of all.slice(ledger.offsetOf(name))) ledger.append(name, add);
      for (const tally of TALLIES) expect(ledger.total(tally)).toBe(expected(adds, tally));
    }),
    { numRuns: 2000 },
  );
});

test("a snapshot that is read while adds go on coming is of the moment at which it began", () => {
  const ledger = new counterState.CounterState();
  ledger.append("s1", { tally: "a", id: "1", amount: 1, era: 0 });
  const snapshot = logRecords.snapshotRecords(ledger);
  const { value: first } = snapshot.next() as IteratorYieldResult<TallyRecord>;
  ledger.append("s1", { tally: "a", id: "2", amount: 1, era: 0 });
  ledger.append("s2", { tally: "a", id: "3", amount: 1, era: 0 });
  const made = new counterState.CounterState();
  for (const record of [first, ...snapshot]) logRecords.applyRecord(made, record);
  expect([made.total("a"), made.offsetOf("s1"), made.offsetOf("s2")]).toEqual([1, 1, 0]);
});

test("what only the own node holds stays when a snapshot is taken; a snapshot that is not ahead is refused", () => {
  const ahead = new counterState.CounterState();
  const own = new counterState.CounterState();
  const add = (id: string): TallyAdd => ({ tally: "a", id, amount: 1, era: 0 });
  for (const id of ["1", "2"]) ahead.append("s1", add(id));
  ahead.compact("s1", 2);
  for (const id of ["2", "3"]) own.append("s2", add(id));
  const joined = logRecords.mergeSnapshot(logRecords.snapshotRecords(ahead), own)!;
  expect([joined.total("a"), joined.offsetOf("s1"), joined.offsetOf("s2")]).toEqual([3, 2, 2]);
  own.compact("s2", 1);
  expect(logRecords.mergeSnapshot(logRecords.snapshotRecords(ahead), own)).toBeNull();
});

test.each([
  [0, 0, 1],
  [0, 2, 1],
  [0, 3, 2],
])("an id of eras %d and %d counts %d times", (first, second, times) => {
  const ledger = new counterState.CounterState();
  ledger.append("s1", { tally: "a", id: "1", amount: 1, era: first });
  ledger.append("s2", { tally: "a", id: "1", amount: 1, era: second });
  expect(ledger.total("a")).toBe(times);
});
