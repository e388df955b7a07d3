/**
 * The answer to "how long would it wait": simulations of the projection, combined into bands (design/batch 9).
 * It yields to the event loop between two simulations.
 */
import * as statistics from "simple-statistics";
import type * as errors from "../forecast/errors.js";
import * as projection from "./projection.js";

/** Simulations of one quote. */
const RUNS = 60;
/** Simulations of one cell of the table by region and hour. */
const TABLE_RUNS = 5;
const TABLE_HOURS = 24;
const HOUR_MS = 3600 * 1000;
const MEDIAN = 0.5;

/** Milliseconds; null: not within the horizon of a day. */
export interface Band {
  p05: number | null;
  p50: number | null;
  p90: number | null;
  p95: number | null;
  p99: number | null;
}

/** A row of the table: what it would be if the batch were submitted so many hours from now, for that region alone. */
export interface TableRow {
  region: string;
  inHours: number;
  endMs: Band;
}

/** What the operator is told; with `--json` these names are printed. */
export interface Quote {
  begin: Band;
  end: Band;
  /** Share of the simulations that end after the time asked for; null: none was asked for. */
  lateShare: number | null;
  /** The median end by the model alone. */
  modelMs: number | null;
  /** Region and hour in which the batch itself would be done soonest after its submission; null: no table was asked for. */
  best: { region: string; inHours: number } | null;
  table: TableRow[];
}

/** What a quote is made from. */
export interface Question {
  cells: readonly projection.CellForecast[];
  /** Batches before it, and it as the last. */
  works: readonly projection.BatchWork[];
  /** Milliseconds within which it should finish; 0: no deadline. */
  finishWithinMs: number;
  /** How far earlier projections were off. */
  pastErrors: errors.RatioErrors;
  random: () => number;
  wantsTable: boolean;
}

/** Resolves once all simulations are done; yields to the event loop between them. */
export async function makeQuote(question: Question): Promise<Quote> {
  const samples = await simulateAll(question, question.works, RUNS, 0);
  const ends = samples.map((one) => one.endMs);
  const model = samples.map((one) => one.modelMs);
  const table = question.wantsTable ? await tableOf(question) : [];
  return {
    begin: bandOf(samples.map((one) => one.beginMs)),
    end: bandOf(ends),
    lateShare: question.finishWithinMs > 0 ? shareOver(ends, question.finishWithinMs) : null,
    modelMs: roundedOrNull(statistics.quantile(model, MEDIAN)),
    best: bestOf(table),
    table,
  };
}

interface Sample {
  beginMs: number;
  endMs: number;
  modelMs: number;
}

async function simulateAll(question: Question, works: readonly projection.BatchWork[], runs: number, startMs: number): Promise<Sample[]> {
  const samples: Sample[] = [];
  for (let count = 0; count < runs; count += 1) {
    const draws = question.cells.map(() => Math.floor(question.random() * projection.ERROR_QUANTILES));
    const { beginMs, endMs } = projection.simulate(question.cells, works, draws, startMs);
    // Stratified sampling: the quantiles of the past errors are covered evenly.
    const factor = question.pastErrors.factorAt((count + question.random()) / runs);
    samples.push({ beginMs: beginMs * factor, endMs: endMs * factor, modelMs: endMs });
    await yieldToLoop();
  }
  return samples;
}

function yieldToLoop(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

async function tableOf(question: Question): Promise<TableRow[]> {
  const own = question.works[question.works.length - 1];
  const rows: TableRow[] = [];
  for (const cell of question.cells) {
    if (!own.regions.has(cell.region)) continue;
    const works = [...question.works.slice(0, -1), { ...own, regions: new Set([cell.region]) }];
    for (let inHours = 0; inHours < TABLE_HOURS; inHours += 1) {
      const samples = await simulateAll(question, works, TABLE_RUNS, inHours * HOUR_MS);
      rows.push({ region: cell.region, inHours, endMs: bandOf(samples.map((one) => one.endMs)) });
    }
  }
  return rows;
}

function bestOf(table: readonly TableRow[]): Quote["best"] {
  let best: TableRow | null = null;
  for (const row of table) if (row.endMs.p50 !== null && (!best || row.endMs.p50 < best.endMs.p50!)) best = row;
  return best && { region: best.region, inHours: best.inHours };
}

function bandOf(values: readonly number[]): Band {
  const at = (quantile: number): number | null => roundedOrNull(statistics.quantile([...values], quantile));
  return { p05: at(0.05), p50: at(MEDIAN), p90: at(0.9), p95: at(0.95), p99: at(0.99) };
}

function roundedOrNull(ms: number): number | null {
  return Number.isFinite(ms) ? Math.round(ms) : null;
}

function shareOver(values: readonly number[], most: number): number {
  return values.filter((value) => value > most).length / values.length;
}
