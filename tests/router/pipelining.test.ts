// Guards against requests that pile up behind an unanswered one: their memory, and ends that nobody is told of (design/edge 7.14).
import * as net from "node:net";
import * as routerEdge from "../sim/router-edge.js";
import * as stoppedClock from "../sim/stopped-clock.js";

let edge: routerEdge.Edge;

beforeEach(async () => {
  edge = await routerEdge.Edge.start(new stoppedClock.StoppedClock(), [{ id: "i-1" }]);
});
afterEach(() => edge.stop());

function requests(count: number): string {
  return Array.from({ length: count }, (_, index) => `GET /read/x HTTP/1.1\r\nHost: h\r\nX-Cranewind-Request-Id: q${index}\r\n\r\n`).join(
    "",
  );
}

test("of 500 requests that are sent at once on one connection 32 are taken, the next gets 503, and the connection ends", async () => {
  const told = await edge.send(requests(500));
  const statuses = [...told.matchAll(/HTTP\/1\.1 (\d+) /g)].map((match) => match[1]);
  expect(statuses).toEqual([...Array<string>(32).fill("200"), "503"]);
  expect(told).toMatch(/Retry-After: 0\.10[\s\S]*too many requests wait on this connection/i);
  expect(edge.seen()).toHaveLength(32);
});

test("requests whose connection closes end all together, those behind the first too", async () => {
  edge.isReady = false;
  const socket = net.connect(edge.server.port, "127.0.0.1");
  socket.write(requests(5));
  while (edge.server.activeCount < 5) await new Promise((resolve) => setImmediate(resolve));
  socket.destroy();
  // The end of a connection on loopback is read within a few turns of the event loop.
  for (let turn = 0; turn < 5000 && edge.server.activeCount > 0; turn += 1) await new Promise((resolve) => setImmediate(resolve));
  expect(edge.server.activeCount).toBe(0);
});

// Guards against a request that is run although its response can't be sent any more (review case 2, RFC 9112, 9.3.2).
test("a POST behind a response that breaks off, or is the last on its connection, is not run; behind a whole one it is", async () => {
  const post = (id: string, more = ""): string =>
    `POST /once/x HTTP/1.1\r\nHost: h\r\nX-Cranewind-Request-Id: ${id}\r\n${more}Content-Length: 0\r\n\r\n`;
  const ids = (): string[] => edge.seen().map(({ requestId }) => requestId);
  const whole = await edge.send(post("a1") + post("a2") + post("a3", "Connection: close\r\n"));
  expect(whole.match(/HTTP\/1\.1 200 /g)).toHaveLength(3);
  expect(ids()).toEqual(["a1", "a2", "a3"]);
  const garbled = await edge.send(post("c1") + post("c2") + "no request\r\n\r\n");
  expect(garbled.match(/HTTP\/1\.1 200 /g)).toHaveLength(1);
  edge.server.isDraining = true;
  const last = await edge.send(post("b1") + post("b2"));
  expect(last.match(/HTTP\/1\.1 200 /g)).toHaveLength(1);
  expect(ids()).toEqual(["a1", "a2", "a3", "c1", "b1"]);
});
