// Runs one role as this process: settings, signals, the supervisor's root (design 10.1, 2.2).
import * as fs from "node:fs";
import * as control from "../control/program.js";
import * as router from "../router/program.js";
import * as log from "../startup/log.js";
import * as settings from "../startup/settings.js";
import * as supervisor from "../supervisor/tree.js";
import * as world from "../wire/world.js";
import * as commands from "./commands.js";

interface Program {
  root: supervisor.Supervisor;
  resettle(startup: settings.Settings): void;
  stop(): Promise<void>;
}

const LOOK_MS = 2000;

async function run(make: (startup: settings.Settings) => Program): Promise<void> {
  const file = settings.settingsPath();
  const read = settings.read(file);
  if (read.isErr) {
    process.stderr.write(`cranewind: ${read.error.message}\n`);
    process.exit(commands.EXIT.startup);
  }
  const program = make(read.value);
  supervisor.catchAll(program.root);
  let isStopping = false;
  let seen = markOf(file);
  process.on("SIGTERM", stop);
  process.on("SIGINT", stop);
  process.on("SIGHUP", reread);
  program.root.add(program.root.turns("settings", LOOK_MS, look));
  await program.root.start();
  log.state(`${read.value.node_name} is up`);

  function stop(): void {
    if (isStopping) return;
    isStopping = true;
    log.state("leaving");
    void program.stop().finally(end);
  }
  function end(): void {
    log.flushNow();
    process.exit(commands.EXIT.ok);
  }
  /** The file may change without a signal. */
  function look(): void {
    if (markOf(file) !== seen) reread();
  }
  function reread(): void {
    seen = markOf(file);
    const again = settings.read(file);
    if (again.isErr) {
      log.count("settings.denied");
      log.state(`settings: the old ones stay in force: ${again.error.message}`);
      return;
    }
    log.count("settings.reread");
    program.resettle(again.value);
  }
}

function markOf(file: string): string {
  try {
    const { mtimeMs, size } = fs.statSync(file);
    return `${mtimeMs}/${size}`;
  } catch {
    return "gone";
  }
}

export function startRouter(): Promise<void> {
  return run(function make(startup) {
    return new router.RouterProgram(new world.RealWorld(), startup);
  });
}

export function startControl(): Promise<void> {
  return run(function make(startup) {
    return new control.ControlProgram(new world.RealWorld(), startup);
  });
}
