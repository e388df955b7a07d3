/**
 * A control node that shuts down answers the calls that it has taken.
 *
 * Found after routers had lost requests in the same way (tests/router/graceful-shutdown.test.ts): what a process has taken, it must
 * answer before it ends.
 * Order of events: a client adds to a tally; the disks of the peers are slow; the node gets SIGTERM, waits 0.15 s and ends
 * its links, so that the add can't be kept by another disk any more; the process ends, and the connection with it, without
 * an answer, although the add may count.
 * Cause: the end of the node closed its servers without waiting for the calls under way, and after its links.
 * Evidence: these tests, on the code before: the server stops at once, and the add is never acknowledged.
 */
import * as fs from "node:fs";
import * as net from "node:net";
import * as os from "node:os";
import * as path from "node:path";
import * as controlProgram from "../../src/control/control-program.js";
import * as timers from "../../src/runtime/timers.js";
import * as calls from "../../src/wire/calls.js";
import type * as link from "../../src/wire/link.js";
import * as serve from "../../src/wire/serve.js";
import * as loopback from "../sim/loopback.js";
import * as simulatedClock from "../sim/simulated-clock.js";

const NET = `127.${20 + (process.pid % 200)}`;
const clock = new timers.SystemClock();

const sockets: net.Socket[] = [];

afterEach(() => {
  for (const socket of sockets.splice(0)) socket.destroy();
});

/** Sends a request over a connection of its own; resolves with all that came back until the connection ended. */
function ask(address: string, text: string): Promise<string> {
  const [host, port] = address.split(":");
  const socket = net.connect(Number(port), host);
  sockets.push(socket);
  return new Promise((resolve) => {
    let received = "";
    socket.on("data", (bytes: Buffer) => (received += bytes.toString()));
    socket.on("error", () => undefined);
    socket.on("close", () => resolve(received));
    socket.write(text);
  });
}

test("a JSON server that stops answers the calls under way, and then closes their connections", async () => {
  let answer: (response: serve.HttpResponse) => void = () => undefined;
  let isTaken = false;
  const address = `${NET}.9.1:9401`;
  const server = serve.child(clock, "operator", address, () => {
    isTaken = true;
    return new Promise((resolve) => (answer = resolve));
  });
  await server.start();
  const received = ask(address, "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n");
  while (!isTaken) await simulatedClock.settle();
  let isStopped = false;
  const stopped = Promise.resolve(server.stop()).then(() => (isStopped = true));
  for (let turn = 0; turn < 200; turn += 1) await simulatedClock.settle();
  expect(isStopped).toBe(false);
  answer({ status: 200, json: { done: true } });
  await stopped;
  expect(await received).toMatch(/^HTTP\/1.1 200 [^]*\{"done":true\}$/);
});

describe("three control nodes", () => {
  let folder: string;
  let controls: controlProgram.ControlProgram[];
  const ports = { control: 9101, directory: 9102, internal: "9301,9315", frontend: 9201, readiness: 9202 };
  const system = { net: NET, ports, platform: `${NET}.9.2:9402` };

  beforeEach(async () => {
    folder = fs.mkdtempSync(path.join(os.tmpdir(), "cranewind-shutdown-"));
    controls = [0, 1, 2].map(
      (index) =>
        new controlProgram.ControlProgram(clock, loopback.startupOf(system, "control", index, path.join(folder, `${index}`), true)),
    );
    await Promise.all(controls.map((program) => program.root.start()));
  });

  afterEach(async () => {
    for (const program of controls) await program.stop();
    fs.rmSync(folder, { recursive: true });
  });

  /** The peer keeps what is pushed to it only once the gate opens: its disk is slow. `onPush` is called when a push arrives. */
  function slowDown(program: controlProgram.ControlProgram, gate: Promise<void>, onPush: () => void = () => undefined): void {
    const { handlers } = program as unknown as { handlers: link.Handlers };
    const receivePush = handlers.get(calls.counterPush.code)!;
    handlers.on(calls.counterPush, async (from, push) => {
      onPush();
      await gate;
      return (await receivePush(from, push as never)) as never;
    });
  }

  function add(index: number, id: string): Promise<string> {
    const body = JSON.stringify({ instance_id: id, actor: 5 });
    const head = `POST /-/Tallies.Update/hours HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: ${body.length}\r\n\r\n`;
    return ask(loopback.controlAddress(system, index), head + body);
  }

  test("a node that leaves stays until each peer in touch holds its adds: it may not come back", async () => {
    let count = 0;
    const isTaken = async (): Promise<boolean> => (await add(1, `first-${(count += 1)}`)).startsWith("HTTP/1.1 200");
    await loopback.until("adds are taken", isTaken);
    let open: () => void = () => undefined;
    slowDown(controls[2], new Promise((resolve) => (open = resolve)));
    expect(await add(1, "on two disks")).toMatch(/^HTTP\/1.1 200 /);
    let isStopped = false;
    const stopped = controls[1].stop().then(() => (isStopped = true));
    await timers.sleep(clock, 400);
    expect(isStopped).toBe(false);
    open();
    await stopped;
  });

  test("an add under way at SIGTERM is acknowledged, although the disks of the peers are slow", async () => {
    let count = 0;
    await loopback.until("adds are taken", async () => (await add(0, `warm-up-${(count += 1)}`)).startsWith("HTTP/1.1 200"));
    let open: () => void = () => undefined;
    const gate = new Promise<void>((resolve) => (open = resolve));
    let isUnderWay = false;
    for (const peer of controls.slice(1)) slowDown(peer, gate, () => (isUnderWay = true));
    const received = add(0, "slow");
    await loopback.until("the add is pushed", () => isUnderWay);
    const stopped = controls[0].stop();
    // Longer than the notice that a node gives before its links end.
    await timers.sleep(clock, 400);
    open();
    expect(await received).toMatch(/^HTTP\/1.1 200 /);
    await stopped;
  });
});
