/** `cranewind tallies list|show|add|watch`: tallies as an operator sees them (docs/tallies.md). */
import * as crypto from "node:crypto";
import type * as commander from "commander";
import * as superstruct from "superstruct";
import * as tallyCalls from "../tallies/tally-calls.js";
import * as tallyRequest from "../tallies/tally-request.js";
import type * as types from "../wire/types.js";
import * as timers from "../runtime/timers.js";
import * as client from "./client.js";
import * as commands from "./commands.js";

const WATCH_MS = 1000;

const total = superstruct.type({ total: superstruct.number() });
const list = superstruct.type({
  tallies: superstruct.array(superstruct.type({ tally: superstruct.string(), total: superstruct.number() })),
});

interface Options {
  control: string;
  json?: boolean;
  id?: string;
}

/** What the commands run on, and how they end the process. */
interface Setting {
  clock: types.Clock;
  output: commands.Output;
  withExitCode(work: Promise<number>): Promise<void>;
}

function addressesOf({ control }: Options): string[] {
  return control.split(",").filter(Boolean);
}

async function showList({ clock: world, output }: Setting, options: Options): Promise<number> {
  const response = await client.send(world, addressesOf(options), { method: "GET", path: tallyCalls.LIST });
  if (response.isErr) return commands.reportFailure(output, response.error);
  const { tallies } = superstruct.create(response.value.json, list);
  if (options.json) output.line(JSON.stringify(tallies));
  else for (const row of tallies) output.line(`${row.tally}\t${row.total}`);
  return commands.EXIT.ok;
}

async function showTotal({ clock: world, output }: Setting, name: string, options: Options): Promise<number> {
  const path = `${tallyCalls.DESCRIBE}${encodeURIComponent(name)}`;
  const response = await client.send(world, addressesOf(options), { method: "GET", path });
  if (response.isErr) return commands.reportFailure(output, response.error);
  const read = superstruct.create(response.value.json, total);
  output.line(options.json ? JSON.stringify({ tally: name, ...read }) : String(read.total));
  return commands.EXIT.ok;
}

/** Sent to one node after the other with one id, so that it counts once wherever it arrived. */
async function add({ clock: world, output }: Setting, name: string, amount: string, options: Options): Promise<number> {
  const id = options.id ?? crypto.randomUUID();
  const body = Buffer.from(JSON.stringify({ instance_id: id, actor: Number(amount) }));
  const checked = tallyRequest.parseAdd(body);
  if (checked.isErr) return commands.reportFailure(output, checked.error);
  const path = `${tallyCalls.UPDATE}${encodeURIComponent(name)}`;
  const headers = { "Content-Type": "application/json" };
  const response = await client.send(world, addressesOf(options), { method: "POST", path, headers, body });
  if (response.isErr) return commands.reportFailure(output, response.error);
  output.line(options.json ? JSON.stringify({ tally: name, id, amount: checked.value.amount }) : `added; to send it again: --id ${id}`);
  return commands.EXIT.ok;
}

/** A line a second until the process is ended; failures are told and don't end it. */
async function watch(setting: Setting, name: string, options: Options): Promise<number> {
  for (;;) {
    await showTotal(setting, name, options);
    await timers.sleep(setting.clock, WATCH_MS);
  }
}

/** Adds the commands to the program. */
export function addTo(program: commander.Command, setting: Setting): void {
  const tallies = program.command("tallies").description("counts that go on at both sides of a cut (docs/tallies.md)");
  function command(words: string, description: string): commander.Command {
    return tallies
      .command(words)
      .description(description)
      .requiredOption("--control <host:port,...>", "control nodes to ask, one after the other")
      .option("--json", "as JSON");
  }
  command("list", "all tallies with their totals").action((options: Options) => setting.withExitCode(showList(setting, options)));
  command("show <tally>", "one total").action((name: string, options: Options) => setting.withExitCode(showTotal(setting, name, options)));
  command("add <tally> <amount>", "add to a tally; an id counts once, however often it is sent")
    .option("--id <id>", "of an add that is sent again")
    .action((name: string, amount: string, options: Options) => setting.withExitCode(add(setting, name, amount, options)));
  command("watch <tally>", "its total each second").action((name: string, options: Options) =>
    setting.withExitCode(watch(setting, name, options)),
  );
}
