/**
 * Room of cells and services in units of work, and the part of it that one router may spend until the next report
 * (design/admission 4). Pure functions: routers, the capacity command and the simulator use the same.
 */

/** Load and capacity of one runner. */
export interface SlotUsage {
  /** Requests run at once. */
  capacity: number;
  /** Running and waiting there. */
  used: number;
  /** Requests queued there by its last report. */
  waiting: number;
  /** Tokens; a capacity of 0 is unknown. */
  kvUsed: number;
  kvCapacity: number;
  /** Milliseconds of prompts still to be read. */
  backlogMs: number;
}

/** The sum of the places of a cell, shown in `status`: its names are read by `cranewind capacity`. */
export interface CellCapacity {
  runners: number;
  /** Requests that run at once, and how many more could. */
  places: number;
  freePlaces: number;
  waiting: number;
  /** Tokens of memory, and how many are free. */
  tokens: number;
  freeTokens: number;
  /** Milliseconds of reading that fit into the next second. */
  readMs: number;
}

const SECOND_MS = 1000;
/** Under this share of places taken, with nobody waiting, nothing is denied. */
export const HALF_FULL = 0.5;

/** The sum over these places. */
export function sumCapacity(places: Iterable<SlotUsage>): CellCapacity {
  const room: CellCapacity = { runners: 0, places: 0, freePlaces: 0, waiting: 0, tokens: 0, freeTokens: 0, readMs: 0 };
  for (const place of places) {
    room.runners += 1;
    room.places += place.capacity;
    room.freePlaces += Math.max(0, place.capacity - place.used);
    room.waiting += place.waiting;
    room.tokens += place.kvCapacity;
    room.freeTokens += Math.max(0, place.kvCapacity - place.kvUsed);
    room.readMs += Math.max(0, SECOND_MS - place.backlogMs);
  }
  return room;
}

/** Under half of the places are taken and nobody waits: nothing is denied then. */
export function isUnderHalfUsed(room: CellCapacity): boolean {
  return room.waiting === 0 && room.places - room.freePlaces < HALF_FULL * room.places;
}

/**
 * A router's part of its cell: what it has at work over what all have, never under half of an even split.
 */
export function routerFraction(own: number, all: number, routers: number): number {
  const even = 1 / Math.max(1, routers);
  return all > 0 ? Math.min(1, Math.max(own / all, even / 2)) : even;
}

/** The free places that are this router's to spend: one at least. */
export function leasedSlots(room: CellCapacity, part: number): number {
  return room.freePlaces === 0 ? 0 : Math.max(1, Math.floor(room.freePlaces * part));
}

/** What one request of a kind takes: tokens of memory, milliseconds of reading, milliseconds of a place. */
export interface RequestCost {
  /** Tokens of memory. */
  tokens: number;
  /** Milliseconds of reading. */
  readMs: number;
  /** Milliseconds that a place is held. */
  occupancyMs: number;
}

/** Requests a second of that kind which still fit, by whatever is short first. */
export function requestsPerS(room: CellCapacity, cost: RequestCost): number {
  const bounds: number[] = [];
  if (cost.occupancyMs > 0) {
    bounds.push((room.freePlaces * SECOND_MS) / cost.occupancyMs);
    if (cost.tokens > 0 && room.tokens > 0) bounds.push((room.freeTokens * SECOND_MS) / (cost.tokens * cost.occupancyMs));
  }
  if (cost.readMs > 0) bounds.push(room.readMs / cost.readMs);
  return bounds.length === 0 ? Infinity : Math.min(...bounds);
}
