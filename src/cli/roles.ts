/**
 * Runs one role as this process: settings, signals, the supervisor's root (design 10.1, 2.2).
 *
 * SIGTERM and SIGINT let the program leave in order; SIGHUP, or a change of the file, reads the settings again, and a
 * bad file leaves the old ones in force.
 */
import * as fs from "node:fs";
import * as controlProgram from "../control/control-program.js";
import * as routerProgram from "../router/router-program.js";
import * as errors from "../runtime/errors.js";
import * as log from "../runtime/log.js";
import * as settings from "../settings/settings.js";
import * as tree from "../supervisor/tree.js";
import * as timers from "../runtime/timers.js";
import * as commands from "./commands.js";

interface Program {
  root: tree.Supervisor;
  applySettings(changed: settings.Settings): void;
  stop(): Promise<void>;
}

const SETTINGS_CHECK_MS = 2000;

/** Options of a role's command line. */
export interface RoleOptions {
  /** PORT/PATH where the process tells its own figures; nowhere without it. */
  metrics?: string;
}

function endWith(message: string, code: number): never {
  process.stderr.write(`cranewind: ${message}\n`);
  process.exit(code);
}

/** The library is loaded only where figures are asked for: a role starts faster without it. */
async function addMetrics(root: tree.Supervisor, host: string, option: string): Promise<void> {
  const metrics = await import("../metrics/prometheus.js");
  const endpoint = metrics.parseEndpoint(option);
  if (endpoint.isErr) endWith(endpoint.error.message, commands.EXIT.usage);
  root.add(metrics.metricsChild(host, endpoint.value));
}

async function run(createProgram: (startup: settings.Settings) => Program, { metrics }: RoleOptions): Promise<void> {
  const file = settings.settingsPath();
  // Taken before the file is read: a change in between is found at the next check.
  let fingerprint = fingerprintOf(file);
  const read = settings.read(file);
  if (read.isErr) endWith(read.error.message, commands.EXIT.startup);
  const program = createProgram(read.value);
  tree.superviseProcess(program.root);
  let isStopping = false;
  function exit(): void {
    log.flushNow();
    process.exit(commands.EXIT.ok);
  }
  function stop(): void {
    if (isStopping) return;
    isStopping = true;
    log.state("leaving");
    void program.stop().finally(exit);
  }
  process.on("SIGTERM", stop);
  process.on("SIGINT", stop);
  function reload(): void {
    fingerprint = fingerprintOf(file);
    const reloaded = settings.read(file);
    if (reloaded.isErr) {
      log.count("settings.denied");
      log.state(`settings: the old ones stay in force: ${reloaded.error.message}`);
      return;
    }
    log.count("settings.reread");
    program.applySettings(reloaded.value);
  }
  process.on("SIGHUP", reload);
  /** The file may change without a signal. */
  function checkFile(): void {
    if (fingerprintOf(file) !== fingerprint) reload();
  }
  program.root.add(program.root.turns("settings", SETTINGS_CHECK_MS, checkFile));
  if (metrics !== undefined) await addMetrics(program.root, read.value.ip_address, metrics);
  await startOrEnd(program.root, read.value.node_name);
  log.state(`${read.value.node_name} is up`);
}

/** A process that can't start ends, with a line that says why: whoever runs it starts it again, or mends the settings. */
async function startOrEnd(root: tree.Supervisor, name: string): Promise<void> {
  try {
    await root.start();
  } catch (cause) {
    log.flushNow();
    endWith(`${name} cannot start: ${errors.messageOf(cause)}`, commands.EXIT.startup);
  }
}

function fingerprintOf(file: string): string {
  try {
    const { mtimeMs, size } = fs.statSync(file);
    return `${mtimeMs}/${size}`;
  } catch {
    return "gone";
  }
}

/** Runs a router until it is told to stop; ends the process with code 78 where the settings are bad. */
export function startRouter(options: RoleOptions): Promise<void> {
  return run(function createRouter(initial) {
    return new routerProgram.RouterProgram(new timers.SystemClock(), initial);
  }, options);
}

/** Runs a control node, in the same way. */
export function startControl(options: RoleOptions): Promise<void> {
  return run(function createControl(initial) {
    return new controlProgram.ControlProgram(new timers.SystemClock(), initial);
  }, options);
}
