/**
 * The answer to "how long would it wait": plays of the projection put together into bands (design/batch 9). Between two
 * plays the caller's loop goes on, so that a quote holds up nothing.
 */
import * as statistics from "simple-statistics";
import type * as errors from "../forecast/errors.js";
import * as projection from "./projection.js";

/** Plays of one quote, and of one cell of the table by region and hour. */
const PLAYS = 60;
const TABLE_PLAYS = 5;
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
  /** Share of the plays that end after the time asked for; null: none was asked for. */
  lateShare: number | null;
  /** The median end by the model alone. */
  modelMs: number | null;
  /** Region and hour in which the batch itself would be done soonest after its submission; null: no table was asked for. */
  best: { region: string; inHours: number } | null;
  table: TableRow[];
}

/** What a quote is made from. */
export interface Question {
  cells: readonly projection.CellOutlook[];
  /** Batches before it, and it as the last. */
  works: readonly projection.Work[];
  /** Milliseconds within which it is wanted; 0: no matter. */
  finishWithinMs: number;
  /** How far earlier projections were off. */
  pastErrors: errors.RatioErrors;
  random: () => number;
  wantsTable: boolean;
}

/** Resolves once all plays are done; gives the loop back between them. */
export async function answer(question: Question): Promise<Quote> {
  const played = await playAll(question, question.works, PLAYS, 0);
  const ends = played.map((one) => one.endMs);
  const model = played.map((one) => one.modelMs);
  const table = question.wantsTable ? await tableOf(question) : [];
  return {
    begin: bandOf(played.map((one) => one.beginMs)),
    end: bandOf(ends),
    lateShare: question.finishWithinMs > 0 ? shareOver(ends, question.finishWithinMs) : null,
    modelMs: told(statistics.quantile(model, MEDIAN)),
    best: bestOf(table),
    table,
  };
}

interface Sample {
  beginMs: number;
  endMs: number;
  modelMs: number;
}

async function playAll(question: Question, works: readonly projection.Work[], plays: number, startMs: number): Promise<Sample[]> {
  const samples: Sample[] = [];
  for (let count = 0; count < plays; count += 1) {
    const draws = question.cells.map(() => Math.floor(question.random() * projection.QUANTILES));
    const { beginMs, endMs } = projection.play(question.cells, works, draws, startMs);
    // The quantiles of the past errors are gone through evenly, in an order of chance.
    const factor = question.pastErrors.factorAt((count + question.random()) / plays);
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
      const played = await playAll(question, works, TABLE_PLAYS, inHours * HOUR_MS);
      rows.push({ region: cell.region, inHours, endMs: bandOf(played.map((one) => one.endMs)) });
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
  const at = (quantile: number): number | null => told(statistics.quantile([...values], quantile));
  return { p05: at(0.05), p50: at(MEDIAN), p90: at(0.9), p95: at(0.95), p99: at(0.99) };
}

function told(ms: number): number | null {
  return Number.isFinite(ms) ? Math.round(ms) : null;
}

function shareOver(values: readonly number[], most: number): number {
  return values.filter((value) => value > most).length / values.length;
}
