/**
 * When one request would be complete at one runner (design/admission 2). Pure functions; each step errs on the early
 * side, so that an error admits a request rather than rejecting it.
 */
import type * as cellCapacity from "./cell-capacity.js";
import type * as runnerSlowdown from "./runner-slowdown.js";

/** What the request takes at one runner, in tokens. */
export interface TokenDemand {
  /** Tokens of the prompt that are not cached there. */
  prefillTokens: number;
  /** Maximum tokens of output; 0 for a plain response. */
  outputTokens: number;
  /** The complete prompt and the output: what has to fit into the runner's memory. */
  totalTokens: number;
}

/** What is known of the runner, its service and this router at the time of the prediction. */
export interface Conditions {
  /** Speed of prefill. */
  prefillTokensPerMs: number;
  /** Milliseconds that a request occupies a slot. */
  occupancyMs: number;
  /** Milliseconds per requested token at the fullness of the runner's batch. */
  tokenMs: number;
  /** What a wait is multiplied by: less urgent requests are overtaken while they wait. */
  waitFactor: number;
  /** Observed over predicted times at this runner. */
  slowdown: runnerSlowdown.Slowdown;
  /** Milliseconds for which the runner counts as full, since it rejected a request. */
  fullForMs: number;
  /** Lag of this router's event loop, in milliseconds. */
  lagMs: number;
}

/** All times are milliseconds from now. */
export interface Prediction {
  /** The wait for a slot or memory, before any factor. */
  waitMs: number;
  /** The complete delay including the prefill backlog, with the wait factor and the runner's slowdown. */
  delayMs: number;
  /** Until the first event of a stream, or the complete plain response. */
  firstEventMs: number;
  /** Until the complete response. */
  completionMs: number;
  /** A slot and the memory for the request are free, and no request is queued. */
  hasFreeSlot: boolean;
  /** The request is larger than the runner's complete memory. */
  neverFits: boolean;
}

/** Milliseconds until a slot is released for the request. */
function waitForSlotMs(usage: cellCapacity.SlotUsage, conditions: Conditions): number {
  const ahead = Math.max(0, usage.used + 1 - usage.capacity);
  return (ahead * conditions.occupancyMs) / Math.max(1, usage.capacity);
}

/** Milliseconds until running requests have released the tokens of memory that are missing. */
function waitForMemoryMs(usage: cellCapacity.SlotUsage, demand: TokenDemand, conditions: Conditions): number {
  const missing = demand.prefillTokens + demand.outputTokens - (usage.kvCapacity - usage.kvUsed);
  if (usage.kvCapacity === 0 || missing <= 0) return 0;
  return (missing * conditions.occupancyMs) / Math.max(1, usage.kvUsed);
}

/** Predicts one request at one runner; called for each candidate, so it allocates one object only. */
export function predict(usage: cellCapacity.SlotUsage, demand: TokenDemand, conditions: Conditions): Prediction {
  const memoryWaitMs = waitForMemoryMs(usage, demand, conditions);
  const waitMs = Math.max(waitForSlotMs(usage, conditions), memoryWaitMs, conditions.fullForMs);
  const aheadMs = Math.max(waitMs * conditions.waitFactor, usage.backlogMs);
  const prefillDoneMs = aheadMs + demand.prefillTokens / conditions.prefillTokensPerMs;
  // A plain response arrives when all work is done; the first event of a stream before that.
  const workMs = demand.outputTokens > 0 ? demand.outputTokens * conditions.tokenMs : conditions.occupancyMs;
  const firstEventMs =
    conditions.lagMs + conditions.slowdown.first * (prefillDoneMs + (demand.outputTokens > 0 ? conditions.tokenMs : workMs));
  const completionMs = demand.outputTokens > 0 ? firstEventMs + conditions.slowdown.stream * workMs : firstEventMs;
  const isMemoryFree = usage.kvCapacity === 0 || demand.prefillTokens + demand.outputTokens <= usage.kvCapacity - usage.kvUsed;
  const hasFreeSlot = usage.used < usage.capacity && usage.waiting === 0 && isMemoryFree && conditions.fullForMs === 0;
  return {
    waitMs,
    delayMs: conditions.slowdown.first * aheadMs,
    firstEventMs,
    completionMs,
    hasFreeSlot,
    neverFits: usage.kvCapacity > 0 && demand.totalTokens > usage.kvCapacity,
  };
}
