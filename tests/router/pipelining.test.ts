// Guards against requests that pile up behind an unanswered one: their memory, and ends that nobody is told of (design/edge 7.14).
import * as net from "node:net";
import * as timers from "../../src/runtime/timers.js";
import * as routerEdge from "../sim/router-edge.js";

let edge: routerEdge.Edge;

/** No timer ever fires: nothing ends by its deadline. */
class TimelessClock extends timers.SystemClock {
  override schedule(): { stop(): void } {
    return { stop: () => undefined };
  }
}

beforeEach(async () => {
  edge = await routerEdge.Edge.start(new TimelessClock(), [{ id: "i-1" }]);
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
