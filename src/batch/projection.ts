/**
 * How long a batch will wait (design/batch 9): a fluid queue of all batches in their order, served by the capacity
 * that the forecast leaves to batches, simulated for many draws of the forecast's errors. Pure functions of their input.
 */
import * as pacing from "./pacing.js";

/** A simulation ends here; a batch that has not ended by then is reported as beyond the horizon. */
export const HORIZON_MS = 24 * 3600 * 1000;
const FIRST_STEP_MS = 1000;
/** A step's length as a ratio of the time before it. */
const GROWTH = 1 / 30;
/** Draws of an error are consumed from so many quantiles. */
export const ERROR_QUANTILES = 11;
/** Fewer items than this count as none. */
const EPSILON_ITEMS = 1e-6;
/** Shortest span of a simulation. */
const MIN_SPAN_MS = 1;
/** The owner changes the table at most so often (batch-owner.ts). */
const CHANGES_PER_S = 2.8;

/** The times of a simulation, in milliseconds from now. */
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
  return (draw + 0.5) / ERROR_QUANTILES;
}

/** Capacity and load forecast of one region. */
export interface CellForecast {
  readonly region: string;
  readonly slots: number;
  /** Slots that interactive requests hold now. */
  readonly interactive: number;
  /** Prompt tokens that may be prefilled for batches per millisecond; Infinity: no bound is known. */
  readonly prefillTokensPerMs: number;
  /** Interactive load over now at each moment of the grid, expected and by draw of the error. */
  readonly ratios: readonly number[];
  readonly factors: readonly (readonly number[])[];
}

/** Items of one batch that are not done. */
export interface BatchWork {
  readonly count: number;
  /** Milliseconds that one item holds a slot, and prompt tokens that it prefills. */
  readonly occupancyMs: number;
  readonly prefillTokens: number;
  /** Regions that it may run in. */
  readonly regions: ReadonlySet<string>;
}

/** Result of one simulation, in milliseconds from its start; Infinity: beyond the horizon. */
export interface SimulatedWait {
  beginMs: number;
  endMs: number;
}

/** What one cell has left for batches at one moment. */
interface Supply {
  readonly region: string;
  slots: number;
  prefillTokensPerMs: number;
  startsPerMs: number;
}

function supplyOf(cell: CellForecast, step: number, draw: number): Supply {
  const interactive = cell.interactive * cell.ratios[step] * cell.factors[step][draw];
  const startsPerMs = (pacing.MAX_STEP_RATIO * cell.slots) / pacing.REPORT_DELAY_MS;
  return {
    region: cell.region,
    slots: pacing.batchSlots(cell.slots, interactive),
    prefillTokensPerMs: cell.prefillTokensPerMs,
    startsPerMs,
  };
}

/** Items per millisecond of one batch; subtracts what they use from the supplies of the cells and of the owner. */
function consumeRate(work: BatchWork, supplies: readonly Supply[], owner: Supply): number {
  // A send holds its slot until every report shows it.
  const occupancyMs = work.occupancyMs + pacing.REPORT_DELAY_MS;
  let rate = 0;
  // The owner sends where most slots are free first (item-queue.ts).
  for (const supply of [...supplies].sort(bySlots)) {
    if (!work.regions.has(supply.region)) continue;
    const ownerBound = Math.min(owner.startsPerMs, owner.slots / work.occupancyMs);
    const prefillBound = work.prefillTokens > 0 ? supply.prefillTokensPerMs / work.prefillTokens : Infinity;
    const consumed = Math.max(0, Math.min(ownerBound, supply.startsPerMs, supply.slots / occupancyMs, prefillBound));
    supply.slots -= consumed * occupancyMs;
    supply.startsPerMs -= consumed;
    if (Number.isFinite(supply.prefillTokensPerMs)) supply.prefillTokensPerMs -= consumed * work.prefillTokens;
    owner.startsPerMs -= consumed;
    owner.slots -= consumed * work.occupancyMs;
    rate += consumed;
  }
  return rate;
}

function bySlots(left: Supply, right: Supply): number {
  return right.slots - left.slots;
}

function ownerSupply(): Supply {
  return { region: "", slots: pacing.MAX_IN_FLIGHT, prefillTokensPerMs: Infinity, startsPerMs: (pacing.MAX_SENDS * CHANGES_PER_S) / 1000 };
}

/** The first moment of the grid whose step reaches beyond the time. */
function firstStep(atMs: number): number {
  let step = 0;
  while (step + 2 < GRID.length && GRID[step + 1] <= atMs) step += 1;
  return step;
}

/** Simulates the batches in their order with one draw of the load's error for each cell; the result is the last one's. */
export function simulate(
  cells: readonly CellForecast[],
  works: readonly BatchWork[],
  draws: readonly number[],
  startMs = 0,
): SimulatedWait {
  const left = works.map((work) => work.count);
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
      if (left[own] <= EPSILON_ITEMS) return { beginMs: beginMs - startMs, endMs: now + works[own].occupancyMs - startMs };
    }
  }
  return { beginMs: beginMs - startMs, endMs: Infinity };
}

function ratesAt(
  cells: readonly CellForecast[],
  works: readonly BatchWork[],
  left: readonly number[],
  draws: readonly number[],
  step: number,
): number[] {
  const supplies = cells.map((cell, index) => supplyOf(cell, step, draws[index]));
  const owner = ownerSupply();
  return works.map((work, index) => (left[index] > EPSILON_ITEMS ? consumeRate(work, supplies, owner) : 0));
}

/** Milliseconds until the first batch or the step ends. */
function nextSpan(left: readonly number[], rates: readonly number[], maxMs: number): number {
  let spanMs = maxMs;
  for (const [index, rate] of rates.entries()) if (rate > 0) spanMs = Math.min(spanMs, left[index] / rate);
  return Math.max(spanMs, Math.min(maxMs, MIN_SPAN_MS));
}
