// The transitions of the batch table (design/batch 4): what is taken, what is refused, and what passes without effect.
import * as bounds from "../../src/batch/bounds.js";
import * as items from "../../src/batch/items.js";
import * as steps from "../../src/batch/steps.js";
import * as tables from "../../src/batch/table.js";
import type * as schema from "../../src/wire/batch-schema.js";

function submission(key: string, extra: Partial<steps.Submission> = {}): steps.Submission {
  const plain = { route: "r", isRepeatable: false, count: 3, finishWithinMs: 0, homes: [], reservedBytes: 100, projected: null };
  return { ...plain, key, digest: `digest of ${key}`, ...extra };
}

function taken(outcome: steps.Outcome): schema.BatchTable {
  return outcome.unwrapOrElse((error) => {
    throw error;
  });
}

function kindOf(outcome: steps.Outcome): string {
  return outcome.isErr ? outcome.error.code : "taken";
}

function made(...submissions: steps.Submission[]): schema.BatchTable {
  let table = tables.EMPTY;
  for (const one of submissions) table = taken(steps.submit(table, one));
  return taken(steps.claim(table, 0, "life-1"));
}

function advanced(table: schema.BatchTable, change: Partial<steps.OwnerChange>): schema.BatchTable {
  return taken(steps.advance(table, "life-1", { term: 1, elapsedMs: 100, ended: [], sends: [], ...change }));
}

function stateOf(table: schema.BatchTable, number: number, index: number): string {
  const { state, attempt, failures } = items.itemAt(tables.findNumber(table, number)!.items, index);
  return `${state} ${attempt}/${failures}`;
}

const FIRST = { number: 1, index: 0, attempt: 1 };

test("numbers and places follow the order of submissions; the same submission again is the same batch", () => {
  const table = made(submission("a"), submission("b"));
  expect(tables.placeOf(table, 2)).toBe(2);
  expect(taken(steps.submit(table, submission("a")))).toBe(table);
  const other = steps.submit(table, submission("a", { digest: "another" }));
  expect(kindOf(other)).toBe("invalid");
  const cancelled = taken(steps.cancel(table, 1));
  expect(tables.placeOf(cancelled, 2)).toBe(1);
  expect(tables.placeOf(cancelled, 1)).toBe(0);
});

test("a batch over a bound is refused with the remedy; ended ones give way, open ones never", () => {
  let table = tables.EMPTY;
  for (let count = 0; count < bounds.MAX_OPEN; count += 1) table = taken(steps.submit(table, submission(`k${count}`)));
  const refused = steps.submit(table, submission("more"));
  expect(refused.isErr && refused.error.message).toMatch(/32 batches are open.*; wait until one ends, or cancel one/);
  table = taken(steps.cancel(table, 5));
  table = taken(steps.submit(table, submission("more", { reservedBytes: bounds.MAX_BYTES - 31 * 100 })));
  expect(tables.findNumber(table, 5)).toBeUndefined();
  expect(table.batches).toHaveLength(32);
  const tooLarge = steps.submit(tables.EMPTY, submission("huge", { reservedBytes: bounds.MAX_BYTES + 1 }));
  expect(kindOf(tooLarge)).toBe("full");
});

test.each<[steps.AttemptEnd, boolean, string]>([
  ["done", false, "done 1/0"],
  ["failed", false, "failed 1/0"],
  ["not_run", false, "waiting 1/0"],
  ["may_have_run", false, "unclear 1/0"],
  ["may_have_run", true, "waiting 1/1"],
])("an attempt that ends as %s, repeatable %s: %s", (end, isRepeatable, expected) => {
  const sent = advanced(made(submission("a", { isRepeatable })), { sends: [FIRST] });
  expect(stateOf(sent, 1, 0)).toBe("sent 1/0");
  expect(stateOf(advanced(sent, { ended: [{ ...FIRST, end }] }), 1, 0)).toBe(expected);
});

test("only the very attempt that is at work ends, and only a waiting item is sent, as its next attempt", () => {
  const sent = advanced(made(submission("a")), { sends: [FIRST] });
  expect(stateOf(advanced(sent, { ended: [{ ...FIRST, attempt: 2, end: "done" }] }), 1, 0)).toBe("sent 1/0");
  expect(stateOf(advanced(sent, { sends: [{ ...FIRST, attempt: 2 }] }), 1, 0)).toBe("sent 1/0");
  expect(stateOf(advanced(sent, { sends: [{ ...FIRST, index: 1, attempt: 2 }] }), 1, 1)).toBe("waiting 0/0");
  const done = advanced(sent, { ended: [{ ...FIRST, end: "done" }] });
  expect(stateOf(advanced(done, { ended: [{ ...FIRST, end: "not_run" }], sends: [FIRST] }), 1, 0)).toBe("done 1/0");
});

test("an owner whose term is over changes nothing; of two claims on one term the first counts", () => {
  const table = made(submission("a"));
  const second = taken(steps.claim(table, 1, "life-2"));
  expect([second.owner, second.term]).toEqual(["life-2", 2]);
  expect(taken(steps.claim(second, 1, "life-3"))).toBe(second);
  const stale = steps.advance(second, "life-1", { term: 1, elapsedMs: 0, ended: [], sends: [FIRST] });
  expect(kindOf(stale)).toBe("race");
});

test("what waits is cancelled, what is at work ends as it does; the batch ends with it", () => {
  const sent = advanced(made(submission("a", { isRepeatable: true })), { sends: [FIRST] });
  const cancelled = taken(steps.cancel(sent, 1));
  expect([0, 1, 2].map((index) => stateOf(cancelled, 1, index))).toEqual(["sent 1/0", "cancelled 0/0", "cancelled 0/0"]);
  expect(tables.findNumber(cancelled, 1)!.endedMs).toBe(0);
  const ended = advanced(cancelled, { ended: [{ ...FIRST, end: "may_have_run" }] });
  expect(stateOf(ended, 1, 0)).toBe("cancelled 1/0");
  expect(tables.findNumber(ended, 1)!.endedMs).toBeGreaterThan(0);
  expect(kindOf(steps.cancel(ended, 9))).toBe("not_found");
});

test("an item that fails again and again is given up; ended batches are dropped after their time", () => {
  let table = made(submission("a", { isRepeatable: true, count: 1 }));
  for (let attempt = 1; attempt <= bounds.MAX_FAILURES; attempt += 1) {
    table = advanced(table, { sends: [{ ...FIRST, attempt }] });
    table = advanced(table, { ended: [{ ...FIRST, attempt, end: "may_have_run" }] });
  }
  expect(stateOf(table, 1, 0)).toBe(`failed ${bounds.MAX_FAILURES}/${bounds.MAX_FAILURES}`);
  expect(tables.findNumber(advanced(table, { elapsedMs: bounds.RETENTION_MS + 1 }), 1)).toBeUndefined();
});

test("a table comes back from the register's value as it was put in", () => {
  const table = advanced(made(submission("a", { homes: ["x"], finishWithinMs: 5 }), submission("b")), { sends: [FIRST] });
  const value = {
    epoch: 0,
    revision: 0,
    config: Buffer.alloc(0),
    taken: Buffer.alloc(0),
    evacuations: [],
    voterEpoch: 0,
    voters: [],
    former: [],
  };
  expect(tables.tableOf(value as never)).toBe(tables.EMPTY);
  const put = tables.withTable(value as never, table);
  expect(tables.tableOf(put)).toEqual(table);
  expect([put.epoch, put.revision]).toEqual([1, 1]);
});
