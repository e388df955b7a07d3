/**
 * Every change of the batch table, as pure functions of the table read (design/batch 4). Each returns the next table,
 * the same table object where nothing changes, or an error for the caller.
 *
 * Invariants: numbers are assigned once and in order, and the order of open batches is that of their numbers; only the
 * owner of the current term changes items; an item that may have run goes back to `waiting` only if it may run again;
 * `done` is final, and it names the one attempt whose result counts.
 */
import * as result from "true-myth/result";
import * as errors from "../runtime/errors.js";
import type * as schema from "../wire/batch-schema.js";
import * as bounds from "./bounds.js";
import * as items from "./items.js";
import * as tables from "./table.js";

/** The next table, or why nothing changes. */
export type Outcome = result.Result<schema.BatchTable, errors.CranewindError>;

/** A checked submission, its record being durable already. */
export interface Submission {
  key: string;
  digest: string;
  route: string;
  isRepeatable: boolean;
  count: number;
  /** Milliseconds from now within which it should finish; 0: no deadline. */
  finishWithinMs: number;
  homes: string[];
  reservedBytes: number;
  projected: schema.Projection | null;
}

/** One attempt at one item. */
export interface ItemRef {
  number: number;
  index: number;
  attempt: number;
}

/**
 * How an attempt ended: `done`, its result is recorded; `not_run`, it was proven not to have run; `may_have_run`;
 * `failed`, refused for good.
 */
export type AttemptEnd = "done" | "not_run" | "may_have_run" | "failed";

/** An attempt and how it ended. */
export interface EndedAttempt extends ItemRef {
  end: AttemptEnd;
}

/** One change by an owner: attempts that ended, then the items that it is about to send. */
export interface OwnerChange {
  term: number;
  /** Time on the batch clock that has passed since the owner's last change. */
  elapsedMs: number;
  ended: readonly EndedAttempt[];
  /** The attempt of each is the one after its last. */
  sends: readonly ItemRef[];
}

/** Adds a batch, or finds the one with the same key; a key with another digest is an error. */
export function submit(table: schema.BatchTable, submission: Submission): Outcome {
  const before = tables.findKey(table, submission.key);
  if (before) return before.digest === submission.digest ? result.ok(table) : keyConflict(submission.key);
  const retained = retainedBeside(table, submission.reservedBytes);
  if (retained.isErr) return result.err(retained.error);
  const batch: schema.Batch = {
    number: table.nextNumber,
    key: submission.key,
    digest: submission.digest,
    route: submission.route,
    isRepeatable: submission.isRepeatable,
    isCancelled: false,
    items: items.allWaiting(submission.count),
    submittedMs: table.clockMs,
    dueMs: submission.finishWithinMs > 0 ? table.clockMs + submission.finishWithinMs : 0,
    startedMs: 0,
    endedMs: 0,
    homes: submission.homes,
    reservedBytes: submission.reservedBytes,
    projected: submission.projected,
  };
  return result.ok({ ...table, nextNumber: table.nextNumber + 1, batches: [...retained.value, batch] });
}

function keyConflict(key: string): Outcome {
  return result.err(new errors.InvalidRequestError(`key: another batch was submitted as ${key}`, "choose a key that was not used before"));
}

function sumBytes(batches: readonly schema.Batch[]): number {
  let sum = 0;
  for (const batch of batches) sum += batch.reservedBytes;
  return sum;
}

/** The batches retained beside a new one of so many bytes: ended ones are dropped, the oldest first; open ones never. */
function retainedBeside(table: schema.BatchTable, bytes: number): result.Result<schema.Batch[], errors.CranewindError> {
  if (tables.openBatches(table).length >= bounds.MAX_OPEN) {
    return result.err(
      new errors.CapacityExceededError(`${bounds.MAX_OPEN} batches are open, which is the bound`, "wait until one ends, or cancel one"),
    );
  }
  const retained = [...table.batches];
  while (retained.length >= bounds.MAX_BATCHES || sumBytes(retained) + bytes > bounds.MAX_BYTES) {
    const oldest = retained.findIndex((batch) => !tables.isOpen(batch));
    if (oldest < 0) return result.err(bytesExceeded(bytes));
    retained.splice(oldest, 1);
  }
  return result.ok(retained);
}

function bytesExceeded(bytes: number): errors.CranewindError {
  const message = `${bytes} bytes for it and its results would pass the bound of ${bounds.MAX_BYTES} for all batches`;
  return new errors.CapacityExceededError(message, "send fewer items, wait until a batch ends, or cancel one");
}

/** Cancels the waiting items; items in flight end normally. An ended batch stays as it is. */
export function cancel(table: schema.BatchTable, number: number): Outcome {
  const batch = tables.findNumber(table, number);
  if (!batch) return result.err(new errors.NotFoundError(`there is no batch ${number}`, "cranewind batch list shows all"));
  if (batch.isCancelled || !tables.isOpen(batch)) return result.ok(table);
  let packed = batch.items;
  for (const index of items.indexesOf(batch.items, "waiting"))
    packed = items.withItem(packed, index, { ...items.itemAt(packed, index), state: "cancelled" });
  return result.ok(withBatch(table, withEndTime({ ...batch, isCancelled: true, items: packed }, table.clockMs)));
}

/** Makes the incarnation the owner and begins a new term, unless one began since `term`. */
export function claim(table: schema.BatchTable, term: number, owner: string): Outcome {
  if (table.term !== term || table.owner === owner) return result.ok(table);
  return result.ok({ ...table, owner, term: table.term + 1 });
}

/** Applies an owner's change; the change of an owner whose term is over is rejected whole. */
export function advance(table: schema.BatchTable, owner: string, change: OwnerChange): Outcome {
  if (table.term !== change.term || table.owner !== owner) {
    return result.err(
      new errors.RevisionConflictError("another control node owns the batches now", "nothing is to be done: it goes on with them"),
    );
  }
  const clockMs = table.clockMs + Math.max(0, change.elapsedMs);
  let next: schema.BatchTable = { ...table, clockMs };
  for (const attempt of change.ended) next = endAttempt(next, attempt);
  for (const item of change.sends) next = markSent(next, item);
  const retained = next.batches.filter((batch) => tables.isOpen(batch) || clockMs - batch.endedMs < bounds.RETENTION_MS);
  return result.ok({ ...next, batches: retained });
}

/** No effect unless exactly this attempt is in flight. */
function endAttempt(table: schema.BatchTable, attempt: EndedAttempt): schema.BatchTable {
  const batch = tables.findNumber(table, attempt.number);
  const item = batch && items.itemAt(batch.items, attempt.index);
  if (!item || item.state !== "sent" || item.attempt !== attempt.attempt) return table;
  const packed = items.withItem(batch.items, attempt.index, itemAfterAttempt(item, attempt.end, batch));
  return withBatch(table, withEndTime({ ...batch, items: packed }, table.clockMs));
}

/** The item's next state after an attempt at it ended. */
export function itemAfterAttempt(
  item: items.Item,
  attemptEnd: AttemptEnd,
  batch: Pick<schema.Batch, "isRepeatable" | "isCancelled">,
): items.Item {
  if (attemptEnd === "done" || attemptEnd === "failed") return { ...item, state: attemptEnd };
  if (attemptEnd === "may_have_run" && !batch.isRepeatable) return { ...item, state: "unclear" };
  if (batch.isCancelled) return { ...item, state: "cancelled" };
  const failures = item.failures + (attemptEnd === "may_have_run" ? 1 : 0);
  const isGivenUp = failures >= bounds.MAX_FAILURES || item.attempt >= items.MAX_ATTEMPTS;
  return { ...item, failures, state: isGivenUp ? "failed" : "waiting" };
}

/** No effect unless the item is waiting and this is its next attempt. */
function markSent(table: schema.BatchTable, ref: ItemRef): schema.BatchTable {
  const batch = tables.findNumber(table, ref.number);
  const item = batch && items.itemAt(batch.items, ref.index);
  if (!item || item.state !== "waiting" || ref.attempt !== item.attempt + 1) return table;
  const packed = items.withItem(batch.items, ref.index, { ...item, state: "sent", attempt: ref.attempt });
  return withBatch(table, { ...batch, items: packed, startedMs: batch.startedMs || Math.max(1, table.clockMs) });
}

function withEndTime(batch: schema.Batch, clockMs: number): schema.Batch {
  return tables.isOpen(batch) || batch.endedMs > 0 ? batch : { ...batch, endedMs: Math.max(1, clockMs) };
}

function withBatch(table: schema.BatchTable, changed: schema.Batch): schema.BatchTable {
  return { ...table, batches: table.batches.map((batch) => (batch.number === changed.number ? changed : batch)) };
}
