/** A what-if day as rows, and as lines for people (design 11.2). */
import type * as play from "./play.js";

const PHASES: readonly play.Phase[] = ["before", "during", "after"];

/** A row of the output; with --json these names are printed. Times are milliseconds. */
export interface Row {
  kind: string;
  phase: play.Phase;
  turns: string;
  count: number;
  denied: number;
  p50: number;
  p99: number;
  keptPercent: number;
  moved: number;
}

/** One row a kind, phase and whether it was the session's first turn. */
export function rows(records: readonly play.RequestRecord[]): Row[] {
  const made: Row[] = [];
  const kinds = new Set(records.map(kindOf));
  for (const kind of kinds) {
    for (const phase of PHASES) {
      for (const isFirst of [true, false]) {
        function isIn(item: play.RequestRecord): boolean {
          return item.kind === kind && item.phase === phase && item.isFirstTurn === isFirst;
        }
        const items = records.filter(isIn);
        if (items.length > 0) made.push(buildRow(kind, phase, isFirst ? "first" : "later", items));
      }
    }
  }
  return made;
}

function buildRow(kind: string, phase: play.Phase, turns: string, items: readonly play.RequestRecord[]): Row {
  const times: number[] = [];
  let tokens = 0;
  let unread = 0;
  let moved = 0;
  for (const item of items) {
    if (item.timeToFirstEventMs !== null) times.push(item.timeToFirstEventMs);
    tokens += item.tokens;
    unread += item.uncachedTokens;
    if (item.isMoved) moved += 1;
  }
  times.sort(byNumber);
  return {
    kind,
    phase,
    turns,
    count: items.length,
    denied: items.length - times.length,
    p50: quantile(times, 0.5),
    p99: quantile(times, 0.99),
    keptPercent: tokens > 0 ? Math.round((100 * (tokens - unread)) / tokens) : 0,
    moved,
  };
}

function quantile(sorted: readonly number[], share: number): number {
  return Math.round(sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0);
}

function byNumber(left: number, right: number): number {
  return left - right;
}

function kindOf(item: play.RequestRecord): string {
  return item.kind;
}

/** The rows as lines, the first with the columns' names. */
export function lines(made: readonly Row[]): string[] {
  const head = "kind            phase   turns   count  denied  p50 ms  p99 ms  kept %  moved";
  return [head, ...made.map(lineOf)];
}

function lineOf(row: Row): string {
  const numbers = [row.count, row.denied, row.p50, row.p99, row.keptPercent, row.moved];
  const widths = [7, 8, 8, 8, 8, 7];
  let line = row.kind.padEnd(16) + row.phase.padEnd(8) + row.turns.padEnd(6);
  for (const [index, value] of numbers.entries()) line += String(value).padStart(widths[index]);
  return line;
}
