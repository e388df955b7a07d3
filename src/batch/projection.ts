/**
 * How long a batch will wait (design/batch 9): a fluid queue of all batches in their order, served by the room that the
 * forecast leaves to batches, played through for many draws of the forecast's errors. Pure functions of their input.
 */
import * as pacing from "./pacing.js";

/** A play ends here; what has not ended by then is told as over it. */
export const HORIZON_MS = 24 * 3600 * 1000;
const FIRST_STEP_MS = 1000;
/** Steps grow with the time that lies before them. */
const GROWTH = 1 / 30;
/** Draws of an error are taken from so many quantiles. */
export const QUANTILES = 11;
/** A part of an item that counts as none, and the shortest span of a play. */
const NOTHING = 1e-6;
const MIN_SPAN_MS = 1;
/** The owner changes the table at most so often (owner.ts). */
const CHANGES_PER_S = 2.8;

/** The moments of a play, in milliseconds from now. */
export const GRID: readonly number[] = grid();

function grid(): number[] {
  const at: number[] = [0];
  while (at[at.length - 1] < HORIZON_MS) {
    const last = at[at.length - 1];
    at.push(last + Math.max(FIRST_STEP_MS, last * GROWTH));
  }
  return at;
}

/** The quantile of one of the draws. */
export function quantileOf(draw: number): number {
  return (draw + 0.5) / QUANTILES;
}

/** One region as a play sees it. */
export interface CellOutlook {
  readonly region: string;
  readonly places: number;
  /** Places that interactive requests hold now. */
  readonly interactive: number;
  /** Tokens of prompts that may be read for batches a millisecond; Infinity: no bound is known. */
  readonly readPerMs: number;
  /** Interactive load over now at each moment of the grid, expected and by draw of the error. */
  readonly ratios: readonly number[];
  readonly factors: readonly (readonly number[])[];
}

/** Items of one batch that are not done. */
export interface Work {
  readonly count: number;
  /** Milliseconds that one holds a place, and tokens that are read for it. */
  readonly heldMs: number;
  readonly unread: number;
  /** Regions that it may run in. */
  readonly regions: ReadonlySet<string>;
}

/** What one play came to, in milliseconds from its start; Infinity: not within the horizon. */
export interface Played {
  beginMs: number;
  endMs: number;
}

/** What one cell can still give to batches, at one moment. */
interface Supply {
  readonly region: string;
  places: number;
  readPerMs: number;
  startsPerMs: number;
}

function supplyOf(cell: CellOutlook, step: number, draw: number): Supply {
  const interactive = cell.interactive * cell.ratios[step] * cell.factors[step][draw];
  const startsPerMs = (pacing.MAX_STEP_RATIO * cell.places) / pacing.REPORT_DELAY_MS;
  return { region: cell.region, places: pacing.batchSlots(cell.places, interactive), readPerMs: cell.readPerMs, startsPerMs };
}

/** Items a millisecond of one work, and what they take from the supplies and from what the owner can do. */
function takeRate(work: Work, supplies: readonly Supply[], owner: Supply): number {
  // A send holds its place until no report can miss it any more.
  const heldMs = work.heldMs + pacing.REPORT_DELAY_MS;
  let rate = 0;
  // The owner sends where most slots are free first (item-queue.ts).
  for (const supply of [...supplies].sort(byRoom)) {
    if (!work.regions.has(supply.region)) continue;
    const most = Math.min(owner.startsPerMs, owner.places / work.heldMs);
    const readBound = work.unread > 0 ? supply.readPerMs / work.unread : Infinity;
    const taken = Math.max(0, Math.min(most, supply.startsPerMs, supply.places / heldMs, readBound));
    supply.places -= taken * heldMs;
    supply.startsPerMs -= taken;
    if (Number.isFinite(supply.readPerMs)) supply.readPerMs -= taken * work.unread;
    owner.startsPerMs -= taken;
    owner.places -= taken * work.heldMs;
    rate += taken;
  }
  return rate;
}

function byRoom(left: Supply, right: Supply): number {
  return right.places - left.places;
}

function ownerSupply(): Supply {
  return { region: "", places: pacing.MAX_IN_FLIGHT, readPerMs: Infinity, startsPerMs: (pacing.MAX_SENDS * CHANGES_PER_S) / 1000 };
}

/** The first moment of the grid whose step reaches beyond the time. */
function firstStep(atMs: number): number {
  let step = 0;
  while (step + 2 < GRID.length && GRID[step + 1] <= atMs) step += 1;
  return step;
}

/** Plays the works in their order with one draw of the load's error for each cell; tells of the last of them. */
export function play(cells: readonly CellOutlook[], works: readonly Work[], draws: readonly number[], startMs = 0): Played {
  const left = works.map(countOf);
  const own = works.length - 1;
  let beginMs = Infinity;
  let now = startMs;
  for (let step = firstStep(startMs); step + 1 < GRID.length; step += 1) {
    while (now < GRID[step + 1]) {
      const rates = ratesAt(cells, works, left, draws, step);
      if (rates[own] > 0) beginMs = Math.min(beginMs, now);
      const spanMs = nextSpan(left, rates, GRID[step + 1] - now);
      now += spanMs;
      for (const [index, rate] of rates.entries()) left[index] = Math.max(0, left[index] - rate * spanMs);
      if (left[own] <= NOTHING) return { beginMs: beginMs - startMs, endMs: now + works[own].heldMs - startMs };
    }
  }
  return { beginMs: beginMs - startMs, endMs: Infinity };
}

function countOf(work: Work): number {
  return work.count;
}

function ratesAt(
  cells: readonly CellOutlook[],
  works: readonly Work[],
  left: readonly number[],
  draws: readonly number[],
  step: number,
): number[] {
  const supplies = cells.map((cell, index) => supplyOf(cell, step, draws[index]));
  const owner = ownerSupply();
  return works.map((work, index) => (left[index] > NOTHING ? takeRate(work, supplies, owner) : 0));
}

/** Until the first of the works ends, or the step does. */
function nextSpan(left: readonly number[], rates: readonly number[], mostMs: number): number {
  let spanMs = mostMs;
  for (const [index, rate] of rates.entries()) if (rate > 0) spanMs = Math.min(spanMs, left[index] / rate);
  return Math.max(spanMs, Math.min(mostMs, MIN_SPAN_MS));
}
