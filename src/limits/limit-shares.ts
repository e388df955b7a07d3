/**
 * The fixed share of each system-wide limit that one slot of the voters owns (design/shares 3): a burst of whole units and a
 * refill, such that burst + refill over any window, summed over all slots, stays within the limit.
 */
import * as textHash from "./text-hash.js";

/** The settings from which the limits are computed. */
export interface Bounds {
  retry_ratio: number;
  retry_window_s: number;
  retry_extra: number;
  warmup_overshoot: number;
  warmup_tolerance: number;
}

/** A slot's share of one limit: maximum units, and units per millisecond. */
export interface LimitShare {
  /** Whole units. */
  burst: number;
  perMs: number;
}

/** The fraction of a limit that may be spent at once; the rest is refill. */
const BURST_RATIO = 0.5;
/** The delay between taking a unit and sending differs by at most this between routers. */
export const MAX_SEND_DELAY_SPREAD_MS = 150;
/** A single unit is refilled a little later than the window lasts, so that two never lie within it. */
const SINGLE_UNIT_REFILL_RATIO = 0.99;
/** A slower refill is preferred to a warming runner that depends on few owners, down to this fraction of its rate. */
const MIN_RATE_RATIO = 0.5;

/** A complete limit: units at once, and units per second. */
export interface TokenBucket {
  burst: number;
  perS: number;
}

/** The limit as a burst of whole units and a refill per second over windows of windowS. */
function bucketFor(bound: number, burst: number, windowS: number, maxPerS: number): TokenBucket {
  const spanS = windowS + MAX_SEND_DELAY_SPREAD_MS / 1000;
  const perS = (bound - burst) / spanS;
  return { burst, perS: Math.min(maxPerS, burst === 1 ? Math.max(perS, SINGLE_UNIT_REFILL_RATIO / spanS) : perS) };
}

/** The rank of a slot among all slots by rendezvous hashing of the key; 0 is the first. */
export function rankOfSlot(slots: number, slot: number, key: string): number {
  const own = textHash.hashText(`${slot}|${key}`);
  let rank = 0;
  for (let other = 0; other < slots; other += 1) {
    const score = textHash.hashText(`${other}|${key}`);
    if (score > own || (score === own && other < slot)) rank += 1;
  }
  return rank;
}

/** Distributes whole units over the slots by rendezvous hashing of the key; the refill goes with them. */
export function shareOf(total: TokenBucket, slots: number, slot: number, key: string): LimitShare {
  const burst = Math.floor(total.burst / slots) + (rankOfSlot(slots, slot, key) < total.burst % slots ? 1 : 0);
  return { burst, perMs: total.burst > 0 ? ((total.perS / 1000) * burst) / total.burst : 0 };
}

/** Retries of one service beyond the ratio. */
export function retryShare(bounds: Bounds, slots: number, slot: number, service: string): LimitShare {
  const bound = bounds.retry_extra;
  if (bound < 1) return { burst: 0, perMs: 0 };
  return shareOf(bucketFor(bound, Math.max(1, Math.floor(bound * BURST_RATIO)), bounds.retry_window_s, Infinity), slots, slot, service);
}

/** Sends to one warming runner: its rate, and the rest of the limit as burst, at a majority of slots if possible. */
export function warmUpShare(bounds: Bounds, slots: number, slot: number, runner: string, perS: number): LimitShare {
  const bound = perS * bounds.warmup_overshoot + bounds.warmup_tolerance;
  if (bound < 1 || perS <= 0) return { burst: 0, perMs: 0 };
  const capacity = Math.floor(bound - perS * (1 + MAX_SEND_DELAY_SPREAD_MS / 1000));
  let burst = Math.max(1, Math.floor(slots / 2) + 1);
  if (capacity >= burst) return shareOf(bucketFor(bound, capacity, 1, perS), slots, slot, runner);
  while (burst > 1 && bucketFor(bound, burst, 1, perS).perS < perS * MIN_RATE_RATIO) burst -= 1;
  return shareOf(bucketFor(bound, burst, 1, perS), slots, slot, runner);
}
