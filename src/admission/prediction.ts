/**
 * When one request would be done at one runner (design/admission 2). Pure functions; each step errs to the early
 * side, so that an error admits rather than denies.
 */
import type * as cellCapacity from "./cell-capacity.js";
import type * as runnerSlowdown from "./runner-slowdown.js";

/** What the request takes at one runner, in tokens. */
export interface TokenDemand {
  /** Tokens to be read there, and the most to come out. */
  prefillTokens: number;
  /** Tokens to be produced at most; 0 for a plain response. */
  outputTokens: number;
  /** Prompt and most out together: what has to fit into a runner's memory at all. */
  totalTokens: number;
}

/** What is known of the runner, its service and this router when the prediction is made. */
export interface Conditions {
  /** Tokens read a millisecond. */
  prefillTokensPerMs: number;
  /** Milliseconds that a place is held. */
  occupancyMs: number;
  /** Milliseconds per requested token at the fullness of the batch. */
  tokenMs: number;
  /** What a wait is multiplied by: the less urgent are overtaken while they wait. */
  waitFactor: number;
  /** Seen over predicted at this runner. */
  slowdown: runnerSlowdown.Slowdown;
  /** It handed a request back a moment ago: for so many milliseconds it still counts as full. */
  fullForMs: number;
  /** How late this router's own loop runs. */
  lagMs: number;
}

/** All times are milliseconds from now. */
export interface Prediction {
  /** For a place or memory, before any factor. */
  waitMs: number;
  /** All that is waited for, also readings ahead, as it was judged: by the wait's factor and the runner's slowness. */
  delayMs: number;
  /** Until the first event of a stream, or the whole of a plain response. */
  firstEventMs: number;
  /** Until the whole response. */
  completionMs: number;
  /** A place and its memory are free, and nobody waits. */
  hasFreeSlot: boolean;
  /** The request is larger than the runner's whole memory. */
  neverFits: boolean;
}

/** Until one of the places ahead is given back. */
function waitForPlaceMs(place: cellCapacity.SlotUsage, conditions: Conditions): number {
  const ahead = Math.max(0, place.used + 1 - place.capacity);
  return (ahead * conditions.occupancyMs) / Math.max(1, place.capacity);
}

/** Until running requests have given back the tokens that are short. */
function waitForMemoryMs(place: cellCapacity.SlotUsage, need: TokenDemand, conditions: Conditions): number {
  const short = need.prefillTokens + need.outputTokens - (place.kvCapacity - place.kvUsed);
  if (place.kvCapacity === 0 || short <= 0) return 0;
  return (short * conditions.occupancyMs) / Math.max(1, place.kvUsed);
}

/** Predicts one request at one runner; called for each candidate, so it allocates one object only. */
export function predict(place: cellCapacity.SlotUsage, need: TokenDemand, conditions: Conditions): Prediction {
  const memory = waitForMemoryMs(place, need, conditions);
  const waitMs = Math.max(waitForPlaceMs(place, conditions), memory, conditions.fullForMs);
  const aheadMs = Math.max(waitMs * conditions.waitFactor, place.backlogMs);
  const readMs = aheadMs + need.prefillTokens / conditions.prefillTokensPerMs;
  // A plain request is answered when its work is done; a stream speaks before that.
  const workMs = need.outputTokens > 0 ? need.outputTokens * conditions.tokenMs : conditions.occupancyMs;
  const firstMs = conditions.lagMs + conditions.slowdown.first * (readMs + (need.outputTokens > 0 ? conditions.tokenMs : workMs));
  const endMs = need.outputTokens > 0 ? firstMs + conditions.slowdown.stream * workMs : firstMs;
  const isMemoryFree = place.kvCapacity === 0 || need.prefillTokens + need.outputTokens <= place.kvCapacity - place.kvUsed;
  const hasPlace = place.used < place.capacity && place.waiting === 0 && isMemoryFree && conditions.fullForMs === 0;
  return {
    waitMs,
    delayMs: conditions.slowdown.first * aheadMs,
    firstEventMs: firstMs,
    completionMs: endMs,
    hasFreeSlot: hasPlace,
    neverFits: place.kvCapacity > 0 && need.totalTokens > place.kvCapacity,
  };
}
