/** Projected beside seen waits as rows, lines and a plot (design/batch 12). */
import * as statistics from "simple-statistics";
import type * as plot from "../plots/plot.js";
import type * as batchDay from "./batch-day.js";

/** A row of the output; with --json these names are printed. Seconds; load is the part of places taken by others. */
export interface Row {
  batch: number;
  at_h: number;
  items: number;
  load: number;
  projected_s: number | null;
  early_s: number | null;
  late_s: number | null;
  seen_s: number;
  inside: boolean;
}

const MS_PER_S = 1000;
const S_PER_H = 3600;
const PERCENT = 100;

function seconds(ms: number | null): number | null {
  return ms === null ? null : Math.round(ms / 100) / 10;
}

function rowOf(record: batchDay.BatchRecord): Row {
  const { p05, p50, p95 } = record.quote.end;
  return {
    batch: record.number,
    at_h: Math.round((record.atMs / MS_PER_S / S_PER_H) * 100) / 100,
    items: record.count,
    load: Math.round(record.interactiveLoad * 100) / 100,
    projected_s: seconds(p50),
    early_s: seconds(p05),
    late_s: seconds(p95),
    seen_s: seconds(record.endedMs)!,
    inside: p05 !== null && record.endedMs >= p05 && (p95 === null || record.endedMs <= p95),
  };
}

/** One row a batch. */
export function rows(records: readonly batchDay.BatchRecord[]): Row[] {
  return records.map(rowOf);
}

/** What the rows come to. */
export interface Summary {
  batches: number;
  /** Part of the batches that ended inside the band of nine in ten. */
  inside: number;
  /** The median of |seen / projected - 1|. */
  medianError: number;
}

/** Counts the rows together. */
export function summaryOf(made: readonly Row[]): Summary {
  const errors = made
    .filter((row) => row.projected_s !== null && row.projected_s > 0)
    .map((row) => Math.abs(row.seen_s / row.projected_s! - 1));
  return {
    batches: made.length,
    inside: made.filter((row) => row.inside).length / Math.max(1, made.length),
    medianError: errors.length === 0 ? 0 : statistics.median(errors),
  };
}

/** The rows as lines, the first with the columns' names, the last with what they come to. */
export function lines(made: readonly Row[]): string[] {
  const head = "batch   at h  items   load  projected s    early s     late s     seen s  inside";
  const body = made.map((row) => {
    const cells = [row.batch, row.at_h, row.items, row.load, row.projected_s ?? "-", row.early_s ?? "-", row.late_s ?? "-", row.seen_s];
    const widths = [5, 7, 7, 7, 13, 11, 11, 11];
    return `${cells.map((cell, index) => String(cell).padStart(widths[index])).join("")}  ${row.inside ? "yes" : "NO"}`;
  });
  const { batches, inside, medianError } = summaryOf(made);
  const last = `${batches} batches, ${Math.round(inside * PERCENT)} of 100 inside the band, median error ${Math.round(medianError * PERCENT)} %`;
  return [head, ...body, last];
}

/** Projected against seen, a point a batch. */
export function panels(made: readonly Row[]): plot.Panel[] {
  const panel: plot.Panel = { title: "Time until the end of each batch", yTitle: "seconds", series: [] };
  for (const row of made) {
    panel.series.push({ x: row.batch, y: row.seen_s, line: "seen" });
    if (row.projected_s !== null) panel.series.push({ x: row.batch, y: row.projected_s, line: "projected" });
    if (row.early_s !== null) panel.series.push({ x: row.batch, y: row.early_s, line: "band of nine in ten" });
    if (row.late_s !== null) panel.series.push({ x: row.batch, y: row.late_s, line: "band of nine in ten, upper" });
  }
  return [panel];
}
