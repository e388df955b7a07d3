// Control nodes and routers together over real loopback sockets and disks (design 4, 5, 6).
import * as fs from "node:fs";
import * as nodeHttp from "node:http";
import * as os from "node:os";
import * as path from "node:path";
import * as client from "../../src/cli/client.js";
import * as commands from "../../src/cli/commands.js";
import * as controlProgram from "../../src/control/control-program.js";
import * as routerProgram from "../../src/router/router-program.js";
import * as platformEmulator from "../../src/emulator/platform-emulator.js";
import * as runnerEmulator from "../../src/emulator/runner-emulator.js";
import type * as settings from "../../src/settings/settings.js";
import * as schema from "../../src/wire/schema.js";
import * as timers from "../../src/runtime/timers.js";
import * as loopback from "../sim/loopback.js";

const NET = `127.${20 + (process.pid % 200)}`;
const { REGIONS } = loopback;
const clock = new timers.SystemClock();
/** Longer than any wait on a busy machine: a deadline of the example would be a limit of real time. */
const NO_DEADLINE_MS = 600_000;
const EXAMPLE = exampleWithoutDeadlines();

let folder: string;
let platform: platformEmulator.PlatformEmulator;
let standins: runnerEmulator.RunnerEmulator[];
let controls: controlProgram.ControlProgram[];
let edge: routerProgram.RouterProgram;

function exampleWithoutDeadlines(): object {
  const example = JSON.parse(fs.readFileSync("examples/first.json", "utf8")) as { routes: object[] };
  return { ...example, routes: example.routes.map((route) => ({ ...route, deadline_ms: NO_DEADLINE_MS })) };
}

function addressOf(index: number): string {
  return loopback.controlAddress(system(), index);
}

function system(): loopback.Loopback {
  const ports = { control: 9101, directory: 9102, internal: "9301,9315", frontend: 9201, readiness: 9202 };
  return { net: NET, ports, platform: platform.address };
}

function startupOf(role: "control" | "router", index: number, disk: string, isFirst: boolean): settings.Settings {
  return loopback.startupOf(system(), role, index, disk, isFirst);
}

async function startControl(index: number, disk: string, isFirst: boolean): Promise<controlProgram.ControlProgram> {
  const program = new controlProgram.ControlProgram(clock, startupOf("control", index, path.join(folder, disk), isFirst));
  await program.root.start();
  return program;
}

interface Status {
  isSettled: boolean;
  register: schema.Value | null;
  members: { router: schema.NodeInfo[] };
}

function statusOf(program: controlProgram.ControlProgram): Status {
  return program.status() as Status;
}

async function replace(index: number, base: number, revision: number, extra: object = {}): Promise<number> {
  const body = Buffer.from(JSON.stringify({ ...EXAMPLE, revision, ...extra }));
  const outcome = await client.send(clock, [addressOf(index)], {
    method: "POST",
    path: "/-/Config.Replace",
    body,
    headers: { "Content-Type": "application/json", "X-Cranewind-Base-Version": String(base) },
  });
  return outcome.isOk ? 200 : outcome.error.code === "race" ? 412 : outcome.error.code === "invalid" ? 400 : 503;
}

function get(address: string, target: string, headers: nodeHttp.OutgoingHttpHeaders = {}): Promise<{ status: number; body: string }> {
  const [host, port] = address.split(":");
  return new Promise((resolve, reject) => {
    nodeHttp
      .get({ host, port, path: target, agent: false, headers }, (reply) => {
        let body = "";
        reply.on("data", (chunk: Buffer) => (body += chunk.toString()));
        reply.on("end", () => resolve({ status: reply.statusCode!, body }));
      })
      .on("error", reject);
  });
}

beforeAll(async () => {
  folder = fs.mkdtempSync(path.join(os.tmpdir(), "cranewind-system-"));
  platform = new platformEmulator.PlatformEmulator(2);
  await platform.start();
  standins = REGIONS.map((region) => new runnerEmulator.RunnerEmulator({ id: `i-${region}` }));
  for (const [index, runner] of standins.entries()) {
    await runner.start();
    platform.instances.push({
      instance_id: runner.id,
      service: "model",
      address: runner.address,
      zone: `${REGIONS[index]}1`,
      revision: "v1",
      capacity: 8,
      state: "ready",
      warmup_left_ms: 0,
    });
  }
  controls = await Promise.all([0, 1, 2].map((index) => startControl(index, `disk-${index}`, true)));
  edge = new routerProgram.RouterProgram(clock, startupOf("router", 0, "", true));
  await edge.root.start();
});

afterAll(async () => {
  await edge.stop();
  for (const program of controls) await program.stop();
  for (const runner of standins) runner.stop();
  platform.stop();
  fs.rmSync(folder, { recursive: true });
});

test("nodes find each other from the seeds; before a configuration the router is not ready", async () => {
  await loopback.until("all settled", () => controls.every((program) => statusOf(program).isSettled));
  await loopback.until("the router known by all", () => controls.every((program) => statusOf(program).members.router.length === 1));
  expect((await get(`${NET}.1.2:9202`, "/-/ready")).status).toBe(503);
  expect((await get(`${NET}.1.2:9201`, "/lookup/x", { Host: "try.example" })).status).toBe(503);
});

test("a race of two operators on one base has one winner; a resend of the winner is taken", async () => {
  const both = await Promise.all([replace(0, 0, 3), replace(1, 0, 4)]);
  expect([...both].sort()).toEqual([200, 412]);
  const winner = both[0] === 200 ? 3 : 4;
  expect(await replace(2, 0, winner)).toBe(200);
  expect(await replace(2, 0, winner + 5)).toBe(412);
  expect(await replace(1, winner, winner)).toBe(400);
  expect(await replace(1, winner, 20, { routes: "none" })).toBe(400);
});

test("the router takes what was acknowledged, serves, and stands in the directory", async () => {
  await loopback.until("ready", async () => (await get(`${NET}.1.2:9202`, "/-/ready")).status === 200);
  const got = await get(`${NET}.1.2:9201`, "/lookup/x", { Host: "try.example", "X-Cranewind-Request-Id": "q1" });
  expect(got).toEqual({ status: 200, body: JSON.stringify({ by: "i-a" }) });
  await loopback.until("in the directory", async () =>
    (await get(`${NET}.3.1:9102`, "/-/resolve?name=try.example&region=c&zone=c1")).body.includes(`${NET}.1.2:9201`),
  );
});

test("an evacuation acknowledged anywhere empties the zone at the router, and a draining runner is left", async () => {
  const lines: string[] = [];
  const output = { line: (text: string) => lines.push(text), failure: (text: string) => lines.push(text) };
  expect(await commands.evacuate(clock, output, [addressOf(2)], "start", "a1")).toBe(0);
  await loopback.until(
    "moved",
    async () =>
      (await get(`${NET}.1.2:9201`, "/lookup/x", { Host: "try.example", "X-Cranewind-Request-Id": `q${Math.random()}` })).body.match(
        /^{"by":"i-[bc]"}$/,
      ) !== null,
  );
  expect(await commands.evacuate(clock, output, [addressOf(1)], "stop", "a1")).toBe(0);
  expect(await commands.evacuate(clock, output, [addressOf(1)], "stop", "nowhere")).toBe(1);
  expect(lines).toEqual(["under evacuation: a1", "no zone is under evacuation", expect.stringMatching(/no zone nowhere; name one/)]);
});

test("a control node that comes back with an empty disk votes again under a new identity", async () => {
  await controls[2].stop();
  controls[2] = await startControl(2, "disk-2-new", false);
  await loopback.until("voting again", () => {
    const value = statusOf(controls[0]).register!;
    return (
      value.former.length === 0 && value.voters.some((voter) => voter.address.startsWith(`${NET}.3.`) && voter.disk.startsWith("disk:"))
    );
  });
  const { revision } = statusOf(controls[0]).register!;
  await controls[1].stop();
  let status = 0;
  await loopback.until("taken by the two that stand", async () => (status = await replace(2, revision, revision + 10)) !== 503);
  expect(status).toBe(200);
  controls[1] = await startControl(1, "disk-1", false);
  await loopback.until("caught up", () => statusOf(controls[1]).register?.revision === revision + 10);
  const described = await client.send(clock, [addressOf(1)], { method: "GET", path: "/-/Config.Describe" });
  expect(described.isOk && (described.value.json as { revision: number }).revision).toBe(revision + 10);
});

test("the whole core restarts and knows what was acknowledged", async () => {
  const { revision } = statusOf(controls[0]).register!;
  for (const program of controls) await program.stop();
  controls = await Promise.all([startControl(0, "disk-0", false), startControl(1, "disk-1", false), startControl(2, "disk-2-new", false)]);
  await loopback.until("known again", () => controls.every((program) => statusOf(program).register?.revision === revision));
});

test("commands name the remedy and end with their code", async () => {
  const lines: string[] = [];
  const output = { line: (text: string) => lines.push(text), failure: (text: string) => lines.push(text) };
  expect(await commands.describe(clock, output, [`${NET}.9.9:9101`])).toBe(3);
  expect(await commands.apply(clock, output, [addressOf(0)], "examples/first.json", "0", false)).toBe(1);
  expect(await commands.apply(clock, output, [addressOf(0)], "examples/first.json", "x", false)).toBe(2);
  expect(await commands.apply(clock, output, [addressOf(0)], "no-such-file", "1", false)).toBe(2);
  expect(commands.checkConfig(output, "examples/first.json")).toBe(0);
  expect(commands.checkConfig(output, "package.json")).toBe(1);
  expect(await commands.status(clock, output, [addressOf(0)], false)).toBe(0);
  expect(lines.join("\n")).toMatch(
    /does not reply; check[\s\S]*not 0; read the current[\s\S]*--base x[\s\S]*no-such-file[\s\S]*good configuration[\s\S]*revision[\s\S]*voter {5}/,
  );
});
