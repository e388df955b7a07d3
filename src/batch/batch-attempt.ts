/**
 * One attempt at one item, from the send to its recorded end (design/batch 7). The answer is recorded, durable, before
 * the attempt counts as done; what the answer proves of the run decides whether the item may be sent again.
 */
import type * as schema from "../wire/batch-schema.js";
import * as batchSchema from "../wire/batch-schema.js";
import * as log from "../runtime/log.js";
import type * as types from "../wire/types.js";
import * as timers from "../runtime/timers.js";
import * as bounds from "./bounds.js";
import type * as replicas from "./replicas.js";
import type * as steps from "./steps.js";

const RECORD_RETRY_INTERVAL_MS = 500;

/**
 * `answered`: a whole answer of the runner's; `not_run`: proof that it did not run, and after how many milliseconds to
 * retry; `may_have_run`: no proof; `refused`: it will be refused however often it is sent.
 */
export type AttemptAnswer =
  | { kind: "answered"; answer: schema.ItemResult }
  | { kind: "not_run"; retryAfterMs: number }
  | { kind: "may_have_run" }
  | { kind: "refused"; status: number };

/** How an attempt ended, and after how many milliseconds its item may be sent again; 0: at once. */
export interface AttemptOutcome {
  end: steps.AttemptEnd;
  retryAfterMs: number;
}

/** What an attempt records its answer with. */
export interface Recorder {
  readonly clock: types.Clock;
  readonly replicas: Pick<replicas.Replicas, "put">;
  /** False once this node no longer owns the batches: the next owner's recovery finds what was recorded. */
  isOwner(): boolean;
}

/** Resolves once the end is certain, and the answer of a `done` one durable. */
export async function finishAttempt(recorder: Recorder, key: schema.RecordKey, answer: AttemptAnswer): Promise<AttemptOutcome> {
  if (answer.kind === "not_run") return { end: "not_run", retryAfterMs: answer.retryAfterMs };
  if (answer.kind === "may_have_run") return { end: "may_have_run", retryAfterMs: 0 };
  if (answer.kind === "refused") return { end: "failed", retryAfterMs: 0 };
  if (answer.answer.body.length > bounds.MAX_RESULT_BYTES) {
    log.count("batch.result_too_large");
    return { end: "failed", retryAfterMs: 0 };
  }
  await recordUntilDurable(recorder, key, batchSchema.itemResult.toBuffer(answer.answer));
  return { end: "done", retryAfterMs: 0 };
}

/** Retries until a quorum holds the record, or this node is no longer the owner. */
async function recordUntilDurable(recorder: Recorder, key: schema.RecordKey, body: Buffer): Promise<void> {
  while (!(await recorder.replicas.put(key, body)) && recorder.isOwner()) {
    log.count("batch.record_again");
    await timers.sleep(recorder.clock, RECORD_RETRY_INTERVAL_MS);
  }
}
