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

/** Submits it; its number. */
async function submit(submission: unknown): Promise<number> {
  const told = await call("POST", "/-/Batches.Submit", submission);
  expect(told.status).toBe(200);
  return told.json["number"] as number;
}

/** Bodies of the items of a batch that the runner received, by the batch's key. */
function bodiesOf(key: string): string[] {
  return runner.receivedRequests.map(({ body }) => body).filter((body) => body.startsWith(`${key}/`));
}

beforeAll(async () => {
  folder = fs.mkdtempSync(path.join(os.tmpdir(), "cranewind-batches-"));
  ({ platform, runner } = await loopback.startStandIns({ id: "i-a", capacity: 32, eventMs: 10 }));
  controls = await Promise.all([0, 1, 2].map((index) => startControl(index, true)));
  edge = new routerProgram.RouterProgram(clock, startupOf("router", 0, true));
  await edge.root.start();
  const example = JSON.parse(fs.readFileSync("examples/first.json", "utf8")) as unknown;
  await loopback.until("configured", async () => (await call("POST", "/-/Config.Replace", example)).status === 200);
  await loopback.until("reported", async () => (await call("POST", "/-/Batches.Quote", { route: "stream", count: 5 })).status === 200);
});

afterAll(async () => {
  await edge.stop();
  for (const program of controls) await program.stop();
  runner.stop();
  platform.stop();
  fs.rmSync(folder, { recursive: true });
});

test("a quote says how long and how sure; a submission gets a number and a place, and again the same", async () => {
  const quote = await call("POST", "/-/Batches.Quote?table=true", { route: "stream", count: 5, finish_within_s: 60 });
  expect(quote.json["confidence"]).toMatchObject({ isSure: false });
  expect(quote.json["table"]).toHaveLength(24);
  const first = await call("POST", "/-/Batches.Submit", batch("one", 40));
  const again = await call("POST", "/-/Batches.Submit", batch("one", 40), 1);
  expect([first.json["number"], first.json["place"], again.json["number"]]).toEqual([1, 1, 1]);
  expect((await call("POST", "/-/Batches.Submit", batch("next", 1))).json["number"]).toBe(2);
  expect(await call("POST", "/-/Batches.Submit", batch("one", 41))).toMatchObject({ json: { kind: "invalid" } });
});

test("every item is answered once by an ordinary request behind all others, and its answer can be read", async () => {
  const number = await submit(batch("each", 40));
  await loopback.until("all done", async () => (await itemsOf(number))["done"] === 40);
  expect(new Set(bodiesOf("each")).size).toBe(40);
  expect(new Set(runner.receivedRequests.map((seen) => seen.headers["x-cranewind-request-priority"]))).toEqual(new Set(["9"]));
  expect(runner.receivedRequests.some((seen) => seen.headers["x-cranewind-batch-pass"])).toBe(false);
  const results = (await call("GET", `/-/Batches.Results/${number}?from=38`, undefined, 2)).json["items"] as {
    id: string;
    result: { status: number; body: string };
  }[];
  expect(results.map((item) => item.id)).toEqual(["i38", "i39"]);
  expect(results[0].result.status).toBe(200);
  expect(results[0].result.body).toContain("data: piece 4");
});

test("an item that must not run twice runs once at most, whatever happens to its owner", async () => {
  const number = await submit(batch("once", 60, "draft"));
  await loopback.until("begun", async () => ((await itemsOf(number))["done"] ?? 0) > 5);
  const owner = controls.findIndex((program) => (program.status() as { batches: { isOwner: boolean } }).batches.isOwner);
  await controls[owner].stop();
  controls[owner] = await startControl(owner, false);
  await loopback.until("all ended", async () => {
    const { done = 0, unclear = 0 } = await itemsOf(number);
    return done + unclear === 60;
  });
  const bodies = bodiesOf("once");
  expect(new Set(bodies).size).toBe(bodies.length);
});

test("a batch goes on when its owner leaves, and all is there after the whole core has restarted", async () => {
  const number = await submit(batch("two", 200));
  await loopback.until("begun", async () => ((await itemsOf(number))["done"] ?? 0) > 5);
  const owner = controls.findIndex((program) => (program.status() as { batches: { isOwner: boolean } }).batches.isOwner);
  await controls[owner].stop();
  await loopback.until("all done", async () => (await itemsOf(number, (owner + 1) % 3))["done"] === 200);
  controls[owner] = await startControl(owner, false);
  for (const program of controls) await program.stop();
  controls = await Promise.all([0, 1, 2].map((index) => startControl(index, false)));
  await loopback.until("known again", async () => (await itemsOf(number))["done"] === 200);
  await loopback.until("read again", async () => {
    const told = await call("GET", `/-/Batches.Results/${number}?from=199`);
    return ((told.json["items"] as { result: unknown }[] | undefined)?.[0]?.result ?? null) !== null;
  });
});

test("bad input gets one line with field and remedy", async () => {
  const wrong = await call("POST", "/-/Batches.Submit", { key: "x", route: "nowhere", items: [{ id: "a" }] });
  expect(wrong.json["message"]).toMatch(/there is no route nowhere; name a route/);
  const doubled = await call("POST", "/-/Batches.Submit", { key: "x", route: "stream", items: [{ id: "a" }, { id: "a" }] });
  expect(doubled.json["message"]).toMatch(/items: the id a stands there twice; give each/);
  expect((await call("GET", "/-/Batches.Status/99")).json["message"]).toMatch(/no batch 99; cranewind batch list/);
  expect((await call("POST", "/-/Batches.Cancel/none")).json["message"]).toMatch(/none is no number/);
});
