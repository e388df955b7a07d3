// When one request would be done at one runner (design/admission 2). Pure; each step errs to the early side.
import type * as rooms from "./room.js";
import type * as slowness from "./slowness.js";

export interface Need {
  /** Tokens to be read there, and the most to come out. */
  unread: number;
  out: number;
  /** Prompt and most out together: what has to fit into a runner's memory at all. */
  tokens: number;
}

export interface Known {
  /** Tokens read a millisecond. */
  rate: number;
  /** Milliseconds a place is held, and per token at the fullness of the batch. */
  heldMs: number;
  tokenMs: number;
  /** What a wait is multiplied by: the less urgent are overtaken while they wait. */
  waitFactor: number;
  /** Seen over predicted at this runner. */
  slow: slowness.Slow;
  /** It handed a request back a moment ago: so long it counts as full. */
  fullMs: number;
  /** How late this router's own loop runs. */
  lagMs: number;
}

export interface Prediction {
  /** For a place or memory, before any factor. */
  waitMs: number;
  /** All that is waited for, also readings ahead, as it was judged: by the wait's factor and the runner's slowness. */
  delayMs: number;
  firstMs: number;
  endMs: number;
  /** A place and its memory are free, and nobody waits. */
  hasPlace: boolean;
  neverFits: boolean;
}

/** Until one of the places ahead is given back. */
function placeMs(place: rooms.Place, known: Known): number {
  const ahead = Math.max(0, place.used + 1 - place.capacity);
  return (ahead * known.heldMs) / Math.max(1, place.capacity);
}

/** Until running requests have given back the tokens that are short. */
function memoryMs(place: rooms.Place, need: Need, known: Known): number {
  const short = need.unread + need.out - (place.kvCapacity - place.kvUsed);
  if (place.kvCapacity === 0 || short <= 0) return 0;
  return (short * known.heldMs) / Math.max(1, place.kvUsed);
}

export function predict(place: rooms.Place, need: Need, known: Known): Prediction {
  const memory = memoryMs(place, need, known);
  const waitMs = Math.max(placeMs(place, known), memory, known.fullMs);
  const aheadMs = Math.max(waitMs * known.waitFactor, place.backlogMs);
  const readMs = aheadMs + need.unread / known.rate;
  // A plain request is answered when its work is done; a stream speaks before that.
  const workMs = need.out > 0 ? need.out * known.tokenMs : known.heldMs;
  const firstMs = known.lagMs + known.slow.first * (readMs + (need.out > 0 ? known.tokenMs : workMs));
  const endMs = need.out > 0 ? firstMs + known.slow.stream * workMs : firstMs;
  const isMemoryFree = place.kvCapacity === 0 || need.unread + need.out <= place.kvCapacity - place.kvUsed;
  const hasPlace = place.used < place.capacity && place.waiting === 0 && isMemoryFree && known.fullMs === 0;
  return {
    waitMs,
    delayMs: known.slow.first * aheadMs,
    firstMs,
    endMs,
    hasPlace,
    neverFits: place.kvCapacity > 0 && need.tokens > place.kvCapacity,
  };
}
