// A server that stops while a call waits unread on a connection that was used before, as in a process that was not run for a while:
// timers run before sockets are read. Such a call must not be lost with its connection (soak seed 413).
import * as workers from "node:worker_threads";
import * as serve from "../../src/wire/serve.js";
import * as simulatedClock from "../sim/simulated-clock.js";

const ADDRESS = "127.0.32.1:9401";
const REQUEST = "POST /-/Tallies.Update/t HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n";
/** Places of the shared flags: the server stands still; the second call was sent. */
const IS_STILL = 0;
const IS_SENT = 1;

/** Makes a call, and another one on the same connection once the server stands still. */
const CLIENT = `
  const { workerData: { address, request, flags }, parentPort } = require("node:worker_threads");
  const [host, port] = address.split(":");
  const socket = require("node:net").connect({ host, port: Number(port) }, () => socket.write(request));
  let answers = 0;
  socket.on("data", () => {
    answers += 1;
    parentPort.postMessage(answers);
    if (answers > 1) return;
    Atomics.wait(flags, ${IS_STILL}, 0);
    socket.write(request, () => { Atomics.store(flags, ${IS_SENT}, 1); Atomics.notify(flags, ${IS_SENT}); });
  });
  socket.on("error", () => undefined);
  socket.on("close", () => parentPort.postMessage("closed"));
`;

test("a call that waits unread on a used connection when its server stops is answered", async () => {
  const server = serve.child(new simulatedClock.SimulatedClock(), "operator", ADDRESS, () => ({ status: 200, json: {} }));
  await server.start();
  const flags = new Int32Array(new SharedArrayBuffer(8));
  const worker = new workers.Worker(CLIENT, { eval: true, workerData: { address: ADDRESS, request: REQUEST, flags } });
  const seen: unknown[] = [];
  let stopped: Promise<void> | undefined;
  await new Promise<void>((resolve) => {
    worker.on("message", (message: unknown) => {
      seen.push(message);
      if (message === "closed") resolve();
      if (message !== 1) return;
      Atomics.store(flags, IS_STILL, 1);
      Atomics.notify(flags, IS_STILL);
      Atomics.wait(flags, IS_SENT, 0);
      stopped = server.stop();
    });
  });
  await stopped;
  await worker.terminate();
  expect(seen).toEqual([1, 2, "closed"]);
});
