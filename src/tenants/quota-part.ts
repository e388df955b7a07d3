/**
 * The fixed part of a tenant's quota that one slot of the voters holds (design/tenants 4.2): a burst of whole units and
 * a refill, so that burst + refill over any window, summed over all slots, stays within the bound on the window.
 */
import * as limitShares from "../limits/limit-shares.js";
import type * as slotOwnership from "../limits/slot-ownership.js";

/** The figures of the settings that the bound on a window is made from. */
export interface QuotaBounds {
  /** Seconds. */
  quota_window_s: number;
  /** The part of the limit by which a window may pass it. */
  quota_overshoot: number;
  /** Requests by which a window may pass it on top. */
  quota_tolerance: number;
}

/** A tenant's limit as configured: requests a second, and requests on top. */
export interface Limit {
  perS: number;
  burst: number;
}

/**
 * A unit is used, and its request arrives, this much later after its grant at one router than at another: the life of a
 * unit, the way, and connections that do not come up at first.
 */
export const SPREAD_MS = 450;
/** Starts of all owners within one window that are provided for; the reserve covers what passes them. */
const STARTS = 2;
/** The part of what lies above the refill that starts may take. */
const STARTS_SHARE = 0.4;
/** The part of the tolerance that is set aside for routers that stand still between taking a unit and sending. */
const RESERVE = 0.2;

/** Requests that a window may see. */
export function boundOf(bounds: QuotaBounds, limit: Limit): number {
  return (limit.perS * bounds.quota_window_s + limit.burst) * (1 + bounds.quota_overshoot) + bounds.quota_tolerance;
}

/** A slot's part of a quota. */
export interface QuotaPart extends limitShares.LimitShare {
  /**
   * What a bucket holds when its owner begins, under one unit. The slots are staggered by rendezvous on the tenant, so that
   * after a start of everything the first units do not all come in one refill late.
   */
  start: number;
}

/** The part of one slot of so many. */
export function quotaPart(bounds: QuotaBounds, limit: Limit, slots: number, slot: number, tenant: string): QuotaPart {
  const bound = boundOf(bounds, limit) - RESERVE * bounds.quota_tolerance;
  const spanS = bounds.quota_window_s + SPREAD_MS / 1000;
  const above = Math.max(0, bound - limit.perS * spanS);
  const started = (slots - 1) / 2;
  const stagger = Math.min(1, (STARTS_SHARE * above) / (STARTS * Math.max(1, started)));
  const burst = Math.max(1, Math.floor(above - STARTS * started * stagger));
  const perS = Math.max(0, Math.min(limit.perS, (bound - burst) / spanS));
  const start = (stagger * limitShares.rankOfSlot(slots, slot, tenant)) / Math.max(1, slots);
  return { ...limitShares.shareOf({ burst, perS }, slots, slot, tenant), start };
}

/** The part that may be granted by one that holds several places at once: the least of each figure. */
export function leastPart(bounds: QuotaBounds, limit: Limit, places: readonly slotOwnership.SlotPosition[], tenant: string): QuotaPart {
  const found = places.map(({ slots, slot }) => quotaPart(bounds, limit, slots, slot, tenant));
  return {
    burst: Math.min(...found.map((part) => part.burst)),
    perMs: Math.min(...found.map((part) => part.perMs)),
    start: Math.min(...found.map((part) => part.start)),
  };
}
