// A small system of real processes on loopback for the runs in this folder: settings, start, stop, and stand-ins.
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as net from "node:net";
import * as path from "node:path";
import * as platformEmulator from "../../src/emulator/platform-emulator.js";
import * as runnerEmulator from "../../src/emulator/runner-emulator.js";
import * as listen from "../../src/wire/listen.js";

const CONTROL_PORT = 9101;
const DIRECTORY_PORT = 9102;
const FRONT_PORT = 9201;
const READY_PORT = 9202;
export const INTERNAL_PORT = 9301;
const RUNNERS_EACH = 2;
/** Second numbers of the loopback addresses, away from those of tests and of `try`. */
const FIRST_NET = 221;
const NETS = 30;
/** Held by the run that uses a net; nothing else listens there. */
const CLAIM_PORT = 9401;
let ownNet = FIRST_NET;

export type Role = "control" | "router";

export interface NodeProcess {
  name: string;
  role: Role;
  ip: string;
  child: childProcess.ChildProcess | null;
}

/** Takes loopback addresses that no other run uses, until this process ends. */
export async function claimAddresses(): Promise<void> {
  for (let turn = 0; turn < NETS; turn += 1) {
    ownNet = FIRST_NET + ((process.pid + turn) % NETS);
    const server = net.createServer().unref();
    const isFree = await listen.listen(server, `127.${ownNet}.255.1:${CLAIM_PORT}`).then(
      () => true,
      () => false,
    );
    if (isFree) return;
  }
  throw new Error("all loopback addresses of such runs are in use; end the other runs");
}

export function ipOf(index: number, role: Role): string {
  return `127.${ownNet}.${index + 1}.${role === "control" ? 1 : 2}`;
}

export function controlOf(index: number): string {
  return `${ipOf(index, "control")}:${CONTROL_PORT}`;
}

export function frontOf(index: number): string {
  return `${ipOf(index, "router")}:${FRONT_PORT}`;
}

export function readinessOf(index: number): string {
  return `${ipOf(index, "router")}:${READY_PORT}`;
}

/** What a run changes of a system. */
export interface SystemOptions {
  /** Lines added to the settings of each node; the last line of a name counts. */
  settings?: readonly string[];
  /** How the runner with this index in its region behaves. */
  runner?: (index: number, place: number) => Partial<runnerEmulator.RunnerOptions>;
}

/** Nodes of one system; `count` control nodes, each in a zone and region of its own. Routers are spread over these. */
export class ProcessSystem {
  readonly platform = new platformEmulator.PlatformEmulator();
  readonly runners: runnerEmulator.RunnerEmulator[] = [];
  private readonly stops: (() => void)[] = [];
  private readonly ends: Promise<void>[] = [];

  constructor(
    private readonly folder: string,
    readonly count: number,
    private readonly options: SystemOptions = {},
  ) {
    fs.mkdirSync(folder, { recursive: true });
  }

  async startStandIns(): Promise<void> {
    await this.platform.start();
    for (let index = 0; index < this.count; index += 1) {
      for (let place = 0; place < RUNNERS_EACH; place += 1) await this.startRunner(index, place);
    }
  }

  private async startRunner(index: number, place: number): Promise<void> {
    const behaviour = { eventMs: 5, tokensPerMs: 20, events: 4, capacity: 16, ...this.options.runner?.(index, place) };
    const runner = new runnerEmulator.RunnerEmulator({ ...behaviour, id: `i-${index}-${place}` });
    this.runners.push(runner);
    await runner.start(`127.${ownNet}.${index + 1}.${10 + place}`);
    this.stops.push(() => runner.stop());
    const listed = { service: "model", address: runner.address, zone: `z${index}`, revision: "v1", capacity: behaviour.capacity };
    this.platform.instances.push({ ...listed, instance_id: runner.id, state: "ready", warmup_left_ms: 0 });
  }

  folderOf(index: number): string {
    return path.join(this.folder, `control-${index}`);
  }

  private settingsOf(index: number, role: Role, isFirst: boolean): string {
    const indexes = Array.from({ length: this.count }, (_, each) => each);
    const ip = ipOf(index, role);
    const lines = [
      `node_name=${role}-${index}`,
      `role=${role}`,
      `ip_address=${ip}`,
      `zone=z${index % this.count}`,
      `region=r${index % this.count}`,
      ...indexes.map((each) => `zones.z${each}=r${each}`),
      `internal_port_range=${INTERNAL_PORT},${INTERNAL_PORT + 14}`,
      `seed_nodes=${indexes.slice(0, 3).map(controlOf).join(",")}`,
      `bootstrap=${isFirst}`,
      `failure_counted=${role === "control"}`,
      "fault_tolerance.machines=2",
      "limits.memory_mb=256",
      "limits.max_open_files=1024",
      `cloud_api.address=${this.platform.address}`,
      "cloud_api.rate_per_s=20",
      "cloud_api.max_lag_ms=100",
      "bounds.grace_s=3",
      "bounds.retry_ratio=0.2",
      "bounds.retry_extra=50",
      "bounds.warmup_overshoot=1.5",
      "bounds.warmup_tolerance=5",
      "bounds.quota_overshoot=0.1",
      "bounds.quota_tolerance=10",
    ];
    if (role === "router") lines.push(`bind_addresses.frontend=${frontOf(index)}`, `bind_addresses.readiness=${readinessOf(index)}`);
    else {
      lines.push(`bind_addresses.control_plane=${controlOf(index)}`, `bind_addresses.directory=${ip}:${DIRECTORY_PORT}`);
      lines.push(`data_dir=${this.folderOf(index)}`);
    }
    lines.push(...(this.options.settings ?? []));
    return `${lines.join("\n")}\n`;
  }

  /** Writes a node's settings, with these lines added. */
  writeSettings(index: number, role: Role, isFirst: boolean, more: readonly string[] = []): string {
    const file = path.join(this.folder, `${role}-${index}.conf`);
    fs.writeFileSync(file, `${this.settingsOf(index, role, isFirst)}${more.map((line) => `${line}\n`).join("")}`);
    return file;
  }

  /** words: before the program's name, for the runtime. */
  start(index: number, role: Role, program: string, isFirst: boolean, words: string[] = [], environment = {}): NodeProcess {
    const name = `${role}-${index}`;
    const settings = this.writeSettings(index, role, isFirst);
    const log = fs.openSync(path.join(this.folder, `${name}.log`), "a");
    const child = childProcess.spawn(process.execPath, [...words, program, role], {
      env: { ...process.env, ...environment, CRANEWIND_NODE_FILE: settings },
      stdio: ["ignore", log, log],
    });
    fs.closeSync(log);
    this.stops.push(() => child.kill("SIGKILL"));
    this.ends.push(new Promise((resolve) => child.once("close", () => resolve())));
    return { name, role, ip: ipOf(index, role), child };
  }

  /** Kills all processes; resolves when they have ended, and their addresses are free. */
  async end(): Promise<void> {
    for (const stop of this.stops) stop();
    this.platform.stop();
    await Promise.all(this.ends);
  }
}

/** Asks a process to leave in order; resolves when it has ended. */
export function leave(node: NodeProcess): Promise<void> {
  const { child } = node;
  return new Promise((resolve) => {
    if (!child || child.exitCode !== null || child.signalCode !== null) {
      resolve();
      return;
    }
    child.once("exit", () => resolve());
    child.kill("SIGTERM");
  });
}

export function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
