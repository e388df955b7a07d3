// A request that was passed on from a kept connection is answered, whatever closes connections meanwhile: shorter idle
// limits, a router that leaves, the end of the server (LOST on kept connections).
import * as net from "node:net";
import * as timers from "../../src/runtime/timers.js";
import * as routerEdge from "../sim/router-edge.js";

const CLIENTS = 24;
const clock = new timers.SystemClock();

interface Client {
  answered: Set<string>;
  socket: net.Socket;
}

/** Sends a request after each answer, until its connection ends. */
function keepAsking(port: number, name: string, onAnswer: () => void): Client {
  const socket = net.connect(port, "127.0.0.1");
  const client: Client = { answered: new Set(), socket };
  let count = 0;
  let text = "";
  socket.on("error", () => undefined);
  socket.on("connect", send);
  socket.on("data", (chunk: Buffer) => {
    text += chunk.toString("latin1");
    // The stand-in's answer to a plain request is chunked; its last chunk ends it.
    if (!text.includes("0\r\n\r\n") && !/content-length: \d+\r\n[^]*\r\n\r\n./i.test(text)) return;
    if (/^HTTP\/1\.1 200/.test(text)) client.answered.add(`${name}-${count}`);
    const isLast = /\r\nconnection: close/i.test(text);
    text = "";
    onAnswer();
    if (!isLast) send();
  });
  return client;

  function send(): void {
    count += 1;
    const headers = `Host: h\r\nX-Cranewind-Request-Id: ${name}-${count}\r\nX-Cranewind-Time-Budget-Ms: 3000\r\n`;
    if (socket.writable) socket.write(`POST /read/x HTTP/1.1\r\n${headers}Content-Length: 2\r\n\r\nhi`);
  }
}

test.each<[string, (edge: routerEdge.Edge) => void]>([
  ["the idle limit is cut to a millisecond", (edge) => edge.server.applyLimits({ idle_timeout_ms: 1 })],
  ["the router leaves and its server closes", leave],
  ["idle connections are closed again and again", (edge) => [1, 2, 3].forEach(() => edge.server.close())],
])("%s: all that reached a runner is answered", async (_name, meddle) => {
  const edge = await routerEdge.Edge.start(clock, [{ capacity: 64 }, { id: "i-2", capacity: 64 }]);
  let answers = 0;
  const clients = Array.from({ length: CLIENTS }, (_item, index) => keepAsking(edge.server.port, `k${index}`, () => (answers += 1)));
  while (answers < 200) await new Promise(setImmediate);
  meddle(edge);
  const until = answers + 100;
  for (let turn = 0; turn < 3000 && answers < until; turn += 1) await new Promise(setImmediate);
  edge.server.isDraining = true;
  for (let turn = 0; turn < 3000 && edge.server.activeCount > 0; turn += 1) await new Promise(setImmediate);
  for (let turn = 0; turn < 200; turn += 1) await new Promise(setImmediate);
  const answered = new Set(clients.flatMap((client) => [...client.answered]));
  const passedOn = edge.seen().map(({ requestId }) => requestId);
  expect(passedOn.length).toBeGreaterThanOrEqual(200);
  expect(passedOn.filter((id) => !answered.has(id))).toEqual([]);
  for (const { socket } of clients) socket.destroy();
  edge.stop();
});

function leave(edge: routerEdge.Edge): void {
  edge.server.isDraining = true;
  edge.server.close();
}
