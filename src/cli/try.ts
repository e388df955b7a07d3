/**
 * `cranewind try`: a small system on loopback, each node a process of its own, against stand-ins (design 10.3, 11.1).
 */
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as path from "node:path";
import * as platformEmulator from "../emulator/platform-emulator.js";
import * as runnerEmulator from "../emulator/runner-emulator.js";
import type * as commands from "./commands.js";

const REGIONS = ["north", "south", "west"];
const RUNNERS_EACH = 2;
const CONTROL_PORT = 9101;
const DIRECTORY_PORT = 9102;
const FRONT_PORT = 9201;
const READY_PORT = 9202;
const INTERNAL_PORTS = "9301,9315";
const RESTART_DELAY_MS = 1000;

interface Node {
  name: string;
  role: "control" | "router";
  ip: string;
  settings: string;
}

function ipOf(region: number, role: number): string {
  return `127.0.${11 + region}.${role}`;
}

function nodeOf(folder: string, region: number, role: Node["role"]): Node {
  const name = `${role}-${REGIONS[region]}`;
  return { name, role, ip: ipOf(region, role === "control" ? 1 : 2), settings: path.join(folder, `${name}.conf`) };
}

function settingsOf(folder: string, node: Node, region: number, platform: string, isFirst: boolean): string {
  const zone = `${REGIONS[region]}-1`;
  const lines = [
    `node_name=${node.name}`,
    `role=${node.role}`,
    `ip_address=${node.ip}`,
    `zone=${zone}`,
    `region=${REGIONS[region]}`,
    ...REGIONS.map(zoneLine),
    `internal_port_range=${INTERNAL_PORTS}`,
    `seed_nodes=${REGIONS.map(seedOf).join(",")}`,
    `bootstrap=${isFirst}`,
    `failure_counted=${node.role === "control"}`,
    "limits.memory_mb=256",
    "limits.max_open_files=1024",
    `cloud_api.address=${platform}`,
    "cloud_api.rate_per_s=20",
    "cloud_api.max_lag_ms=100",
    "cloud_api.duties=usage_report,autoscale",
    "guarantees=rollout",
    "bounds.grace_s=8",
    "bounds.retry_ratio=0.2",
    "bounds.retry_extra=50",
    "bounds.warmup_overshoot=1.5",
    "bounds.warmup_tolerance=5",
    "bounds.quota_overshoot=0.1",
    "bounds.quota_tolerance=10",
    "batches=on",
  ];
  if (node.role === "router")
    lines.push(`bind_addresses.frontend=${node.ip}:${FRONT_PORT}`, `bind_addresses.readiness=${node.ip}:${READY_PORT}`);
  else
    lines.push(
      `bind_addresses.control_plane=${node.ip}:${CONTROL_PORT}`,
      `bind_addresses.directory=${node.ip}:${DIRECTORY_PORT}`,
      `data_dir=${path.join(folder, node.name)}`,
    );
  return `${lines.join("\n")}\n`;
}

function zoneLine(region: string): string {
  return `zones.${region}-1=${region}`;
}

function seedOf(_region: string, index: number): string {
  return `${ipOf(index, 1)}:${CONTROL_PORT}`;
}

async function startStandIns(): Promise<platformEmulator.PlatformEmulator> {
  const platform = new platformEmulator.PlatformEmulator();
  await platform.start();
  for (const [index, region] of REGIONS.entries()) {
    for (let count = 1; count <= RUNNERS_EACH; count += 1) {
      const runner = new runnerEmulator.RunnerEmulator({
        id: `i-${region}-${count}`,
        eventMs: 40,
        tokensPerMs: 20,
        events: 25,
        capacity: 16,
      });
      await runner.start(ipOf(index, 10 + count));
      platform.instances.push({
        instance_id: runner.id,
        service: "model",
        address: runner.address,
        zone: `${region}-1`,
        revision: "v1",
        capacity: 16,
        state: "ready",
        warmup_left_ms: 0,
      });
    }
  }
  return platform;
}

/** Runs until it is stopped; a node that is killed is started again, as a platform would. */
export async function run(output: commands.Output, folder: string): Promise<void> {
  fs.mkdirSync(folder, { recursive: true });
  const platform = await startStandIns();
  const children = new Set<childProcess.ChildProcess>();
  let isOver = false;
  function launch(node: Node, region: number): void {
    const isFirst = !fs.existsSync(path.join(folder, node.name));
    fs.writeFileSync(node.settings, settingsOf(folder, node, region, platform.address, isFirst));
    const log = fs.openSync(path.join(folder, `${node.name}.log`), "a");
    const child = childProcess.spawn(process.execPath, [process.argv[1], node.role], {
      env: { ...process.env, CRANEWIND_NODE_FILE: node.settings },
      stdio: ["ignore", log, log],
    });
    fs.closeSync(log);
    children.add(child);
    output.line(`${node.name}: process ${child.pid}, log ${node.name}.log`);
    function restart(): void {
      children.delete(child);
      if (isOver) return;
      output.line(`${node.name}: process ${child.pid} ended; starting it again`);
      setTimeout(launch, RESTART_DELAY_MS, node, region);
    }
    child.once("exit", restart);
  }
  for (const role of ["control", "router"] as const) {
    for (const region of REGIONS.keys()) launch(nodeOf(folder, region, role), region);
  }
  output.line(`control: ${REGIONS.map(seedOf).join(" ")}`);
  output.line(`routers: ${REGIONS.map(frontOf).join(" ")} (status at port ${READY_PORT})`);
  function stop(): void {
    isOver = true;
    for (const child of children) child.kill("SIGKILL");
    process.exit(0);
  }
  process.on("SIGINT", stop);
  process.on("SIGTERM", stop);
}

function frontOf(_region: string, index: number): string {
  return `${ipOf(index, 2)}:${FRONT_PORT}`;
}
