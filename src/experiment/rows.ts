/**
 * The measured rows, their files, and the slopes fitted to them (design/experiment 3). Names of fields are columns of
 * the files: they change only with docs/experiment.md.
 */
import * as csv from "csv-stringify/sync";
import * as statistics from "simple-statistics";
import type * as experiment from "./options.js";

/** What a row was measured at. */
export interface Point {
  sweep: string;
  routers: number;
  runners: number;
  routes: number;
  tenants: number;
  controls: number;
  changesPerS: number;
  listChangesPerS: number;
  regionsUsed: number;
  seed: number;
}

/** One process over the window; of a process of many routers all but the delays are divided by `sharedBy`. */
export interface NodeRow extends Point {
  role: "control" | "router";
  node: string;
  sharedBy: number;
  seconds: number;
  cpuPercent: number;
  memoryMb: number;
  loopP50Ms: number;
  loopP99Ms: number;
  loopWorstMs: number;
  descriptors: number;
  toldBytesPerS: number;
  heardBytesPerS: number;
  toldFramesPerS: number;
  heardFramesPerS: number;
  reportsReadPerS: number;
}

/** One kind of frame at one process over the window, divided as above. */
export interface LinkRow extends Point {
  role: "control" | "router";
  node: string;
  kind: string;
  toldFramesPerS: number;
  toldBytesPerS: number;
  heardFramesPerS: number;
  heardBytesPerS: number;
}

/** All changes of a run: from the acknowledgement until in force at each router. */
export interface ChangeRow extends Point {
  sent: number;
  acknowledged: number;
  changeBytes: number;
  acknowledgeP50Ms: number;
  acknowledgeWorstMs: number;
  inForceP50Ms: number;
  inForceP99Ms: number;
  inForceWorstMs: number;
  /** Pairs of change and router that were not in force when the run ended. */
  missing: number;
}

/** A control node lost: its followers follow another, and the dials meanwhile and at its return. */
export interface LossRow extends Point {
  manner: "killed" | "frozen";
  followers: number;
  moved: number;
  movedP50Ms: number;
  movedP99Ms: number;
  movedWorstMs: number;
  dials: number;
  mostDialsIn50Ms: number;
}

/** All rows of a run or sweep. */
export interface Outcome {
  nodes: NodeRow[];
  links: LinkRow[];
  changes: ChangeRow[];
  losses: LossRow[];
}

/** A measure fitted against the swept field, by least squares. */
export interface SlopeRow {
  sweep: string;
  role: string;
  measure: string;
  points: number;
  slope: number;
  intercept: number;
  rSquared: number;
}

/** The columns that say what a row was measured at. */
export function pointOf(sweep: string, options: experiment.Options): Point {
  const { routers, runners, routes, tenants, controls, changesPerS, listChangesPerS, regionsUsed, seed } = options;
  return { sweep, routers, runners, routes, tenants, controls, changesPerS, listChangesPerS, regionsUsed, seed };
}

const DIGITS = 6;

function shown(value: number): string {
  return Number.isFinite(value) ? String(Number(value.toPrecision(DIGITS))) : "";
}

/** The columns are those of the first row; a figure that could not be measured is left empty. */
export function text(rows: readonly object[]): string {
  if (rows.length === 0) return "";
  return csv.stringify([...rows], { header: true, cast: { number: shown } });
}

/** NaN when there is nothing to tell. */
export function quantile(values: readonly number[], share: number): number {
  return values.length === 0 ? Number.NaN : statistics.quantile([...values], share);
}

/** Least squares; null for fewer than two places. */
export function slope(pairs: readonly [number, number][]): { slope: number; intercept: number; rSquared: number } | null {
  if (new Set(pairs.map(first)).size < 2) return null;
  const points = pairs.map(copied);
  const line = statistics.linearRegression(points);
  return { slope: line.m, intercept: line.b, rSquared: statistics.rSquared(points, statistics.linearRegressionLine(line)) };
}

function first(pair: readonly [number, number]): number {
  return pair[0];
}

function copied(pair: readonly [number, number]): [number, number] {
  return [pair[0], pair[1]];
}

const MEASURES = ["cpuPercent", "memoryMb", "descriptors", "toldBytesPerS", "heardBytesPerS", "toldFramesPerS", "heardFramesPerS"] as const;

/** A line for each role and measure of a sweep: the mean of the role's processes against the swept field. */
export function slopes(sweep: string, field: keyof Point, nodes: readonly NodeRow[]): SlopeRow[] {
  const found: SlopeRow[] = [];
  for (const role of ["control", "router"] as const) {
    for (const measure of MEASURES) {
      const byX = new Map<number, number[]>();
      for (const row of nodes) {
        if (row.sweep !== sweep || row.role !== role) continue;
        const at = Number(row[field]);
        byX.set(at, [...(byX.get(at) ?? []), row[measure]]);
      }
      const pairs: [number, number][] = [];
      for (const [at, values] of byX) pairs.push([at, statistics.mean(values)]);
      const line = slope(pairs);
      if (line) found.push({ sweep, role, measure, points: pairs.length, ...line });
    }
  }
  return found;
}
