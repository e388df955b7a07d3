/** `cranewind experiment`: its options, and what each subcommand runs (design/experiment 1). */
import * as fs from "node:fs";
import * as path from "node:path";
import * as commander from "commander";
import * as commands from "../cli/commands.js";
import * as configurationCheck from "../config/configuration-check.js";
import * as errors from "../runtime/errors.js";
import type * as types from "../wire/types.js";
import * as chains from "./chain.js";
import * as measuringClock from "./measuring-clock.js";
import * as experiment from "./options.js";
import * as rows from "./rows.js";
import * as sweep from "./sweep.js";
import * as tenants from "./tenants.js";
import * as worker from "./worker.js";

const ABOUT: ReadonlyMap<experiment.CountField, string> = new Map([
  ["routers", "hollow routers"],
  ["runners", "hollow runners"],
  ["routes", "routes of the configuration"],
  ["tenants", "tenants of the configuration"],
  ["controls", "control nodes"],
  ["regionsUsed", "regions whose runners a hollow router uses, its own among them"],
  ["workers", "processes that hold the routers, 0: as many as needed"],
  ["changesPerS", "configuration changes a second"],
  ["listChangesPerS", "changes a second in the platform's list"],
  ["seconds", "length of the measured window"],
  ["seed", "seed of chance"],
]);

const MIN_TIMES = 10;
const MAX_TIMES = 100_000;

interface Raw {
  [name: string]: unknown;
}

/** An option's name as it is written: changesPerS is --changes-per-s. */
function flagOf(field: string): string {
  return field.replace(/[A-Z]/g, dashed);
}

function dashed(letter: string): string {
  return `-${letter.toLowerCase()}`;
}

function numbersOf(raw: Raw): Raw {
  const made: Raw = { loseControl: raw["loseControl"] === true };
  for (const field of ABOUT.keys()) made[field] = raw[field] === "" ? Number.NaN : Number(raw[field]);
  return made;
}

function denied(output: commands.Output, error: errors.CranewindError): number {
  output.failure(error.message);
  return error.code === "usage" ? commands.EXIT.usage : commands.EXIT.denied;
}

async function play(clock: types.Clock, output: commands.Output, places: readonly sweep.SweepPoint[], raw: Raw): Promise<number> {
  const failure = await sweep.play(places, {
    clock,
    program: process.argv[1],
    out: String(raw["out"]),
    hasPlots: raw["plots"] !== false,
    progress: output.line.bind(output),
  });
  if (failure) return denied(output, failure);
  output.line(`written to ${String(raw["out"])}`);
  return commands.EXIT.ok;
}

async function runOne(clock: types.Clock, output: commands.Output, raw: Raw): Promise<number> {
  const options = experiment.check(numbersOf(raw));
  if (options.isErr) return denied(output, options.error);
  return play(clock, output, [{ sweep: "one", field: "routers", options: options.value }], raw);
}

async function runSweep(clock: types.Clock, output: commands.Output, raw: Raw): Promise<number> {
  const file = String(raw["plan"]);
  let bytes: Buffer;
  try {
    bytes = fs.readFileSync(file);
  } catch (cause) {
    return denied(
      output,
      new errors.UsageError(`cannot read ${file}: ${errors.messageOf(cause)}`, "name a readable plan with --plan", { cause }),
    );
  }
  const places = configurationCheck.parseJson(bytes).andThen(sweep.pointsOf);
  if (places.isErr) return denied(output, places.error);
  return play(clock, output, places.value, raw);
}

/** Writes the table of measurements that are repeated so many times. */
function runTable(output: commands.Output, raw: Raw, file: string, make: (times: number) => readonly object[]): number {
  const times = Number(raw["times"]);
  if (!Number.isInteger(times) || times < MIN_TIMES || times > MAX_TIMES) {
    return denied(output, new errors.UsageError(`times ${String(raw["times"])} is out of range`, `give ${MIN_TIMES} to ${MAX_TIMES}`));
  }
  const out = String(raw["out"]);
  fs.mkdirSync(out, { recursive: true });
  fs.writeFileSync(path.join(out, file), rows.text(make(times)));
  output.line(`written to ${out}`);
  return commands.EXIT.ok;
}

/** Adds the command to the program. */
export function add(program: commander.Command, clock: types.Clock, output: commands.Output): void {
  const command = program
    .command("experiment")
    .description("measure control by real control nodes, hollow routers and hollow runners on loopback");
  const one = command
    .command("run", { isDefault: true })
    .description("one run")
    .requiredOption("--out <folder>", "where the tables go")
    .option("--lose-control", "a control node is lost after the window, once frozen and once killed")
    .option("--no-plots", "tables alone");
  for (const [field, about] of ABOUT) one.option(`--${flagOf(field)} <count>`, about, String(experiment.DEFAULTS[field]));
  one.action(async function run(raw: Raw) {
    process.exitCode = await runOne(clock, output, raw);
  });
  command
    .command("sweep")
    .description("all runs of a plan, with slopes and plots")
    .requiredOption("--plan <file>", "the plan as JSON")
    .requiredOption("--out <folder>", "where tables and plots go")
    .option("--no-plots", "tables alone")
    .action(async function sweep(raw: Raw) {
      process.exitCode = await runSweep(clock, output, raw);
    });
  command
    .command("chain")
    .description("the time of one choice at a router, by the runners of a service")
    .requiredOption("--out <folder>", "where the table goes")
    .option("--times <count>", "choices timed at each place", "1000")
    .action(function chain(raw: Raw) {
      process.exitCode = runTable(output, raw, "chain.csv", (times) => chains.table(new measuringClock.SeededClock(1), times));
    });
  command
    .command("tenants")
    .description("the time of a key's check and of a grant, and sizes, by the number of tenants")
    .requiredOption("--out <folder>", "where the table goes")
    .option("--times <count>", "checks and grants timed at each place", "20000")
    .action(function measureTenants(raw: Raw) {
      process.exitCode = runTable(output, raw, "tenants.csv", (times) => tenants.table(clock, times));
    });
  command.command("worker <seed>", { hidden: true }).action(function hold(seed: string) {
    worker.run(Number(seed));
  });
}
