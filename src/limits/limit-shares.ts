// The fixed part of each bound that one slot of the voters holds (design/shares 3): a burst of whole units
// and a refill, so that burst + refill over any window, summed over all slots, stays within the bound.
import * as textHash from "./text-hash.js";

/** The figures that bounds are made from. */
export interface Bounds {
  retry_ratio: number;
  retry_window_s: number;
  retry_extra: number;
  warmup_overshoot: number;
  warmup_tolerance: number;
}

/** A slot's part of one bound: units at most, and units a millisecond. */
export interface LimitShare {
  /** Whole units. */
  burst: number;
  perMs: number;
}

/** The part of a bound that may be spent at once; the rest is refill (*ours*). */
const BURST_RATIO = 0.5;
/** What is taken is sent this much later at most at one router than at another (*ours*). */
export const MAX_SEND_DELAY_SPREAD_MS = 150;
/** A single unit comes back a little later than the window lasts: two never lie within it. */
const SINGLE_UNIT_REFILL_RATIO = 0.99;
/** Rather a slower refill than a cold runner that hangs on few owners; not under this part of its rate (*ours*). */
const MIN_RATE_RATIO = 0.5;

/** A whole bound: units at once, and units a second. */
export interface TokenBucket {
  burst: number;
  perS: number;
}

/** The whole bound as a burst of whole units and a refill a second over windows of windowS. */
function bucketFor(bound: number, burst: number, windowS: number, mostPerS: number): TokenBucket {
  const spanS = windowS + MAX_SEND_DELAY_SPREAD_MS / 1000;
  const perS = (bound - burst) / spanS;
  return { burst, perS: Math.min(mostPerS, burst === 1 ? Math.max(perS, SINGLE_UNIT_REFILL_RATIO / spanS) : perS) };
}

/** The place of a slot among all by rendezvous on the key; 0 is the first. */
export function rankOfSlot(slots: number, slot: number, key: string): number {
  const own = textHash.hashText(`${slot}|${key}`);
  let place = 0;
  for (let other = 0; other < slots; other += 1) {
    const mark = textHash.hashText(`${other}|${key}`);
    if (mark > own || (mark === own && other < slot)) place += 1;
  }
  return place;
}

/** Whole units go round the slots by rendezvous on the key; the refill goes with them. */
export function shareOf(whole: TokenBucket, slots: number, slot: number, key: string): LimitShare {
  const burst = Math.floor(whole.burst / slots) + (rankOfSlot(slots, slot, key) < whole.burst % slots ? 1 : 0);
  return { burst, perMs: whole.burst > 0 ? ((whole.perS / 1000) * burst) / whole.burst : 0 };
}

/** Further tries of one service beyond the ratio. */
export function retryShare(bounds: Bounds, slots: number, slot: number, service: string): LimitShare {
  const bound = bounds.retry_extra;
  if (bound < 1) return { burst: 0, perMs: 0 };
  return shareOf(bucketFor(bound, Math.max(1, Math.floor(bound * BURST_RATIO)), bounds.retry_window_s, Infinity), slots, slot, service);
}

/** Sends to one cold runner: its rate, and the rest of the bound as burst, at a majority of slots if it can be. */
export function warmUpShare(bounds: Bounds, slots: number, slot: number, runner: string, perS: number): LimitShare {
  const bound = perS * bounds.warmup_overshoot + bounds.warmup_tolerance;
  if (bound < 1 || perS <= 0) return { burst: 0, perMs: 0 };
  const room = Math.floor(bound - perS * (1 + MAX_SEND_DELAY_SPREAD_MS / 1000));
  let burst = Math.max(1, Math.floor(slots / 2) + 1);
  if (room >= burst) return shareOf(bucketFor(bound, room, 1, perS), slots, slot, runner);
  while (burst > 1 && bucketFor(bound, burst, 1, perS).perS < perS * MIN_RATE_RATIO) burst -= 1;
  return shareOf(bucketFor(bound, burst, 1, perS), slots, slot, runner);
}
