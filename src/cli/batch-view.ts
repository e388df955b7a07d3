/** What the batch commands print: lines for people, and the plot of the table (docs/batch.md). */
import type * as quotes from "../batch/quote.js";
import type * as plot from "../plots/plot.js";
import type * as batchSchema from "../wire/batch-schema.js";

/** A quote as a control node tells it. */
export interface QuoteJson extends quotes.Quote {
  confidence: { isSure: boolean; reasons: string[] };
  medianError: number;
}

/** A batch as a control node tells it; times are milliseconds since its submission. */
export interface BatchJson {
  number: number;
  key: string;
  route: string;
  state: string;
  place: number;
  items: Record<string, number>;
  ageMs: number;
  startedMs: number | null;
  endedMs: number | null;
  wantedWithinMs: number | null;
  projected: batchSchema.Projection | null;
}

interface ResultJson {
  id: string;
  state: string;
  result?: { status: number; body: string } | null;
}

const MINUTE_S = 60;
const HOUR_S = 3600;
const MS_PER_S = 1000;
const MS_PER_MINUTE = MS_PER_S * MINUTE_S;
const SHOWN_CHARACTERS = 60;

/** A time for people; null: more than a day. */
export function duration(ms: number | null): string {
  if (ms === null) return "over a day";
  const seconds = ms / MS_PER_S;
  if (seconds < MINUTE_S) return `${seconds.toFixed(1)} s`;
  const minutes = Math.floor(seconds / MINUTE_S);
  if (seconds < HOUR_S) return `${minutes} min ${Math.round(seconds % MINUTE_S)} s`;
  return `${Math.floor(seconds / HOUR_S)} h ${minutes % MINUTE_S} min`;
}

function bandLine(name: string, band: quotes.Band): string {
  return `${name.padEnd(10)}${duration(band.p50)} at the median, ${duration(band.p90)} in 90 of 100, ${duration(band.p99)} in 99`;
}

/** A quote, a line each for begin, end and what else was asked. */
export function quoteLines(json: unknown): string[] {
  const quote = json as QuoteJson;
  const made = [bandLine("begins", quote.begin), bandLine("ends", quote.end)];
  made.push(`band      nine of ten ends lie between ${duration(quote.end.p05)} and ${duration(quote.end.p95)}`);
  if (quote.lateShare !== null) made.push(`late      ${Math.round(quote.lateShare * 100)} of 100 end after the time asked for`);
  if (quote.best) made.push(`best      ${quote.best.region}, submitted in ${quote.best.inHours} h`);
  if (!quote.confidence.isSure) made.push(`unsure    ${quote.confidence.reasons.join("; ")}`);
  return [...made, ...tableLines(quote.table)];
}

/** Regions as columns, hours as rows: the median time until the end. */
function tableLines(table: readonly quotes.TableRow[]): string[] {
  const regions = [...new Set(table.map((row) => row.region))];
  if (regions.length === 0) return [];
  const made = [`${"in hours".padEnd(10)}${regions.map((region) => region.padStart(16)).join("")}`];
  for (const hour of new Set(table.map((row) => row.inHours))) {
    const cells = regions.map((region) => {
      const row = table.find((item) => item.region === region && item.inHours === hour);
      return duration(row?.endMs.p50 ?? null).padStart(16);
    });
    made.push(`${String(hour).padEnd(10)}${cells.join("")}`);
  }
  return made;
}

/** A submission: its number, its place and its quote. */
export function submitLines(json: unknown): string[] {
  const { number, place, quote } = json as { number: number; place: number; quote: QuoteJson };
  return [`submitted number ${number}, place ${place}`, ...quoteLines(quote)];
}

/** One batch in one line. */
export function batchLine(batch: BatchJson): string {
  const counts = Object.entries(batch.items).map(([state, count]) => `${count} ${state}`);
  const place = batch.place > 0 ? `, place ${batch.place}` : "";
  const projected = batch.projected ? `, projected to end after ${duration(batch.projected.endMs)}` : "";
  const seen = batch.endedMs === null ? `, ${duration(batch.ageMs)} old` : `, ended after ${duration(batch.endedMs)}`;
  return `batch     ${batch.number} ${batch.key} ${batch.route}: ${batch.state}${place}; ${counts.join(", ")}${seen}${projected}`;
}

/** All batches, and how many more may be open. */
export function listLines(json: unknown): string[] {
  const { batches, bounds } = json as { batches: BatchJson[]; bounds: { open: number } };
  const open = batches.filter((batch) => batch.place > 0).length;
  return [...batches.map(batchLine), `open      ${open} of at most ${bounds.open}`];
}

/** The answers to some items, a line each. */
export function resultLines(json: unknown): string[] {
  const { items, next } = json as { items: ResultJson[]; next: number | null };
  const made = items.map(resultLine);
  return next === null ? made : [...made, `more      --from ${next}`];
}

function resultLine(item: ResultJson): string {
  const body = item.result?.body.replace(/\s+/g, " ").slice(0, SHOWN_CHARACTERS) ?? "";
  const text = item.result ? `${item.result.status} ${body}` : item.state === "done" ? "recorded, not in reach now" : "";
  return `item      ${item.id} ${item.state} ${text}`.trimEnd();
}

/** The table of a quote as a plot: median and nine of ten, a line a region. */
export function panels(quote: QuoteJson): plot.Panel[] {
  const median: plot.Panel = { title: "Time until the end, median", yTitle: "minutes", series: [] };
  const most: plot.Panel = { title: "Time until the end, nine of ten", yTitle: "minutes", series: [] };
  for (const { region, inHours, endMs } of quote.table) {
    if (endMs.p50 !== null) median.series.push({ x: inHours, y: endMs.p50 / MS_PER_MINUTE, line: region });
    if (endMs.p90 !== null) most.series.push({ x: inHours, y: endMs.p90 / MS_PER_MINUTE, line: region });
  }
  return [median, most];
}
