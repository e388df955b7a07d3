/** The forecast and the newest reports as the cells of a projection (design/batch 9). */
import * as forecastErrors from "../forecast/errors.js";
import type * as loads from "../forecast/loads.js";
import type * as schema from "../wire/batch-schema.js";
import * as projection from "./projection.js";
import type * as pacing from "./pacing.js";

/** With fewer observations, or less of the day covered, a forecast isn't sure. */
const MIN_STEPS = 15;
const MIN_COVERAGE = 0.25;

/** How sure a forecast is, for people. */
export interface Confidence {
  isSure: boolean;
  /** What is missing; empty when it is sure. */
  reasons: string[];
}

/** One region's newest capacity. */
export interface RegionCapacity extends pacing.CellCapacity {
  /** Batch items in flight there; `used` includes them. */
  batchItems: number;
}

/** The cells of a service; `weightOf`: milliseconds that a request of a route holds a slot. */
export function cellsOf(
  capacities: readonly RegionCapacity[],
  forecast: loads.LoadForecast,
  weightOf: (route: string) => number,
): projection.CellForecast[] {
  return capacities.map((capacity) => cellOf(capacity, forecast, weightOf));
}

function cellOf(capacity: RegionCapacity, forecast: loads.LoadForecast, weightOf: (route: string) => number): projection.CellForecast {
  const defaultErrors = new forecastErrors.RatioErrors();
  const ratios: number[] = [];
  const factors: number[][] = [];
  const rows = new Map<forecastErrors.RatioErrors, number[]>();
  for (const at of projection.GRID) {
    const outlook = forecast.outlook(capacity.region, at, weightOf);
    ratios.push(outlook?.ratio ?? 1);
    // Neighbouring moments share their errors: the quantiles are found once for each horizon.
    const source = outlook?.errors ?? defaultErrors;
    const row = rows.get(source) ?? factorsOf(source);
    rows.set(source, row);
    factors.push(row);
  }
  const interactive = Math.max(0, capacity.used - capacity.batchItems);
  return { region: capacity.region, slots: capacity.slots, interactive, prefillTokensPerMs: capacity.prefillTokensPerMs, ratios, factors };
}

function factorsOf(errors: forecastErrors.RatioErrors): number[] {
  return Array.from({ length: projection.ERROR_QUANTILES }, (_, draw) => errors.factorAt(projection.quantileOf(draw)));
}

/** How sure a projection over these regions can be. */
export function confidenceOf(capacities: readonly RegionCapacity[], forecast: loads.LoadForecast, finished: number): Confidence {
  const reasons: string[] = [];
  if (capacities.length === 0) reasons.push("no runner of its service reports");
  for (const { region } of capacities) {
    const outlook = forecast.outlook(region, 0, () => 1);
    if (!outlook) reasons.push(`no arrivals were seen in ${region}`);
    else if (outlook.steps < MIN_STEPS) reasons.push(`${region} was watched for ${outlook.steps} steps only`);
    else if (outlook.coverage < MIN_COVERAGE) reasons.push(`${Math.round(outlook.coverage * 100)} % of a day is known in ${region}`);
  }
  if (finished === 0) reasons.push("no batch has ended yet, so that projections were never compared");
  return { isSure: reasons.length === 0, reasons };
}

/** Errors of the projections of ended batches. */
export function pastErrors(table: schema.BatchTable): forecastErrors.RatioErrors {
  const errors = new forecastErrors.RatioErrors();
  for (const batch of table.batches) {
    if (batch.projected && batch.endedMs > 0 && !batch.isCancelled)
      errors.learn(batch.projected.modelMs, batch.endedMs - batch.submittedMs);
  }
  return errors;
}
