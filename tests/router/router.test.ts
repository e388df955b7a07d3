// The router against stand-in runners over real loopback sockets (design 7).
import * as net from "node:net";
import * as nodeHttp from "node:http";
import * as configurationCheck from "../../src/config/configuration-check.js";
import * as routeTable from "../../src/config/route-table.js";
import * as runnerPicker from "../../src/router/runner-picker.js";
import * as runnerFleet from "../../src/runners/runner-fleet.js";
import * as prefillTracker from "../../src/runners/prefill-tracker.js";
import * as zoneRotation from "../../src/runners/zone-rotation.js";
import * as routerBatches from "../../src/router/router-batches.js";
import * as routerServer from "../../src/router/client/router-server.js";
import * as tenantGate from "../../src/router/tenant-gate.js";
import * as leasedLimits from "../../src/limits/leased-limits.js";
import * as runnerEmulator from "../../src/emulator/runner-emulator.js";
import * as types from "../../src/wire/types.js";
import * as routerEdge from "../sim/router-edge.js";
import * as rawBytes from "../sim/raw-bytes.js";
import * as simulatedClock from "../sim/simulated-clock.js";

const CONFIG = configurationCheck
  .check({
    revision: 1,
    services: [{ name: "s", max_connections: 100 }],
    limits: { max_body_bytes: 2000, max_header_bytes: 4096, header_timeout_ms: 5000 },
    routes: [
      routerEdge.routeOf("read", "read_only"),
      routerEdge.routeOf("once", "mutating"),
      routerEdge.routeOf("stream", "streaming", { resumable: true }),
      routerEdge.routeOf("single", "streaming", { max_attempts: 1 }),
      routerEdge.routeOf("home", "mutating", { allowed_regions: ["r2"] }),
    ],
  })
  .unwrapOr(null)!;

interface Got {
  status: number;
  headers: nodeHttp.IncomingHttpHeaders;
  body: string;
  isComplete: boolean;
}

let clock: simulatedClock.SkewedClock;
let runners: runnerEmulator.RunnerEmulator[];
let server: routerServer.RouterServer;
let share: leasedLimits.LeasedLimits;
let port = 0;

beforeEach(async function start() {
  clock = new simulatedClock.SkewedClock();
  const fleet = new runnerFleet.RunnerFleet(
    clock,
    new Map([
      ["z1", "r1"],
      ["z2", "r2"],
    ]),
  );
  share = new leasedLimits.LeasedLimits(clock, {
    retry_ratio: 0.2,
    retry_window_s: 10,
    retry_extra: 50,
    warmup_overshoot: 1.5,
    warmup_tolerance: 5,
  });
  share.setRouterCount(1);
  share.grant({ life: "o", isGranting: true, grants: [{ id: 1, kind: 0, key: "s", amount: 25, lifeMs: 60_000 }] }, clock.now());
  const picker = new runnerPicker.RunnerPicker(
    clock,
    fleet,
    new zoneRotation.ZoneRotation(clock),
    share,
    "r1",
    new prefillTracker.PrefillTracker(),
  );
  runners = [new runnerEmulator.RunnerEmulator({ id: "i-1" }), new runnerEmulator.RunnerEmulator({ id: "i-2" })];
  for (const runner of runners) await runner.start();
  fleet.applySnapshot(
    runners.map((runner, index) => ({
      id: types.small(runner.id),
      service: "s",
      address: runner.address,
      zone: `z${index + 1}`,
      capacity: 8,
      isDraining: false,
      coldMs: 0,
      leavesMs: -1,
    })),
  );
  picker.routeTable = new routeTable.RouteTable(CONFIG);
  server = new routerServer.RouterServer({
    clock,
    picker,
    isReady: () => true,
    recordSend: () => 0,
    recordBegun: () => {},
    machine: { memory_mb: 256, max_open_files: 1024 },
    batches: new routerBatches.RouterBatches("life", picker.prefills, picker.admission),
    tenantGate: new tenantGate.TenantGate(clock, "r", new Map(), { revocation_strict: false, revoke_delay_ms: 5000 }),
  });
  server.applyLimits(CONFIG.limits);
  await server.listen("127.0.0.1:0");
  port = server.port;
});

afterEach(function stop() {
  server.close();
  for (const runner of runners) runner.stop();
});

let ids = 0;
function ask(path: string, headers: nodeHttp.OutgoingHttpHeaders = {}, body = "body"): Promise<Got> {
  ids += 1;
  return new Promise(function send(resolve, reject) {
    const request = nodeHttp.request(
      {
        port,
        host: "127.0.0.1",
        path,
        method: "POST",
        agent: false,
        headers: { Host: "h", "X-Cranewind-Request-Id": `r${ids}`, "X-Cranewind-Time-Budget-Ms": "1200", ...headers },
      },
      taken,
    );
    request.on("error", reject);
    request.end(body);
    function taken(reply: nodeHttp.IncomingMessage): void {
      let text = "";
      reply.on("data", (chunk: Buffer) => (text += chunk.toString()));
      reply.on("error", () => undefined);
      reply.on("close", () => resolve({ status: reply.statusCode!, headers: reply.headers, body: text, isComplete: reply.complete }));
    }
  });
}

const STREAM = { "X-Cranewind-Token-Usage": "10,4" };
function pieces(from: number, to: number): string {
  let text = "";
  for (let at = from; at <= to; at += 1) text += `id: ${at}\ndata: piece ${at}\n\n`;
  return text;
}
function seenBy(): runnerEmulator.ReceivedRequest[] {
  return [...runners[0].receivedRequests, ...runners[1].receivedRequests];
}

test("a request reaches one runner unchanged, named, with the budget that is left", async function plain() {
  const got = await ask("/once/x?q=1", { "X-Own": "7", Connection: "close" });
  expect([got.status, got.isComplete]).toEqual([200, true]);
  const [seen] = seenBy();
  expect(seen).toMatchObject({ method: "POST", path: "/once/x?q=1", body: "body", target: "i-1", requestId: `r${ids}` });
  expect(seen.headers["x-own"]).toBe("7");
  expect(seen.budgetMs).toBeLessThanOrEqual(1200);
  expect(got.headers["x-cranewind-response-seal"]).toMatch(/^seal-i-1/);
});

test("homes bind: nothing goes elsewhere, even when the home is gone", async function homes() {
  expect((await ask("/home/x")).status).toBe(200);
  expect(runners[1].receivedRequests).toHaveLength(1);
  runners[1].faults.push("shed");
  expect((await ask("/home/x")).status).toBe(503);
  expect(runners[0].receivedRequests).toHaveLength(0);
});

test("a handed-back request moves on; with no try left it is a 503 that says when", async function handBack() {
  runners[0].faults.push("shed");
  expect((await ask("/once/x")).status).toBe(200);
  expect(runners[1].receivedRequests).toHaveLength(1);
  runners[0].faults.push("shed");
  runners[1].faults.push("shed");
  const denied = await ask("/once/x");
  expect(denied.status).toBe(503);
  expect(Number(denied.headers["retry-after"])).toBeGreaterThan(0);
});

test("what may have run is never run again and never promised not to have run", async function once() {
  runners[0].faults.push("reset");
  const got = await ask("/once/x");
  expect(got.status).toBe(502);
  expect(seenBy()).toHaveLength(1);
});

test.each(["reset", "stray", "no_seal", "fail"] as const)("a repeatable request gets over %s", async function repeat(mishap) {
  runners[0].faults.push(mishap);
  const got = await ask("/read/x");
  expect([got.status, JSON.parse(got.body)]).toEqual([200, { by: "i-2" }]);
});

test("a failure of the runner's own reaches the client unchanged where the request may not be repeated", async function failed() {
  runners[0].faults.push("fail");
  const got = await ask("/once/x");
  expect([got.status, got.body, got.isComplete]).toEqual([500, "fail", true]);
  expect(got.headers["x-cranewind-response-seal"]).toMatch(/^seal-i-1/);
  expect(seenBy()).toHaveLength(1);
  expect((await ask("/once/x")).headers["x-cranewind-response-seal"]).toMatch(/^seal-i-2/);
});

test("a resumable stream goes on at another runner from the last whole event, in the same reply", async function resume() {
  runners[0].faults.push("cut");
  const got = await ask("/stream/x", STREAM);
  expect([got.status, got.body, got.isComplete]).toEqual([200, pieces(1, 4), true]);
  expect(got.headers["x-cranewind-response-seal"]).toMatch(/^seal-i-1/);
  expect(runners[1].receivedRequests[0]).toMatchObject({ lastEventId: "2", requestId: `r${ids}` });
});

test("a stream that may not be resumed ends visibly broken", async function broken() {
  runners[0].faults.push("cut");
  const got = await ask("/single/x", STREAM);
  expect(got.isComplete).toBe(false);
  expect(seenBy()).toHaveLength(1);
});

test.each([
  ["stays while no further try is granted", false],
  ["moves on with a granted try", true],
])("a stream whose runner falls silent %s", async function silent(_name, isGranted) {
  while (!isGranted && share.takeRetry("s")) continue;
  runners[0].faults.push("stall");
  const reply = ask("/stream/x", STREAM);
  while (runners[0].resumeStalledStream === null) await new Promise(setImmediate);
  clock.aheadMs = 400;
  server.checkSilence();
  runners[0].resumeStalledStream();
  expect(await reply).toMatchObject({ status: 200, body: pieces(1, 4), isComplete: true });
  expect(runners[1].receivedRequests).toHaveLength(isGranted ? 1 : 0);
});

test("with the shares spent nothing is repeated", async function spent() {
  while (share.takeRetry("s")) continue;
  runners[0].faults.push("shed");
  expect((await ask("/once/x")).status).toBe(503);
  expect(runners[1].receivedRequests).toHaveLength(0);
});

test("silence until the deadline is a 504, no promise", async function late() {
  runners[0].faults.push("silent");
  expect((await ask("/once/x", { "X-Cranewind-Time-Budget-Ms": "120" })).status).toBe(504);
});

test("connections are kept and reused", async function reuse() {
  for (let turn = 0; turn < 6; turn += 1) await ask("/once/x");
  expect(runners[0].connections).toBe(1);
});

test("turns of a session land where their earlier turns are kept, and settle elsewhere once when it is lost", async function session() {
  const prefix = (turn: number): nodeHttp.OutgoingHttpHeaders => ({
    "X-Cranewind-Prompt-Prefix": `aa:1500,bb:900,c${turn}:100`,
    ...STREAM,
  });
  for (let turn = 0; turn < 4; turn += 1) await ask("/stream/x", prefix(turn));
  const home = runners.find((runner) => runner.receivedRequests.length > 0)!;
  expect(home.receivedRequests.map((seen) => seen.readTokens)).toEqual([2500, 100, 100, 100]);
  const other = runners.find((runner) => runner !== home)!;
  home.stop();
  for (let turn = 4; turn < 8; turn += 1) expect((await ask("/stream/x", prefix(turn))).status).toBe(200);
  expect(other.receivedRequests.map((seen) => seen.readTokens)).toEqual([2500, 100, 100, 100]);
});

test("a leaving router finishes what comes and closes the connections after", async function leaving() {
  server.isDraining = true;
  const got = await ask("/once/x", { Connection: "keep-alive" });
  expect([got.status, got.headers.connection]).toEqual([200, "close"]);
  expect((await ask("/none/x", { Connection: "keep-alive" })).headers.connection).toBe("close");
});

test("the budget of the client bounds the work, the route's deadline bounds it too", async function budget() {
  await ask("/once/x", { "X-Cranewind-Time-Budget-Ms": "60000" });
  expect(seenBy()[0].budgetMs).toBeLessThanOrEqual(1500);
});

const RAW: [string, string, RegExp][] = [
  [
    "both lengths",
    "POST /once/x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    /^HTTP\/1.1 400/,
  ],
  ["doubled lengths", "POST /once/x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nabcd", /^HTTP\/1.1 400/],
  ["no HTTP", "nonsense\r\n\r\n", /^HTTP\/1.1 400/],
  ["header too large", `GET /once/x HTTP/1.1\r\nHost: h\r\nX-Big: ${"x".repeat(9000)}\r\n\r\n`, /^HTTP\/1.1 431/],
  ["body too large", "POST /once/x HTTP/1.1\r\nHost: h\r\nContent-Length: 3000\r\n\r\n", /^HTTP\/1.1 413/],
  [
    "chunks too large",
    `POST /once/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nbb8\r\n${"x".repeat(3000)}\r\n0\r\n\r\n`,
    /^HTTP\/1.1 413/,
  ],
  ["no route", "GET /none/x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", /^HTTP\/1.1 404/],
  ["no host", "GET /once/x HTTP/1.1\r\nHost: other\r\nConnection: close\r\n\r\n", /^HTTP\/1.1 404/],
  ["no id", "GET /once/x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", /^HTTP\/1.1 400/],
];

test.each([
  ["a header that never ends", "POST /once/x HTTP/1.1\r\nHost: h\r\n"],
  ["a body that never ends", "POST /once/x HTTP/1.1\r\nHost: h\r\nX-Cranewind-Request-Id: s\r\nContent-Length: 10\r\n\r\nab"],
])("%s is ended with a 408 and reaches no runner", async function slow(_name, text) {
  server.applyLimits({ header_timeout_ms: 150, idle_timeout_ms: 150 });
  const reply = await rawBytes.sendRaw(port, text);
  expect(reply).toMatch(/^HTTP\/1.1 408/);
  expect(seenBy()).toHaveLength(0);
});

test.each(RAW)("bad input: %s", async function raw(_name, text, expected) {
  const reply = await rawBytes.sendRaw(port, text);
  expect(reply).toMatch(expected);
  expect(seenBy()).toHaveLength(0);
});

test("a client that goes away lets its runner go", async function gone() {
  runners[0].faults.push("silent");
  const socket = net.connect(port, "127.0.0.1");
  socket.write("POST /once/x HTTP/1.1\r\nHost: h\r\nX-Cranewind-Request-Id: q\r\nContent-Length: 0\r\n\r\n");
  while (runners[0].receivedRequests.length === 0) await new Promise(setImmediate);
  socket.destroy();
  while (runners[0].connections > 0) await new Promise(setImmediate);
  expect(server.activeCount).toBe(0);
});
