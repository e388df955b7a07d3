/** An overload day counted a kind at a time, with and without admission (design/admission 7). */
import type * as client from "./client.js";
import * as overload from "./overload.js";
import type * as scenarios from "./scenario.js";

/** A row of the output; with --json these names are printed. Times are milliseconds, shares 0 to 1. */
export interface Row {
  kind: string;
  admission: "on" | "off";
  asked: number;
  admitted: number;
  in_aim: number;
  late: number;
  /** Admitted, and not done by the deadline. */
  too_late: number;
  /** Neither a reply nor a refusal. */
  lost: number;
  refused: number;
  refusals: number;
  refusal_p50_ms: number;
  refusal_p99_ms: number;
  refusal_worst_ms: number;
  /** Mean part of places free when a request was refused. */
  unused: number;
  worth: number;
  /** Served part of the largest tenth, of the fifth below it, and of all. */
  largest: number;
  large: number;
  served: number;
}

const TENTH = 0.1;
const THREE_TENTHS = 0.3;

function quantile(sorted: readonly number[], share: number): number {
  return Math.round(sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0);
}

function byNumber(left: number, right: number): number {
  return left - right;
}

function bySize(left: client.RequestRecord, right: client.RequestRecord): number {
  return right.relativeSize - left.relativeSize;
}

function isServed(item: client.RequestRecord): boolean {
  return item.outcome === "in_aim" || item.outcome === "late";
}

function servedFraction(items: readonly client.RequestRecord[]): number {
  return items.length === 0 ? 1 : Math.round((1000 * items.filter(isServed).length) / items.length) / 1000;
}

function mean(values: readonly number[]): number {
  let sum = 0;
  for (const value of values) sum += value;
  return values.length === 0 ? 0 : Math.round((1000 * sum) / values.length) / 1000;
}

function valueOf(item: client.RequestRecord): number {
  return item.value;
}

/** Counts the requests of one kind. */
export function buildRow(kind: string, isOn: boolean, items: readonly client.RequestRecord[]): Row {
  const times = items.flatMap(refusalLatenciesOf).sort(byNumber);
  const sorted = [...items].sort(bySize);
  const tenth = Math.round(items.length * TENTH);
  const three = Math.round(items.length * THREE_TENTHS);
  const counts = new Map<string, number>();
  let admitted = 0;
  for (const item of items) {
    counts.set(item.outcome, (counts.get(item.outcome) ?? 0) + 1);
    if (item.admissions > 0) admitted += 1;
  }
  return {
    kind,
    admission: isOn ? "on" : "off",
    asked: items.length,
    admitted,
    in_aim: counts.get("in_aim") ?? 0,
    late: counts.get("late") ?? 0,
    too_late: counts.get("too_late") ?? 0,
    lost: counts.get("open") ?? 0,
    refused: counts.get("refused") ?? 0,
    refusals: times.length,
    refusal_p50_ms: quantile(times, 0.5),
    refusal_p99_ms: quantile(times, 0.99),
    refusal_worst_ms: Math.round(times[times.length - 1] ?? 0),
    unused: mean(items.flatMap(freeCapacityOf)),
    worth: mean(items.map(valueOf)),
    largest: servedFraction(sorted.slice(0, tenth)),
    large: servedFraction(sorted.slice(tenth, three)),
    served: servedFraction(items),
  };
}

function refusalLatenciesOf(item: client.RequestRecord): number[] {
  return item.refusalLatenciesMs;
}

function freeCapacityOf(item: client.RequestRecord): number[] {
  return item.freeCapacity;
}

/** The same day with and without admission. */
export function rows(scenario: scenarios.Scenario): Row[] {
  const made: Row[] = [];
  for (const isOn of [false, true]) {
    const records = new overload.OverloadDay(scenario, isOn).play();
    for (const kind of scenario.kinds)
      made.push(
        buildRow(
          kind.name,
          isOn,
          records.filter((item) => item.kind === kind.name),
        ),
      );
  }
  return made;
}

const COLUMNS: readonly (keyof Row)[] = [
  "asked",
  "admitted",
  "in_aim",
  "late",
  "too_late",
  "lost",
  "refused",
  "refusals",
  "refusal_p50_ms",
  "refusal_p99_ms",
  "refusal_worst_ms",
  "unused",
  "worth",
  "largest",
  "large",
  "served",
];

/** The rows as lines for people, the first with the columns' names. */
export function lines(made: readonly Row[]): string[] {
  const head = `${"kind".padEnd(16)}${"admission".padEnd(10)}${COLUMNS.map(padded).join("")}`;
  return [head, ...made.map(lineOf)];
}

function padded(column: string): string {
  return column.padStart(column.length + 2);
}

function lineOf(row: Row): string {
  let line = row.kind.padEnd(16) + row.admission.padEnd(10);
  for (const column of COLUMNS) line += String(row[column]).padStart(column.length + 2);
  return line;
}
