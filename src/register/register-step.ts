/**
 * Steps: the functions by which callers change the register, and their outcomes. The proposer runs a step on the value
 * that it read, perhaps several times (proposer.ts, step-queue.ts).
 */
import * as result from "true-myth/result";
import * as errors from "../runtime/errors.js";
import type * as schema from "../wire/schema.js";

/** The chosen value that contains the step's result, or the error for which there is none. */
export type Outcome = result.Result<schema.Value, errors.CranewindError>;

/**
 * Computes the next value from the one that was read; the same object means no change, an error rejects the change. May
 * be called again with a newer value, so it has no side effects.
 */
export type Step = (read: schema.Value) => Outcome;

const RETRY_ADVICE = "send the call again, to any control node";

/** No majority replied within the time-out: the step may have been applied or not. */
export function noMajority(): Outcome {
  return result.err(new errors.NoQuorumError("no majority of the core replied in time", RETRY_ADVICE));
}

/** The change ended with an exception: the step may have been applied or not. */
export function changeFailed(cause: unknown): Outcome {
  return result.err(new errors.NoQuorumError(`the change failed: ${errors.messageOf(cause)}`, RETRY_ADVICE, { cause }));
}
