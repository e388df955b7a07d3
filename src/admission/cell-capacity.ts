/**
 * Capacity of cells and the fraction of it that one router may use until the next report (design/admission 4). Pure
 * functions, used by the routers, the capacity command and the simulator.
 */

/** Load and capacity of one runner: its slots and its memory. */
export interface SlotUsage {
  /** Requests that the runner processes at once: its slots. */
  capacity: number;
  /** Requests running and queued there. */
  used: number;
  /** Requests queued there by its last report. */
  waiting: number;
  /** Tokens; a capacity of 0 is unknown. */
  kvUsed: number;
  kvCapacity: number;
  /** Milliseconds of prefill that are queued there. */
  backlogMs: number;
}

/** The sum over the runners of a cell. Its field names are part of `status` and read by `cranewind capacity`. */
export interface CellCapacity {
  runners: number;
  /** Slots, and how many of them are free. */
  places: number;
  freePlaces: number;
  /** Queued requests. */
  waiting: number;
  /** Tokens of memory, and how many of them are free. */
  tokens: number;
  freeTokens: number;
  /** Milliseconds of prefill that fit into the next second. */
  readMs: number;
}

const SECOND_MS = 1000;
/** While a smaller fraction of the slots is used, and no request queued, nothing is rejected. */
export const HALF_FULL = 0.5;

/** The sum over these runners. */
export function sumCapacity(runners: Iterable<SlotUsage>): CellCapacity {
  const sum: CellCapacity = { runners: 0, places: 0, freePlaces: 0, waiting: 0, tokens: 0, freeTokens: 0, readMs: 0 };
  for (const runner of runners) {
    sum.runners += 1;
    sum.places += runner.capacity;
    sum.freePlaces += Math.max(0, runner.capacity - runner.used);
    sum.waiting += runner.waiting;
    sum.tokens += runner.kvCapacity;
    sum.freeTokens += Math.max(0, runner.kvCapacity - runner.kvUsed);
    sum.readMs += Math.max(0, SECOND_MS - runner.backlogMs);
  }
  return sum;
}

/** Whether less than this fraction of the slots is used, and no request queued. */
export function isUsedBelow(capacity: CellCapacity, fraction: number): boolean {
  return capacity.waiting === 0 && capacity.places - capacity.freePlaces < fraction * capacity.places;
}

/** Whether under half of the slots are used, and no request queued: nothing is rejected then. */
export function isUnderHalfUsed(capacity: CellCapacity): boolean {
  return isUsedBelow(capacity, HALF_FULL);
}

/**
 * The fraction of a cell that one router may use: its requests in flight over those of all routers, and at least half
 * of an even split.
 */
export function routerFraction(own: number, all: number, routers: number): number {
  const even = 1 / Math.max(1, routers);
  return all > 0 ? Math.min(1, Math.max(own / all, even / 2)) : even;
}

/** The free slots leased to a router that may use this fraction: at least one while any is free. */
export function leasedSlots(capacity: CellCapacity, fraction: number): number {
  return capacity.freePlaces === 0 ? 0 : Math.max(1, Math.floor(capacity.freePlaces * fraction));
}

/** What one request of a kind takes. */
export interface RequestCost {
  /** Tokens of memory. */
  tokens: number;
  /** Milliseconds of prefill. */
  prefillMs: number;
  /** Milliseconds that it occupies a slot. */
  occupancyMs: number;
}

/** Requests a second of a kind that still fit, by the scarcest resource; Infinity where the cost is unknown. */
export function requestsPerS(capacity: CellCapacity, cost: RequestCost): number {
  const bounds: number[] = [];
  if (cost.occupancyMs > 0) {
    bounds.push((capacity.freePlaces * SECOND_MS) / cost.occupancyMs);
    if (cost.tokens > 0 && capacity.tokens > 0) bounds.push((capacity.freeTokens * SECOND_MS) / (cost.tokens * cost.occupancyMs));
  }
  if (cost.prefillMs > 0) bounds.push(capacity.readMs / cost.prefillMs);
  return bounds.length === 0 ? Infinity : Math.min(...bounds);
}
