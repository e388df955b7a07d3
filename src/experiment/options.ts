/** What an experiment is asked for, checked before anything starts (design/experiment 1). */
import * as os from "node:os";
import * as result from "true-myth/result";
import * as superstruct from "superstruct";
import * as errors from "../runtime/errors.js";

const whole = superstruct.integer();
const shape = superstruct.object({
  routers: whole,
  runners: whole,
  routes: whole,
  tenants: whole,
  controls: whole,
  regionsUsed: whole,
  workers: whole,
  changesPerS: superstruct.number(),
  listChangesPerS: superstruct.number(),
  seconds: superstruct.number(),
  seed: whole,
  loseControl: superstruct.boolean(),
});

/** Checked options of one run. */
export type Options = superstruct.Infer<typeof shape>;
/** The options that are numbers. */
export type CountField = Exclude<keyof Options, "loseControl">;

interface Range {
  least: number;
  most: number;
}

/** The regions of every experiment. */
export const REGIONS = 3;

/** Least and most of each figure; workers 0 means as many as the routers need. */
export const RANGES: ReadonlyMap<CountField, Range> = new Map([
  ["routers", { least: 1, most: 5000 }],
  ["runners", { least: 1, most: 10_000 }],
  ["routes", { least: 1, most: 20_000 }],
  ["tenants", { least: 1, most: 20_000 }],
  ["controls", { least: 1, most: 16 }],
  ["regionsUsed", { least: 1, most: REGIONS }],
  ["workers", { least: 0, most: 400 }],
  ["changesPerS", { least: 0, most: 50 }],
  ["listChangesPerS", { least: 0, most: 10 }],
  ["seconds", { least: 1, most: 120 }],
  ["seed", { least: 0, most: 0x7fffffff }],
]);

/** A small run. */
export const DEFAULTS: Options = {
  routers: 15,
  runners: 50,
  routes: 50,
  tenants: 20,
  controls: 5,
  regionsUsed: REGIONS,
  workers: 0,
  changesPerS: 1,
  listChangesPerS: 0,
  seconds: 6,
  seed: 1,
  loseControl: false,
};

const ROUTERS_EACH = 120;
/** More processes are refused. */
export const MAX_PROCESSES = 300;
const MEGA = 1024 * 1024;

type Checked<T> = result.Result<T, errors.CranewindError>;

function usage<T>(message: string, remedy: string): Checked<T> {
  return result.err(new errors.UsageError(message, remedy));
}

/** Checks shape and ranges; the error names the field and the range. */
export function check(raw: unknown): Checked<Options> {
  const [failure, options] = superstruct.validate(raw, shape);
  if (failure)
    return usage(`experiment field ${failure.path.join(".") || "options"}: ${failure.message}`, "see docs/experiment.md for what it takes");
  for (const [field, { least, most }] of RANGES) {
    const value = options[field];
    if (value < least || value > most) return usage(`${field} ${value} is out of range`, `give ${least} to ${most}`);
  }
  return result.ok(options);
}

/** Processes that share the hollow routers. */
export function workersOf(options: Options): number {
  return options.workers > 0 ? Math.min(options.workers, options.routers) : Math.ceil(options.routers / ROUTERS_EACH);
}

/** Control nodes, router processes, one process for all runners and the platform, and this one. */
export function processesOf(options: Options): number {
  return options.controls + workersOf(options) + 2;
}

/** A rough upper estimate from measured sizes (docs/CAPACITY.md), in megabytes. */
export function memoryMbOf(options: Options): number {
  const { controls, routers, runners, routes } = options;
  const eachRouter = 0.5 + runners * 0.0025 + routes * 0.002;
  return processesOf(options) * 90 + controls * (runners * 0.06 + routers * 0.1 + routes * 0.01) + routers * eachRouter + runners * 0.06;
}

/** Memory of this machine, in megabytes. */
export interface Machine {
  memoryMb: number;
  freeMb: number;
}

/** The memory of this machine now. */
export function machine(): Machine {
  return { memoryMb: os.totalmem() / MEGA, freeMb: os.freemem() / MEGA };
}

/** Refuses what would crowd the machine. */
export function admit(options: Options, on: Machine): Checked<Options> {
  const processes = processesOf(options);
  if (processes > MAX_PROCESSES)
    return usage(`it would start ${processes} processes, the bound is ${MAX_PROCESSES}`, "give fewer --workers or --controls");
  const needMb = Math.ceil(memoryMbOf(options));
  const mostMb = Math.floor(Math.min(on.memoryMb / 2, on.freeMb));
  if (needMb > mostMb)
    return usage(
      `it would need about ${needMb} MB, half of the machine or what is free is ${mostMb} MB`,
      "give fewer --routers, --runners or --routes",
    );
  return result.ok(options);
}
