/** The forecast and the newest reports as the cells that a projection plays with (design/batch 9). */
import * as forecastErrors from "../forecast/errors.js";
import type * as loads from "../forecast/loads.js";
import type * as schema from "../wire/batch-schema.js";
import * as projection from "./projection.js";
import type * as pacing from "./pacing.js";

/** Fewer observations or a smaller part of the day known make a forecast unsure; the bands say so, too. */
const FEW_STEPS = 15;
const FEW_COVERAGE = 0.25;

/** How sure a forecast is, for people. */
export interface Confidence {
  isSure: boolean;
  /** What is missing; empty when it is sure. */
  reasons: string[];
}

/** One region's newest room. */
export interface Room extends pacing.CellCapacity {
  /** Batch items at work there, which the room counts as used. */
  batchItems: number;
}

/** The cells of a service; `weightOf`: milliseconds that a request of a route holds a place. */
export function cellsOf(
  rooms: readonly Room[],
  forecast: loads.LoadForecast,
  weightOf: (route: string) => number,
): projection.CellOutlook[] {
  return rooms.map((room) => cellOf(room, forecast, weightOf));
}

function cellOf(room: Room, forecast: loads.LoadForecast, weightOf: (route: string) => number): projection.CellOutlook {
  const usual = new forecastErrors.RatioErrors();
  const ratios: number[] = [];
  const factors: number[][] = [];
  const rows = new Map<forecastErrors.RatioErrors, number[]>();
  for (const at of projection.GRID) {
    const outlook = forecast.outlook(room.region, at, weightOf);
    ratios.push(outlook?.ratio ?? 1);
    // Neighbouring moments share their errors: the quantiles are found once for each horizon.
    const source = outlook?.errors ?? usual;
    const row = rows.get(source) ?? rowOf(source);
    rows.set(source, row);
    factors.push(row);
  }
  const interactive = Math.max(0, room.used - room.batchItems);
  return { region: room.region, places: room.slots, interactive, readPerMs: room.prefillTokensPerMs, ratios, factors };
}

function rowOf(errors: forecastErrors.RatioErrors): number[] {
  return Array.from({ length: projection.QUANTILES }, (_, draw) => errors.factorAt(projection.quantileOf(draw)));
}

/** How sure a projection over these regions can be. */
export function confidenceOf(rooms: readonly Room[], forecast: loads.LoadForecast, finished: number): Confidence {
  const reasons: string[] = [];
  if (rooms.length === 0) reasons.push("no runner of its service reports");
  for (const { region } of rooms) {
    const outlook = forecast.outlook(region, 0, () => 1);
    if (!outlook) reasons.push(`no arrivals were seen in ${region}`);
    else if (outlook.steps < FEW_STEPS) reasons.push(`${region} was watched for ${outlook.steps} steps only`);
    else if (outlook.coverage < FEW_COVERAGE) reasons.push(`${Math.round(outlook.coverage * 100)} % of a day is known in ${region}`);
  }
  if (finished === 0) reasons.push("no batch has ended yet, so that projections were never compared");
  return { isSure: reasons.length === 0, reasons };
}

/** How far the projections of ended batches were off, by their own table. */
export function pastErrors(table: schema.BatchTable): forecastErrors.RatioErrors {
  const errors = new forecastErrors.RatioErrors();
  for (const batch of table.batches) {
    if (batch.projected && batch.endedMs > 0 && !batch.isCancelled)
      errors.learn(batch.projected.modelMs, batch.endedMs - batch.submittedMs);
  }
  return errors;
}
