/**
 * What the commands do (design 10.2). Each prints its result or one line with the remedy, and returns its exit code.
 */
import * as fs from "node:fs";
import * as configurationCheck from "../config/configuration-check.js";
import * as errors from "../runtime/errors.js";
import * as settings from "../settings/settings.js";
import * as registerValue from "../register/register-value.js";
import * as types from "../wire/types.js";
import * as batchDay from "../whatif/batch-day.js";
import * as batchScenario from "../whatif/batch-scenario.js";
import * as batchTable from "../whatif/batch-table.js";
import * as outcome from "../whatif/outcome.js";
import * as play from "../whatif/play.js";
import * as scenarios from "../whatif/scenario.js";
import * as table from "../whatif/table.js";
import * as client from "./client.js";
import * as view from "./view.js";

/** Exit codes; docs/operating.md lists them. */
export const EXIT = { ok: 0, denied: 1, usage: 2, unreachable: 3, startup: 78 } as const;

/** Where commands print: results to one side, failures to the other. */
export interface Output {
  line(text: string): void;
  failure(text: string): void;
}

function exitCodeOf(error: errors.CranewindError): number {
  if (error.code === "timeout" || error.code === "no_majority") return EXIT.unreachable;
  if (error.code === "startup") return EXIT.startup;
  return error.code === "usage" ? EXIT.usage : EXIT.denied;
}

/** Prints the error's one line; its exit code. */
export function reportFailure(output: Output, error: errors.CranewindError): number {
  output.failure(error.message);
  return exitCodeOf(error);
}

/** A file's bytes, or the error with its remedy. */
export function readFile(file: string): Buffer | errors.CranewindError {
  try {
    return fs.readFileSync(file);
  } catch (cause) {
    return new errors.UsageError(`cannot read ${file}: ${errors.messageOf(cause)}`, "name a readable file", { cause });
  }
}

/** Checks a node's settings file without a running system. */
export function checkSettings(output: Output, file: string): number {
  const read = settings.read(file);
  if (read.isErr) return reportFailure(output, read.error);
  output.line(`${file}: good settings for ${read.value.node_name} in ${read.value.zone}`);
  return EXIT.ok;
}

/** Checks a configuration file without a running system. */
export function checkConfig(output: Output, file: string): number {
  const bytes = readFile(file);
  if (bytes instanceof Error) return reportFailure(output, bytes);
  const checked = configurationCheck.parseJson(bytes).andThen(configurationCheck.check);
  if (checked.isErr) return reportFailure(output, checked.error);
  output.line(`${file}: good configuration, revision ${checked.value.revision}, ${checked.value.routes.length} routes`);
  return EXIT.ok;
}

/** Plays a day of batches, and tells projected beside seen waits. */
async function whatIfBatches(output: Output, described: unknown, isJson: boolean): Promise<number> {
  const scenario = batchScenario.checked(described);
  if (scenario.isErr) return reportFailure(output, scenario.error);
  const rows = batchTable.rows(await new batchDay.BatchDay(scenario.value).play());
  if (isJson) output.line(JSON.stringify({ rows, ...batchTable.summaryOf(rows) }, null, 2));
  else for (const line of batchTable.lines(rows)) output.line(line);
  return EXIT.ok;
}

/** Plays a described day through the router's policies. */
export function whatIf(output: Output, file: string, isJson: boolean): Promise<number> | number {
  const bytes = readFile(file);
  if (bytes instanceof Error) return reportFailure(output, bytes);
  const described = configurationCheck.parseJson(bytes);
  if (described.isOk && batchScenario.isBatchDay(described.value)) return whatIfBatches(output, described.value, isJson);
  const scenario = scenarios.parse(bytes);
  if (scenario.isErr) return reportFailure(output, scenario.error);
  if (scenario.value.surges.length > 0) {
    const made = outcome.rows(scenario.value);
    if (isJson) output.line(JSON.stringify(made, null, 2));
    else for (const line of outcome.lines(made)) output.line(line);
    return EXIT.ok;
  }
  const rows = table.rows(new play.Day(scenario.value).play());
  if (isJson) output.line(JSON.stringify(rows, null, 2));
  else for (const line of table.lines(rows)) output.line(line);
  return EXIT.ok;
}

/** Prints the newest configuration, read at a majority. */
export async function describe(clock: types.Clock, output: Output, controls: string[]): Promise<number> {
  const outcome = await client.send(clock, controls, { method: "GET", path: "/-/Config.Describe" });
  if (outcome.isErr) return reportFailure(output, outcome.error);
  output.line(JSON.stringify(outcome.value.json, null, 2));
  return EXIT.ok;
}

/** Sends a whole configuration or, with `isUpdate`, a change of named items, on top of a base revision. */
export async function apply(
  clock: types.Clock,
  output: Output,
  controls: string[],
  file: string,
  base: string,
  isUpdate: boolean,
): Promise<number> {
  if (!/^\d+$/.test(base))
    return reportFailure(output, new errors.UsageError(`--base ${base} is no revision`, "give the revision it builds on, 0 for the first"));
  const body = readFile(file);
  if (body instanceof Error) return reportFailure(output, body);
  const parsed = isUpdate ? configurationCheck.parseJson(body) : configurationCheck.parseJson(body).andThen(configurationCheck.check);
  if (parsed.isErr) return reportFailure(output, parsed.error);
  const path = isUpdate ? "/-/Config.Update" : "/-/Config.Replace";
  const headers = { "Content-Type": "application/json", "X-Cranewind-Base-Version": base };
  const outcome = await client.send(clock, controls, { method: "POST", path, headers, body });
  if (outcome.isErr) return reportFailure(output, outcome.error);
  output.line(`taken: revision ${String((outcome.value.json as { revision?: number }).revision)} (${registerValue.digest(body)})`);
  return EXIT.ok;
}

/** Starts or stops the evacuation of a zone; any other verb is wrong use. */
export async function evacuate(clock: types.Clock, output: Output, controls: string[], verb: string, zone: string): Promise<number> {
  const call = verb === "start" ? "Start" : verb === "stop" ? "Stop" : null;
  if (!call) return reportFailure(output, new errors.UsageError(`evacuate ${verb} is no order`, "use start or stop"));
  const outcome = await client.send(clock, controls, { method: "POST", path: `/-/Evacuations.${call}/${encodeURIComponent(zone)}` });
  if (outcome.isErr) return reportFailure(output, outcome.error);
  const { evacuations } = outcome.value.json as { evacuations: string[] };
  output.line(evacuations.length === 0 ? "no zone is under evacuation" : `under evacuation: ${evacuations.join(", ")}`);
  return EXIT.ok;
}

/** Prints the status of the first node that replies. */
export async function status(clock: types.Clock, output: Output, addresses: string[], isJson: boolean): Promise<number> {
  const outcome = await client.send(clock, addresses, { method: "GET", path: "/-/status" });
  if (outcome.isErr) return reportFailure(output, outcome.error);
  const { json } = outcome.value;
  if (isJson) output.line(JSON.stringify(json, null, 2));
  else for (const line of view.lines(json)) output.line(line);
  return EXIT.ok;
}

/** The statuses of all nodes that reply, or the exit code once the failure was told. */
export async function statusesOf<Status>(
  clock: types.Clock,
  output: Output,
  addresses: readonly string[],
  noAddress: string,
): Promise<Status[] | number> {
  const statuses: Status[] = [];
  let lastFailure = noAddress;
  for (const address of addresses) {
    const outcome = await client.send(clock, [address], { method: "GET", path: "/-/status" });
    if (outcome.isErr) lastFailure = outcome.error.message;
    else statuses.push(outcome.value.json as Status);
  }
  if (statuses.length > 0) return statuses;
  output.failure(lastFailure);
  return addresses.length === 0 ? EXIT.usage : EXIT.unreachable;
}
