// Duties and roll-outs over real loopback sockets and disks (design/duties, design/rollouts 7): three control nodes, a router,
// stand-ins of a runner and of the platform. The holder is stopped in between.
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as controlProgram from "../../src/control/control-program.js";
import type * as platformEmulator from "../../src/emulator/platform-emulator.js";
import type * as runnerEmulator from "../../src/emulator/runner-emulator.js";
import * as routerProgram from "../../src/router/router-program.js";
import * as timers from "../../src/runtime/timers.js";
import * as http from "../../src/wire/http.js";
import * as loopback from "../sim/loopback.js";

const NET = `127.${20 + ((process.pid + 150) % 200)}`;
const FRONTEND_PORT = 9801;
const REQUESTS = 12;
const KEY = "try-boatyard-1";
const clock = new timers.SystemClock();

let folder: string;
let platform: platformEmulator.PlatformEmulator;
let runner: runnerEmulator.RunnerEmulator;
let controls: controlProgram.ControlProgram[];
let edge: routerProgram.RouterProgram;

function system(): loopback.Loopback {
  const ports = { control: 9701, directory: 9702, internal: "9711,9725", frontend: FRONTEND_PORT, readiness: 9802 };
  const bounds = ["bounds.report_window_s=1", "bounds.usage_delay_s=6", "bounds.lease_ms=2500"];
  const extra = ["cloud_api.duties=usage_report,autoscale", "guarantees=rollout", ...bounds];
  return { net: NET, ports, platform: platform.address, extra };
}

async function startControl(index: number): Promise<controlProgram.ControlProgram> {
  const startup = loopback.startupOf(system(), "control", index, path.join(folder, `disk-${index}`), true);
  const program = new controlProgram.ControlProgram(clock, startup);
  await program.root.start();
  return program;
}

function call(method: "GET" | "POST", target: string, body?: unknown): Promise<loopback.Told> {
  const addresses = [0, 1, 2].map((index) => loopback.controlAddress(system(), index));
  return loopback.call(clock, addresses, method, target, body);
}

/** Sends requests of one tenant; how many of them were answered. */
async function sendRequests(count: number): Promise<number> {
  const connection = http.open(`${NET}.1.2:${FRONTEND_PORT}`, { connectMs: 1000, idleMs: 1000 });
  let answered = 0;
  for (let index = 0; index < count; index += 1) {
    const headers = {
      host: "try.example",
      "api-key": KEY,
      "x-cranewind-request-id": `r${index}-${answered}`,
      "x-cranewind-prompt-prefix": "aa:100",
    };
    const reply = await http.call(clock, connection, "/stream/", { method: "POST", headers, body: Buffer.from("{}"), timeoutMs: 5000 });
    if (reply?.status === 200) answered += 1;
  }
  await connection.destroy();
  return answered;
}

/** Requests of the tenant over all reports; a window that is reported twice must be reported alike. */
function reported(): number {
  const windows = new Map<number, Record<string, number>>();
  for (const { path: target, body } of platform.dutyCalls) {
    if (target !== "/usage") continue;
    const { window_id: window, counts } = body as { window_id: number; counts: Record<string, number> };
    if (windows.has(window)) expect(counts).toEqual(windows.get(window));
    windows.set(window, counts);
  }
  let sum = 0;
  for (const counts of windows.values()) sum += counts["boatyard"] ?? 0;
  return sum;
}

beforeAll(async () => {
  folder = fs.mkdtempSync(path.join(os.tmpdir(), "cranewind-duties-"));
  ({ platform, runner } = await loopback.startStandIns({ id: "i-a", capacity: 32, eventMs: 5 }));
  controls = await Promise.all([0, 1, 2].map((index) => startControl(index)));
  edge = new routerProgram.RouterProgram(clock, loopback.startupOf(system(), "router", 0, path.join(folder, "disk-r"), true));
  await edge.root.start();
  const example = JSON.parse(fs.readFileSync("examples/first.json", "utf8")) as object;
  const tenants = [{ name: "boatyard", api_keys: [KEY] }];
  await loopback.until("configured", async () => (await call("POST", "/-/Config.Replace", { ...example, tenants })).status === 200);
  await loopback.until("served", async () => (await sendRequests(1)) === 1);
});

afterAll(async () => {
  await edge.stop();
  for (const program of controls) await program.stop();
  runner.stop();
  platform.stop();
  fs.rmSync(folder, { recursive: true });
});

test("each request is reported once, also over a change of the holder, whose fence is higher", async () => {
  const before = runner.receivedRequests.length;
  expect(await sendRequests(REQUESTS)).toBe(REQUESTS);
  await loopback.until("all reported", () => reported() === before + REQUESTS);
  const first = platform.dutyCalls[0];
  const holder = controls.findIndex((program) => JSON.stringify(program.status()).includes('"isHeldHere":true'));
  await controls.splice(holder, 1)[0].stop();
  expect(await sendRequests(REQUESTS)).toBe(REQUESTS);
  await loopback.until("reported by another", () => reported() === before + 2 * REQUESTS);
  const last = platform.dutyCalls[platform.dutyCalls.length - 1];
  expect(last.holder).not.toBe(first.holder);
  expect(last.fence).toBeGreaterThan(first.fence);
});

test("a roll-out is taken and reverted; runners of its version get no request", async () => {
  const order = { service: "model", target_version: "v2", duration_s: 30 };
  await loopback.until("taken", async () => (await call("POST", "/-/Rollouts.Start", order)).status === 200);
  platform.instances.push({ ...loopback.listedRunner(runner, 32), instance_id: "i-b", revision: "v2" });
  await loopback.until("reverted", async () => (await call("GET", "/-/Rollouts.Describe/model")).json["state"] === "reverted");
  const calls = platform.calls;
  await loopback.until("listed", () => platform.calls > calls + 2);
  expect(await sendRequests(REQUESTS)).toBe(REQUESTS);
  const targets = runner.receivedRequests.map(({ headers }) => headers["x-cranewind-target-instance"]);
  expect(new Set(targets)).toEqual(new Set(["i-a"]));
});
