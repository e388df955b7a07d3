/**
 * When one request would be done at one runner (design/admission 2). Pure functions; each step errs to the early
 * side, so that an error admits rather than denies.
 */
import type * as rooms from "./room.js";
import type * as slowness from "./slowness.js";

/** What the request takes at one runner, in tokens. */
export interface Need {
  /** Tokens to be read there, and the most to come out. */
  unread: number;
  /** Tokens to be produced at most; 0 for a plain response. */
  out: number;
  /** Prompt and most out together: what has to fit into a runner's memory at all. */
  tokens: number;
}

/** What is known of the runner, its service and this router when the prediction is made. */
export interface Conditions {
  /** Tokens read a millisecond. */
  rate: number;
  /** Milliseconds that a place is held. */
  heldMs: number;
  /** Milliseconds per requested token at the fullness of the batch. */
  tokenMs: number;
  /** What a wait is multiplied by: the less urgent are overtaken while they wait. */
  waitFactor: number;
  /** Seen over predicted at this runner. */
  slowdown: slowness.Slowdown;
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
  firstMs: number;
  /** Until the whole response. */
  endMs: number;
  /** A place and its memory are free, and nobody waits. */
  hasPlace: boolean;
  /** The request is larger than the runner's whole memory. */
  neverFits: boolean;
}

/** Until one of the places ahead is given back. */
function waitForPlaceMs(place: rooms.Place, conditions: Conditions): number {
  const ahead = Math.max(0, place.used + 1 - place.capacity);
  return (ahead * conditions.heldMs) / Math.max(1, place.capacity);
}

/** Until running requests have given back the tokens that are short. */
function waitForMemoryMs(place: rooms.Place, need: Need, conditions: Conditions): number {
  const short = need.unread + need.out - (place.kvCapacity - place.kvUsed);
  if (place.kvCapacity === 0 || short <= 0) return 0;
  return (short * conditions.heldMs) / Math.max(1, place.kvUsed);
}

/** Predicts one request at one runner; called for each candidate, so it allocates one object only. */
export function predict(place: rooms.Place, need: Need, conditions: Conditions): Prediction {
  const memory = waitForMemoryMs(place, need, conditions);
  const waitMs = Math.max(waitForPlaceMs(place, conditions), memory, conditions.fullForMs);
  const aheadMs = Math.max(waitMs * conditions.waitFactor, place.backlogMs);
  const readMs = aheadMs + need.unread / conditions.rate;
  // A plain request is answered when its work is done; a stream speaks before that.
  const workMs = need.out > 0 ? need.out * conditions.tokenMs : conditions.heldMs;
  const firstMs = conditions.lagMs + conditions.slowdown.first * (readMs + (need.out > 0 ? conditions.tokenMs : workMs));
  const endMs = need.out > 0 ? firstMs + conditions.slowdown.stream * workMs : firstMs;
  const isMemoryFree = place.kvCapacity === 0 || need.unread + need.out <= place.kvCapacity - place.kvUsed;
  const hasPlace = place.used < place.capacity && place.waiting === 0 && isMemoryFree && conditions.fullForMs === 0;
  return {
    waitMs,
    delayMs: conditions.slowdown.first * aheadMs,
    firstMs,
    endMs,
    hasPlace,
    neverFits: place.kvCapacity > 0 && need.tokens > place.kvCapacity,
  };
}
