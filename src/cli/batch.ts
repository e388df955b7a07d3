/**
 * `cranewind batch quote|submit|status|results|cancel|list` (design/batch 10; docs/batch.md): asks the control nodes, and
 * prints lines for people or, with --json, what the node told.
 */
import * as fs from "node:fs";
import type * as commander from "commander";
import * as submissions from "../batch/submission.js";
import * as plot from "../plots/plot.js";
import * as errors from "../runtime/errors.js";
import type * as types from "../wire/types.js";
import * as client from "./client.js";
import * as commands from "./commands.js";
import * as batchView from "./batch-view.js";

interface Options {
  control: string;
  json?: boolean;
  table?: boolean;
  plot?: string;
  from?: string;
}

/** The command's surroundings. */
interface Shell {
  clock: types.Clock;
  output: commands.Output;
}

type Show = (json: unknown) => string[];

function controlsOf(options: Options): string[] {
  return options.control.split(",").filter(Boolean);
}

/** Sends the call and shows what came back; resolves to the exit code. */
async function call(shell: Shell, options: Options, request: client.ClientRequest, show: Show): Promise<number> {
  const outcome = await client.send(shell.clock, controlsOf(options), request);
  if (outcome.isErr) return commands.reportFailure(shell.output, outcome.error);
  const { json } = outcome.value;
  if (options.json) shell.output.line(JSON.stringify(json, null, 2));
  else for (const line of show(json)) shell.output.line(line);
  if (options.plot)
    fs.writeFileSync(options.plot, await plot.svg(batchView.panels(json as batchView.QuoteJson), "submitted in so many hours"));
  return commands.EXIT.ok;
}

function post(path: string, body?: Buffer): client.ClientRequest {
  return { method: "POST", path: `/-/Batches.${path}`, headers: { "Content-Type": "application/json" }, body };
}

async function quote(shell: Shell, file: string, options: Options): Promise<number> {
  const body = commands.readFile(file);
  if (body instanceof Error) return commands.reportFailure(shell.output, body);
  const checked = submissions.parseOutline(body);
  if (checked.isErr) return commands.reportFailure(shell.output, checked.error);
  const wantsTable = options.table === true || options.plot !== undefined;
  return call(shell, options, post(wantsTable ? "Quote?table=true" : "Quote", body), batchView.quoteLines);
}

async function submit(shell: Shell, file: string, options: Options): Promise<number> {
  const body = commands.readFile(file);
  if (body instanceof Error) return commands.reportFailure(shell.output, body);
  const checked = submissions.parse(body);
  if (checked.isErr) return commands.reportFailure(shell.output, checked.error);
  return call(shell, options, post("Submit", body), batchView.submitLines);
}

/** The number of a batch as the path wants it, or the error with its remedy. */
function numberOf(text: string): number | errors.CranewindError {
  const number = Number(text);
  if (Number.isSafeInteger(number) && number > 0) return number;
  return new errors.UsageError(`${text} is no number of a batch`, "cranewind batch list shows all");
}

function withNumber(shell: Shell, text: string, run: (number: number) => Promise<number>): Promise<number> {
  const number = numberOf(text);
  return number instanceof Error ? Promise.resolve(commands.reportFailure(shell.output, number)) : run(number);
}

function status(shell: Shell, text: string, options: Options): Promise<number> {
  return withNumber(shell, text, (number) =>
    call(shell, options, { method: "GET", path: `/-/Batches.Status/${number}` }, (json) => [
      batchView.batchLine(json as batchView.BatchJson),
    ]),
  );
}

function cancel(shell: Shell, text: string, options: Options): Promise<number> {
  return withNumber(shell, text, (number) =>
    call(shell, options, post(`Cancel/${number}`), (json) => [batchView.batchLine(json as batchView.BatchJson)]),
  );
}

function results(shell: Shell, text: string, options: Options): Promise<number> {
  return withNumber(shell, text, (number) => {
    const path = `/-/Batches.Results/${number}?from=${encodeURIComponent(options.from ?? "0")}`;
    return call(shell, options, { method: "GET", path }, batchView.resultLines);
  });
}

function list(shell: Shell, options: Options): Promise<number> {
  return call(shell, options, { method: "GET", path: "/-/Batches.List" }, batchView.listLines);
}

/** Adds the commands to the program; `done` takes the exit code of each. */
export function add(
  program: commander.Command,
  clock: types.Clock,
  output: commands.Output,
  done: (work: Promise<number>) => Promise<void>,
): void {
  const shell: Shell = { clock, output };
  const batch = program.command("batch").description("work that may wait: ask how long, submit, follow, cancel");
  function command(name: string, description: string): commander.Command {
    return batch
      .command(name)
      .description(description)
      .requiredOption("--control <host:port,...>", "control nodes to ask, one after the other")
      .option("--json", "as the node tells it");
  }
  command("quote <file>", "how long a batch would wait, without submitting it")
    .option("--table", "also by region and hour of the submission")
    .option("--plot <file.svg>", "draw the table into a file")
    .action((file: string, options: Options) => done(quote(shell, file, options)));
  command("submit <file>", "submit a batch; the same file again is the same batch").action((file: string, options: Options) =>
    done(submit(shell, file, options)),
  );
  command("status <number>", "one batch: its place, its items, its projected and seen times").action((number: string, options: Options) =>
    done(status(shell, number, options)),
  );
  command("results <number>", "the answers to its items, a hundred at a time")
    .option("--from <index>", "the first item", "0")
    .action((number: string, options: Options) => done(results(shell, number, options)));
  command("cancel <number>", "send no more of its items; those at work end").action((number: string, options: Options) =>
    done(cancel(shell, number, options)),
  );
  command("list", "all batches that are remembered").action((options: Options) => done(list(shell, options)));
}
