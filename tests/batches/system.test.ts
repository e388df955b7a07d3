// Batches over real loopback sockets and disks (design/batch): three control nodes, a router, stand-in runners.
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as controlProgram from "../../src/control/control-program.js";
import * as routerProgram from "../../src/router/router-program.js";
import type * as platformEmulator from "../../src/emulator/platform-emulator.js";
import type * as runnerEmulator from "../../src/emulator/runner-emulator.js";
import type * as settings from "../../src/settings/settings.js";
import * as timers from "../../src/runtime/timers.js";
import * as loopback from "../sim/loopback.js";

const NET = `127.${20 + ((process.pid + 100) % 200)}`;
const clock = new timers.SystemClock();
/** On a busy machine an owner may be succeeded, and what it had under way counts as at work for 27 s. */
const UNTIL_MS = 60_000;

let folder: string;
let platform: platformEmulator.PlatformEmulator;
let runner: runnerEmulator.RunnerEmulator;
let controls: controlProgram.ControlProgram[];
let edge: routerProgram.RouterProgram;

function system(): loopback.Loopback {
  const ports = { control: 9401, directory: 9402, internal: "9501,9515", frontend: 9601, readiness: 9602 };
  return { net: NET, ports, platform: platform.address, extra: ["batches=on"] };
}

function addressOf(index: number): string {
  return loopback.controlAddress(system(), index);
}

function startupOf(role: "control" | "router", index: number, isFirst: boolean): settings.Settings {
  return loopback.startupOf(system(), role, index, path.join(folder, `disk-${index}`), isFirst);
}

function until(what: string, isSo: () => boolean | Promise<boolean>): Promise<void> {
  return loopback.until(what, UNTIL_MS, isSo);
}

async function startControl(index: number, isFirst: boolean): Promise<controlProgram.ControlProgram> {
  const program = new controlProgram.ControlProgram(clock, startupOf("control", index, isFirst));
  await program.root.start();
  return program;
}

function call(method: "GET" | "POST", target: string, body?: unknown, index = 0): Promise<loopback.Told> {
  return loopback.call(clock, [addressOf(index), addressOf((index + 1) % 3)], method, target, body);
}

function batch(key: string, count: number, route = "stream"): unknown {
  const items = Array.from({ length: count }, (_, index) => ({
    body: `${key}/${index}`,
    id: `i${index}`,
    prompt: `aa:100,${(index + 1).toString(16)}:20`,
    tokens_out: 4,
  }));
  return { key, route, items };
}

async function itemsOf(number: number, index = 0): Promise<Record<string, number>> {
  return ((await call("GET", `/-/Batches.Status/${number}`, undefined, index)).json["items"] ?? {}) as Record<string, number>;
}

beforeAll(async () => {
  folder = fs.mkdtempSync(path.join(os.tmpdir(), "cranewind-batches-"));
  ({ platform, runner } = await loopback.startStandIns({ id: "i-a", capacity: 32, eventMs: 10 }));
  controls = await Promise.all([0, 1, 2].map((index) => startControl(index, true)));
  edge = new routerProgram.RouterProgram(clock, startupOf("router", 0, true));
  await edge.root.start();
  const example = JSON.parse(fs.readFileSync("examples/first.json", "utf8")) as unknown;
  await until("configured", async () => (await call("POST", "/-/Config.Replace", example)).status === 200);
  await until("reported", async () => (await call("POST", "/-/Batches.Quote", { route: "stream", count: 5 })).status === 200);
}, 40_000);

afterAll(async () => {
  await edge.stop();
  for (const program of controls) await program.stop();
  runner.stop();
  platform.stop();
  fs.rmSync(folder, { recursive: true });
}, 30_000);

test("a quote says how long and how sure; a submission gets a number and a place, and again the same", async () => {
  const quote = await call("POST", "/-/Batches.Quote?table=true", { route: "stream", count: 5, finish_within_s: 60 });
  expect(quote.json["confidence"]).toMatchObject({ isSure: false });
  expect(quote.json["table"]).toHaveLength(24);
  const first = await call("POST", "/-/Batches.Submit", batch("one", 40));
  const again = await call("POST", "/-/Batches.Submit", batch("one", 40), 1);
  expect([first.json["number"], first.json["place"], again.json["number"]]).toEqual([1, 1, 1]);
  expect(await call("POST", "/-/Batches.Submit", batch("one", 41))).toMatchObject({ json: { kind: "invalid" } });
}, 20_000);

test("every item is answered once by an ordinary request behind all others, and its answer can be read", async () => {
  await until("all done", async () => (await itemsOf(1))["done"] === 40);
  expect(new Set(runner.receivedRequests.map((seen) => seen.body)).size).toBe(40);
  expect(new Set(runner.receivedRequests.map((seen) => seen.headers["x-cranewind-request-priority"]))).toEqual(new Set(["9"]));
  expect(runner.receivedRequests.some((seen) => seen.headers["x-cranewind-batch-pass"])).toBe(false);
  const results = (await call("GET", "/-/Batches.Results/1?from=38", undefined, 2)).json["items"] as {
    id: string;
    result: { status: number; body: string };
  }[];
  expect(results.map((item) => item.id)).toEqual(["i38", "i39"]);
  expect(results[0].result.status).toBe(200);
  expect(results[0].result.body).toContain("data: piece 4");
}, 90_000);

test("an item that must not run twice runs once at most, whatever happens to its owner", async () => {
  await call("POST", "/-/Batches.Submit", batch("once", 60, "draft"));
  await until("begun", async () => ((await itemsOf(2))["done"] ?? 0) > 5);
  const owner = controls.findIndex((program) => (program.status() as { batches: { isOwner: boolean } }).batches.isOwner);
  await controls[owner].stop();
  controls[owner] = await startControl(owner, false);
  await until("all ended", async () => {
    const { done = 0, unclear = 0 } = await itemsOf(2);
    return done + unclear === 60;
  });
  const bodies = runner.receivedRequests.map((seen) => seen.body).filter((body) => body.startsWith("once/"));
  expect(new Set(bodies).size).toBe(bodies.length);
}, 120_000);

test("a batch goes on when its owner leaves, and all is there after the whole core has restarted", async () => {
  expect((await call("POST", "/-/Batches.Submit", batch("two", 200))).json["number"]).toBe(3);
  await until("begun", async () => ((await itemsOf(3))["done"] ?? 0) > 5);
  const owner = controls.findIndex((program) => (program.status() as { batches: { isOwner: boolean } }).batches.isOwner);
  await controls[owner].stop();
  await until("all done", async () => (await itemsOf(3, (owner + 1) % 3))["done"] === 200);
  controls[owner] = await startControl(owner, false);
  for (const program of controls) await program.stop();
  controls = await Promise.all([0, 1, 2].map((index) => startControl(index, false)));
  await until("known again", async () => (await itemsOf(3))["done"] === 200);
  await until("read again", async () => {
    const told = await call("GET", "/-/Batches.Results/3?from=199");
    return ((told.json["items"] as { result: unknown }[] | undefined)?.[0]?.result ?? null) !== null;
  });
}, 180_000);

test("bad input gets one line with field and remedy", async () => {
  const wrong = await call("POST", "/-/Batches.Submit", { key: "x", route: "nowhere", items: [{ id: "a" }] });
  expect(wrong.json["message"]).toMatch(/there is no route nowhere; name a route/);
  const doubled = await call("POST", "/-/Batches.Submit", { key: "x", route: "stream", items: [{ id: "a" }, { id: "a" }] });
  expect(doubled.json["message"]).toMatch(/items: the id a stands there twice; give each/);
  expect((await call("GET", "/-/Batches.Status/99")).json["message"]).toMatch(/no batch 99; cranewind batch list/);
  expect((await call("POST", "/-/Batches.Cancel/none")).json["message"]).toMatch(/none is no number/);
}, 20_000);
