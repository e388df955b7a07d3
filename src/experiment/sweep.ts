/** Runs one after the other over the points of a plan (design/experiment 4). */
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as result from "true-myth/result";
import * as superstruct from "superstruct";
import * as errors from "../runtime/errors.js";
import type * as types from "../wire/types.js";
import * as launchers from "./launcher.js";
import * as experiment from "./options.js";
import * as panels from "./panels.js";
import * as plot from "../plots/plot.js";
import * as rows from "./rows.js";
import * as run from "./run.js";

const SWEPT = ["routers", "runners", "routes", "tenants", "controls", "changesPerS", "listChangesPerS", "regionsUsed"] as const;
const extra = superstruct.record(superstruct.string(), superstruct.union([superstruct.number(), superstruct.boolean()]));
const shape = superstruct.object({
  base: extra,
  sweeps: superstruct.nonempty(
    superstruct.array(
      superstruct.object({
        name: superstruct.pattern(superstruct.string(), /^[a-z][a-z-]*$/),
        field: superstruct.enums(SWEPT),
        values: superstruct.nonempty(superstruct.array(superstruct.number())),
        with: superstruct.optional(extra),
      }),
    ),
  ),
});

/** One run of a sweep: which field is swept, and the options at this point. */
export interface SweepPoint {
  sweep: string;
  field: (typeof SWEPT)[number];
  options: experiment.Options;
}

type Checked<T> = result.Result<T, errors.CranewindError>;

/** All points of a plan, each checked before the first run begins. */
export function pointsOf(raw: unknown): Checked<SweepPoint[]> {
  const [failure, plan] = superstruct.validate(raw, shape);
  if (failure)
    return result.err(
      new errors.UsageError(
        `plan field ${failure.path.join(".") || "the file"}: ${failure.message}`,
        "see docs/experiment.md for the plan's fields",
      ),
    );
  const found: SweepPoint[] = [];
  for (const { name, field, values, with: more } of plan.sweeps) {
    for (const value of values) {
      const options = experiment.check({ ...experiment.DEFAULTS, ...plan.base, ...more, [field]: value });
      if (options.isErr) return result.err(options.error);
      found.push({ sweep: name, field, options: options.value });
    }
  }
  return result.ok(found);
}

/** What the runs work with: where results go, and where progress is printed. */
export interface Environment {
  clock: types.Clock;
  program: string;
  out: string;
  hasPlots: boolean;
  progress(text: string): void;
}

async function playOne(point: SweepPoint, environment: Environment, of: string): Promise<rows.Outcome> {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), "cranewind-experiment-"));
  const launcher = new launchers.ProcessLauncher(environment.program, folder, point.options.seed);
  function stop(): void {
    environment.progress("interrupted: ending what was started");
    void launcher.end().finally(exitInterrupted);
  }
  function progress(step: string): void {
    const { routers, runners, routes, controls, changesPerS } = point.options;
    environment.progress(
      `${of} ${point.sweep}: ${routers} routers, ${runners} runners, ${routes} routes, ${controls} control nodes, ${changesPerS} changes/s: ${step}`,
    );
  }
  process.on("SIGINT", stop);
  process.on("SIGTERM", stop);
  try {
    const outcome = await new run.Run(environment.clock, launcher, point.options, folder, progress, point.sweep).play();
    fs.rmSync(folder, { recursive: true });
    return outcome;
  } finally {
    process.removeListener("SIGINT", stop);
    process.removeListener("SIGTERM", stop);
  }
}

function exitInterrupted(): void {
  process.exit(130);
}

/** Plays all points; one that fails is reported and left out, and the others are still measured. */
export async function play(all: readonly SweepPoint[], environment: Environment): Promise<errors.CranewindError | null> {
  for (const { options } of all) {
    const admitted = experiment.admit(options, experiment.machine());
    if (admitted.isErr) return admitted.error;
  }
  fs.mkdirSync(environment.out, { recursive: true });
  const outcome: rows.Outcome = { nodes: [], links: [], changes: [], losses: [] };
  const failures: string[] = [];
  for (const [index, point] of all.entries()) {
    try {
      const one = await playOne(point, environment, `${index + 1}/${all.length}`);
      for (const field of ["nodes", "links", "changes", "losses"] as const) (outcome[field] as unknown[]).push(...one[field]);
    } catch (cause) {
      failures.push(`${point.sweep} at ${point.field} ${point.options[point.field]}: ${errors.messageOf(cause)}`);
      environment.progress(`failed: ${failures[failures.length - 1]}`);
    }
    write(all, outcome, environment.out);
  }
  if (environment.hasPlots) await draw(all, outcome, environment.out);
  if (failures.length === 0) return null;
  return new errors.TimeoutError(`${failures.length} of ${all.length} runs failed: ${failures.join(" | ")}`, "");
}

function fieldsOf(all: readonly SweepPoint[]): Map<string, SweepPoint["field"]> {
  const fields = new Map<string, SweepPoint["field"]>();
  for (const { sweep, field } of all) fields.set(sweep, field);
  return fields;
}

/** After each run, so that what was measured stays when a later one fails. */
function write(all: readonly SweepPoint[], outcome: rows.Outcome, out: string): void {
  const slopes: rows.SlopeRow[] = [];
  for (const [sweep, field] of fieldsOf(all)) slopes.push(...rows.slopes(sweep, field, outcome.nodes));
  for (const name of ["nodes", "links", "changes", "losses"] as const)
    fs.writeFileSync(path.join(out, `${name}.csv`), rows.text(outcome[name]));
  fs.writeFileSync(path.join(out, "slopes.csv"), rows.text(slopes));
}

async function draw(all: readonly SweepPoint[], outcome: rows.Outcome, out: string): Promise<void> {
  for (const [sweep, field] of fieldsOf(all)) {
    function isOwn(row: rows.Point): boolean {
      return row.sweep === sweep;
    }
    const own: rows.Outcome = {
      nodes: outcome.nodes.filter(isOwn),
      links: [],
      changes: outcome.changes.filter(isOwn),
      losses: outcome.losses.filter(isOwn),
    };
    fs.writeFileSync(path.join(out, `${sweep}.svg`), await plot.svg(panels.panelsOf(field, own), field));
  }
}
