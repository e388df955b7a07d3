// A body that comes too slowly (design/edge 7.12): its request ends at its deadline, and nothing of it reaches a runner.
import * as timers from "../../src/runtime/timers.js";
import * as routerEdge from "../sim/router-edge.js";

let edge: routerEdge.Edge;

beforeEach(async () => {
  edge = await routerEdge.Edge.start(new timers.SystemClock(), [{ id: "i-1" }]);
});
afterEach(() => edge.stop());

const HEAD = "Host: h\r\nX-Cranewind-Request-Id: q1\r\nX-Cranewind-Time-Budget-Ms: 60\r\n";

test.each([
  ["with a length", "Content-Length: 5\r\n\r\nab"],
  ["in chunks", "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n"],
])("a body %s that is never whole gets 408 at the deadline, and its connection ends", async (_name, rest) => {
  const told = await edge.send(`POST /once/x HTTP/1.1\r\n${HEAD}${rest}`);
  expect(told).toMatch(/^HTTP\/1\.1 408 [\s\S]*Connection: close[\s\S]*the deadline has passed before the body was whole; send it faster/i);
  expect(edge.seen()).toEqual([]);
});
