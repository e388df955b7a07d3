// Small systems over real loopback sockets and disks, one region a control node: settings, stand-ins, calls.
import * as client from "../../src/cli/client.js";
import * as platformEmulator from "../../src/emulator/platform-emulator.js";
import * as runnerEmulator from "../../src/emulator/runner-emulator.js";
import * as settings from "../../src/settings/settings.js";
import type * as types from "../../src/wire/types.js";

export const REGIONS = ["a", "b", "c"];

/** Ports of one system: tests that run side by side take others. */
export interface Ports {
  control: number;
  directory: number;
  internal: string;
  frontend: number;
  readiness: number;
}

export interface Loopback {
  /** The first two numbers of its addresses. */
  net: string;
  ports: Ports;
  /** Address of the platform's list. */
  platform: string;
  /** Lines besides the usual ones. */
  extra?: string[];
}

export function controlAddress({ net, ports }: Loopback, index: number): string {
  return `${net}.${index + 1}.1:${ports.control}`;
}

/** disk: data_dir of a control node. */
export function startupOf(system: Loopback, role: "control" | "router", index: number, disk: string, isFirst: boolean): settings.Settings {
  const { net, ports, platform, extra = [] } = system;
  const ip = `${net}.${index + 1}.${role === "control" ? 1 : 2}`;
  const lines = [
    `node_name=${role}-${REGIONS[index]}`,
    `ip_address=${ip}`,
    `zone=${REGIONS[index]}1`,
    `region=${REGIONS[index]}`,
    ...REGIONS.map((region) => `zones.${region}1=${region}`),
    `internal_port_range=${ports.internal}`,
    `seed_nodes=${[0, 1, 2].map((seed) => controlAddress(system, seed)).join(",")}`,
    `bootstrap=${isFirst}`,
    `failure_counted=${role === "control"}`,
    "limits.memory_mb=128",
    "limits.max_open_files=512",
    `cloud_api.address=${platform}`,
    "cloud_api.rate_per_s=20",
    "bounds.grace_s=1",
    ...extra,
  ];
  if (role === "control") {
    lines.push(
      `bind_addresses.control_plane=${ip}:${ports.control}`,
      `bind_addresses.directory=${ip}:${ports.directory}`,
      `data_dir=${disk}`,
    );
  } else lines.push(`bind_addresses.frontend=${ip}:${ports.frontend}`, `bind_addresses.readiness=${ip}:${ports.readiness}`);
  return settings.parse(lines.join("\n")).unwrapOrElse((error) => {
    throw error;
  });
}

/** Less than the time after which the runner takes a test for hung, so that the error says what was waited for. */
const HANG_GUARD_MS = 600_000;

/** Turns the event loop until it is so. How long that takes on a busy machine is no matter. */
export async function until(what: string, isSo: () => boolean | Promise<boolean>): Promise<void> {
  const before = performance.now();
  while (!(await isSo())) {
    if (performance.now() - before > HANG_GUARD_MS) throw new Error(`never so: ${what}`);
    await new Promise(setImmediate);
  }
}

export interface StandIns {
  platform: platformEmulator.PlatformEmulator;
  runner: runnerEmulator.RunnerEmulator;
}

/** The platform, and one runner of the service "model" in zone a1. */
export async function startStandIns(
  runnerOptions: NonNullable<ConstructorParameters<typeof runnerEmulator.RunnerEmulator>[0]>,
  pageSize?: number,
): Promise<StandIns> {
  const platform = new platformEmulator.PlatformEmulator(pageSize);
  await platform.start();
  const runner = new runnerEmulator.RunnerEmulator(runnerOptions);
  await runner.start();
  platform.instances.push(listedRunner(runner, runnerOptions.capacity));
  return { platform, runner };
}

/** The runner as the platform lists it. */
export function listedRunner(runner: runnerEmulator.RunnerEmulator, capacity = 8): platformEmulator.ListedInstance {
  const { id, address } = runner;
  return { instance_id: id, service: "model", address, zone: "a1", revision: "v1", capacity, state: "ready", warmup_left_ms: 0 };
}

/** A reply of the operators' API; status 0: an error, whose code and message `json` has. */
export interface Told {
  status: number;
  json: Record<string, unknown>;
}

/** Calls the operators' API at the first of the addresses that answers. */
export async function call(clock: types.Clock, addresses: string[], method: "GET" | "POST", target: string, body?: unknown): Promise<Told> {
  const headers = { "Content-Type": "application/json", "X-Cranewind-Base-Version": "0" };
  const bytes = body === undefined ? undefined : Buffer.from(JSON.stringify(body));
  const outcome = await client.send(clock, addresses, { method, path: target, headers, body: bytes });
  if (outcome.isOk) return { status: outcome.value.status, json: outcome.value.json as Record<string, unknown> };
  return { status: 0, json: { kind: outcome.error.code, message: outcome.error.message } };
}
