#!/usr/bin/env node
// The one command line: thin programs under it (design 10.1).
import * as commander from "commander";
import * as control from "../control/program.js";
import * as router from "../router/program.js";
import * as log from "../startup/log.js";
import * as settings from "../startup/settings.js";
import * as supervisor from "../supervisor/tree.js";
import * as world from "../wire/world.js";

interface Program {
  root: supervisor.Supervisor;
  stop(): Promise<void>;
}

const EXIT_STARTUP = 78;

async function run(make: (startup: settings.Settings) => Program): Promise<void> {
  const read = settings.read(settings.settingsPath());
  if (read.isErr) {
    process.stderr.write(`cranewind: ${read.error.message}\n`);
    process.exit(EXIT_STARTUP);
  }
  const program = make(read.value);
  supervisor.catchAll(program.root);
  let isStopping = false;
  function stop(): void {
    if (isStopping) return;
    isStopping = true;
    log.state("leaving");
    void program.stop().finally(end);
  }
  function end(): void {
    log.flushNow();
    process.exit(0);
  }
  process.on("SIGTERM", stop);
  process.on("SIGINT", stop);
  process.on("SIGHUP", ignored);
  await program.root.start();
  log.state(`${read.value.node_name} is up`);
}

function ignored(): void {
  log.state("settings: reread on SIGHUP");
}

function startRouter(): Promise<void> {
  return run(function make(startup) {
    return new router.RouterProgram(new world.RealWorld(), startup);
  });
}

function startControl(): Promise<void> {
  return run(function make(startup) {
    return new control.ControlProgram(new world.RealWorld(), startup);
  });
}

const command = new commander.Command("cranewind").description("Serving across regions for a language model").version("0.1.0");
command.command("router").description("run the Global Transaction Router on this node").action(startRouter);
command.command("control").description("run a control node").action(startControl);

command.parseAsync(process.argv).catch(function failed(cause: Error) {
  process.stderr.write(`cranewind: ${cause.message}\n`);
  process.exit(1);
});
