// Requests that wait in the sockets of a process that stands still: they count as old as they can be, and none is handled
// whose caller has left (review/1). The clients run in a thread of their own while this one stands still.
import * as workers from "node:worker_threads";
import * as net from "node:net";
import * as serve from "../../src/wire/serve.js";
import * as loopback from "../sim/loopback.js";
import * as simulatedClock from "../sim/simulated-clock.js";

const ADDRESS = "127.0.31.1:9401";
/** For so long this process seems to stand still. */
const STILL_MS = 5000;
const REQUEST = "POST /-/Evacuations.Stop/z0 HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody";

let clock: simulatedClock.SimulatedClock;
beforeEach(() => (clock = new simulatedClock.SimulatedClock()));

/** Turns the event loop until it is so; timers that are due run meanwhile, as in a process that goes on. */
function until(what: string, isSo: () => boolean): Promise<void> {
  return loopback.until(what, async () => {
    await clock.play(0);
    return isSo();
  });
}

/**
 * Opens connections, sends the first part of a request on each, may close them, and then tells so by the shared flag. The
 * rest follows once it is told to go on.
 */
const CLIENTS = `
  const { workerData: { address, count, first, rest, leaves, flag }, parentPort } = require("node:worker_threads");
  const net = require("node:net");
  const [host, port] = address.split(":");
  let sent = 0;
  const sockets = Array.from({ length: count }, () => {
    const socket = net.connect({ host, port: Number(port) }, () => socket.write(first, () => {
      if (leaves) socket.end();
      sent += 1;
      if (sent < count) return;
      setImmediate(() => { Atomics.store(flag, 0, 1); Atomics.notify(flag, 0); });
    }));
    socket.on("error", () => undefined);
    socket.on("data", (bytes) => parentPort.postMessage(bytes.toString()));
    socket.on("close", () => parentPort.postMessage(""));
    return socket;
  });
  parentPort.once("message", () => sockets.forEach((socket) => rest && socket.write(rest)));
`;

interface Clients {
  count: number;
  /** Characters of the request that are sent while the server stands still. */
  firstLength: number;
  leaves: boolean;
  stillMs?: number;
}

interface Seen {
  waitedMs: number[];
  received: string[];
}

/** Stands still until all clients have sent what they send at first, then reads it; what the handler and the clients saw. */
async function readLate({ count, firstLength, leaves, stillMs = STILL_MS }: Clients): Promise<Seen> {
  const seen: Seen = { waitedMs: [], received: [] };
  const server = serve.child(clock, "operator", ADDRESS, ({ caller }) => {
    seen.waitedMs.push(caller.waitedMs());
    return { status: 200, json: {} };
  });
  await server.start();
  await clock.play(1000);
  const flag = new Int32Array(new SharedArrayBuffer(4));
  const first = REQUEST.slice(0, firstLength);
  const worker = new workers.Worker(CLIENTS, {
    eval: true,
    workerData: { address: ADDRESS, count, first, rest: REQUEST.slice(firstLength), leaves, flag },
  });
  let closed = 0;
  worker.on("message", (text: string) => {
    if (text === "") closed += 1;
    else seen.received.push(text);
  });
  Atomics.wait(flag, 0, 0);
  clock.skip(stillMs);
  worker.postMessage("go on");
  await until("all answered, or gone", () => (leaves ? closed === count : seen.received.length === count));
  await worker.terminate();
  await server.stop();
  return seen;
}

const WHOLE = REQUEST.length;
const HEAD_IN_PART = 20;
const BODY_IN_PART = REQUEST.length - 2;

test.each([
  ["one whole request", 1, WHOLE],
  ["many whole requests, each on a new connection", 60, WHOLE],
  ["a request whose head came in part", 1, HEAD_IN_PART],
  ["many whose heads came in part", 60, HEAD_IN_PART],
  ["a request whose body came in part", 1, BODY_IN_PART],
])("%s, callers that wait: as old as the process stood still", async (_what, count, firstLength) => {
  const { waitedMs } = await readLate({ count, firstLength, leaves: false });
  expect(waitedMs.length).toBe(count);
  expect(Math.min(...waitedMs)).toBeGreaterThanOrEqual(STILL_MS);
});

test.each([
  ["one", 1],
  ["many", 60],
])("%s whose callers have closed their connections: not handled", async (_what, count) => {
  const { waitedMs, received } = await readLate({ count, firstLength: WHOLE, leaves: true });
  expect([waitedMs, received]).toEqual([[], []]);
});

// The id of an add is remembered for ten minutes: what is older than any caller's patience must not be added again.
test("what may have waited for over 30 s is answered 503, whatever it is, and not handled", async () => {
  const { waitedMs, received } = await readLate({ count: 3, firstLength: WHOLE, leaves: false, stillMs: 31_000 });
  expect(waitedMs).toEqual([]);
  for (const answer of received) expect(answer).toMatch(/^HTTP\/1.1 503 /);
});

test("a request on a connection that rested for a while is young, and so is the first one on a connection that waited", async () => {
  const ages: number[] = [];
  const server = serve.child(clock, "operator", ADDRESS, ({ caller }) => {
    ages.push(caller.waitedMs());
    return { status: 200, json: {} };
  });
  await server.start();
  const [host, port] = ADDRESS.split(":");
  const socket = net.connect(Number(port), host);
  let received = 0;
  socket.on("data", () => (received += 1));
  for (let count = 1; count <= 3; count += 1) {
    // The connection rests while the checks of the server go on.
    for (let turn = 0; turn < STILL_MS / 100; turn += 1) await clock.play(100);
    socket.write(REQUEST);
    await until(`answer ${count}`, () => received === count);
  }
  socket.destroy();
  await server.stop();
  expect(Math.max(...ages)).toBeLessThanOrEqual(200);
});
