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

const RECORD_AGAIN_MS = 500;

/**
 * `answered`: a whole answer of the runner's; `not_run`: proof that it did not run, and after how many milliseconds to
 * come back; `may_have_run`: no proof; `refused`: it will be refused however often it is sent.
 */
export type Answer =
  | { kind: "answered"; answer: schema.ItemResult }
  | { kind: "not_run"; againMs: number }
  | { kind: "may_have_run" }
  | { kind: "refused"; status: number };

/** How an attempt ended, and when its item may be sent again; 0: at once. */
export interface Ended {
  end: steps.AttemptEnd;
  againMs: number;
}

/** What an attempt records its answer with. */
export interface Recorder {
  readonly clock: types.Clock;
  readonly replicas: Pick<replicas.Replicas, "put">;
  /** False once this node owns the batches no more: whoever does finds what was recorded. */
  isOwner(): boolean;
}

/** Resolves once the end is certain, and the answer of a `done` one durable. */
export async function finish(recorder: Recorder, key: schema.RecordKey, answer: Answer): Promise<Ended> {
  if (answer.kind === "not_run") return { end: "not_run", againMs: answer.againMs };
  if (answer.kind === "may_have_run") return { end: "may_have_run", againMs: 0 };
  if (answer.kind === "refused") return { end: "failed", againMs: 0 };
  if (answer.answer.body.length > bounds.MAX_RESULT_BYTES) {
    log.count("batch.result_too_large");
    return { end: "failed", againMs: 0 };
  }
  await record(recorder, key, batchSchema.itemResult.toBuffer(answer.answer));
  return { end: "done", againMs: 0 };
}

/** Tries until a quorum holds it, or this node is no owner any more. */
async function record(recorder: Recorder, key: schema.RecordKey, body: Buffer): Promise<void> {
  while (!(await recorder.replicas.put(key, body)) && recorder.isOwner()) {
    log.count("batch.record_again");
    await timers.sleep(recorder.clock, RECORD_AGAIN_MS);
  }
}
