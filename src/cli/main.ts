/**
 * The command line behind the launcher (design 10.1): the roles of a node, and the commands of an operator. Running
 * this file parses the arguments of the process.
 */
import * as commander from "commander";
import * as command from "../experiment/command.js";
import * as timers from "../runtime/timers.js";
import * as asks from "./ask.js";
import * as batch from "./batch.js";
import * as capacity from "./capacity.js";
import * as commands from "./commands.js";
import * as duties from "./duties.js";
import * as roles from "./roles.js";
import * as rollout from "./rollout.js";
import * as tallies from "./tallies.js";
import * as tenants from "./tenants.js";
import * as trials from "./try.js";

const clock = new timers.SystemClock();
const output: commands.Output = {
  line(text) {
    process.stdout.write(`${text}\n`);
  },
  failure(text) {
    process.stderr.write(`cranewind: ${text}\n`);
  },
};

interface Options {
  control: string;
  base: string;
  json?: boolean;
  watch?: boolean;
  folder: string;
}

function listOf(option: string): string[] {
  return option.split(",").filter(Boolean);
}

/** Commands end with their own exit code; roles and `try` run on. */
function withExitCode(work: Promise<number> | number): Promise<void> {
  return Promise.resolve(work).then(function ended(code) {
    process.exitCode = code;
  });
}

const program = new commander.Command("cranewind")
  .description("Serving across regions for a language model")
  .version("0.1.0")
  .addHelpText("after", "\nExit codes: 0 done, 1 denied, 2 wrong use, 3 unreachable or no majority, 78 bad settings.");

const metricsOption = ["--metrics <port/path>", "tell the process's figures there, as Prometheus text"] as const;
program
  .command("router")
  .description("run the Global Transaction Router on this node")
  .option(...metricsOption)
  .action(roles.startRouter);
program
  .command("control")
  .description("run a control node")
  .option(...metricsOption)
  .action(roles.startControl);

const controls = ["--control <host:port,...>", "control nodes to ask, one after the other"] as const;

const checks = program.command("check").description("check a file without a running system");
checks
  .command("settings <file>")
  .description("check a node's settings file")
  .action(function settings(file: string) {
    return withExitCode(commands.checkSettings(output, file));
  });
checks
  .command("config <file>")
  .description("check a configuration")
  .action(function config(file: string) {
    return withExitCode(commands.checkConfig(output, file));
  });

program
  .command("describe")
  .description("print the newest configuration, read at a majority")
  .requiredOption(...controls)
  .action(function describe(options: Options) {
    return withExitCode(commands.describe(clock, output, listOf(options.control)));
  });

program
  .command("apply <file>")
  .description("send a whole configuration")
  .requiredOption(...controls)
  .requiredOption("--base <revision>", "the revision it builds on, 0 for the first")
  .action(function apply(file: string, options: Options) {
    return withExitCode(commands.apply(clock, output, listOf(options.control), file, options.base, false));
  });

program
  .command("update <file>")
  .description("change named items of the configuration")
  .requiredOption(...controls)
  .requiredOption("--base <revision>", "the revision it builds on")
  .action(function update(file: string, options: Options) {
    return withExitCode(commands.apply(clock, output, listOf(options.control), file, options.base, true));
  });

program
  .command("evacuate <start|stop> <zone>")
  .description("send nothing more to a zone's runners, or take that back")
  .requiredOption(...controls)
  .action(function evacuate(verb: string, zone: string, options: Options) {
    return withExitCode(commands.evacuate(clock, output, listOf(options.control), verb, zone));
  });

program
  .command("status")
  .description("members, voters, cells and counters of a node (a router: its readiness address)")
  .requiredOption(...controls)
  .option("--json", "as the node tells it")
  .action(function status(options: Options) {
    return withExitCode(commands.status(clock, output, listOf(options.control), options.json === true));
  });

program
  .command("capacity")
  .description("how much more the fleet can take, a cell and service a line")
  .requiredOption(...controls)
  .option("--json", "rows as JSON")
  .action(function more(options: Options) {
    return withExitCode(capacity.capacity(clock, output, listOf(options.control), options.json === true));
  });

program
  .command("tenants")
  .description("what each tenant uses of its limit (name all control nodes)")
  .requiredOption(...controls)
  .option("--json", "rows as JSON")
  .option("--watch", "again every two seconds")
  .action(function showTenants(options: Options) {
    const { json, watch } = options;
    const how = { isJson: json === true, isWatching: watch === true };
    return withExitCode(tenants.tenants(clock, output, listOf(options.control), how));
  });

program
  .command("duties")
  .description("who holds the duties at the platform, and what is open (name all control nodes)")
  .requiredOption(...controls)
  .option("--json", "as the nodes tell it")
  .action(function showDuties(options: Options) {
    return withExitCode(duties.duties(clock, output, listOf(options.control), options.json === true));
  });

const rollouts = program.command("rollout").description("new versions of a service (docs/design/rollouts.md)");
rollouts
  .command("start <service> <version> <seconds>")
  .description("start a roll-out; in this release it is reverted at once")
  .requiredOption(...controls)
  .action(function startRollout(service: string, version: string, durationS: string, options: Options) {
    return withExitCode(rollout.start(clock, output, listOf(options.control), { service, version, durationS }));
  });
rollouts
  .command("status <service>")
  .description("how far the newest roll-out of a service is")
  .requiredOption(...controls)
  .action(function rolloutStatus(service: string, options: Options) {
    return withExitCode(rollout.status(clock, output, listOf(options.control), service));
  });

program
  .command("whatif <file>")
  .description("play a described day through the router's policies")
  .option("--json", "rows as JSON")
  .action(function whatIf(file: string, options: Options) {
    return withExitCode(commands.whatIf(output, file, options.json === true));
  });

program
  .command("ask")
  .description("send one request through a router")
  .requiredOption("--router <host:port>", "where the router takes clients")
  .requiredOption("--host <name>", "host of the route")
  .requiredOption("--path <path>", "path of the request")
  .option("--prompt <id:tokens,...>", "parts of the prompt", "")
  .option("--key <key>", "key of a tenant", "")
  .option("--budget-ms <ms>", "how long to wait", "10000")
  .action(function ask(options: asks.AskOptions) {
    return withExitCode(asks.ask(output, options));
  });

program
  .command("try")
  .description("run a small system on loopback against stand-ins")
  .requiredOption("--folder <path>", "where its settings, disks and logs go")
  .action(function trial(options: Options) {
    return trials.run(output, options.folder);
  });

command.add(program, clock, output);
batch.add(program, clock, output, withExitCode);
tallies.addTo(program, { clock, output, withExitCode });

function exitOf(cause: commander.CommanderError): number {
  return cause.exitCode === 0 ? commands.EXIT.ok : commands.EXIT.usage;
}

/** Wrong use gets one line with its remedy, like any other failure. */
function reportWrongUse(text: string): void {
  output.failure(
    `${text
      .trim()
      .replace(/^error: /, "")
      .replace(/\n/g, " ")}; run cranewind --help for what there is`,
  );
}

function applyErrorHandling(command: commander.Command): void {
  command.exitOverride().configureOutput({ outputError: reportWrongUse });
  for (const child of command.commands) applyErrorHandling(child);
}

applyErrorHandling(program);
process.stdout.on("error", function closed() {
  process.exit(commands.EXIT.ok);
});
program.parseAsync(process.argv).catch(function failed(cause: Error) {
  if (cause instanceof commander.CommanderError) {
    process.exitCode = exitOf(cause);
    return;
  }
  output.failure(`${cause.message}; see docs/operating.md`);
  process.exit(commands.EXIT.denied);
});
