// Guards against token counts that no field between routers takes: an exception a request, and after 30 of them the process ended.
import * as routerEdge from "../sim/router-edge.js";
import * as stoppedClock from "../sim/stopped-clock.js";

const MAX_TOKENS = 2 ** 31 - 1;

let edge: routerEdge.Edge;

beforeAll(async () => {
  edge = await routerEdge.Edge.start(new stoppedClock.StoppedClock(), [{ id: "i-1" }]);
});
afterAll(() => edge.stop());

test.each([
  [`Prompt-Prefix: a:${MAX_TOKENS}`, "200"],
  [`Prompt-Prefix: a:${MAX_TOKENS + 1}`, "400"],
  [`Prompt-Prefix: a:${MAX_TOKENS},b:1`, "400"],
  ["Prompt-Prefix: a:1e300", "400"],
  ["Prompt-Prefix: a:-1", "400"],
  ["Prompt-Prefix: a:0", "200"],
  [`Token-Usage: ${MAX_TOKENS},1`, "200"],
  [`Token-Usage: 1,${MAX_TOKENS + 1}`, "400"],
])("a request with X-Cranewind-%s gets %s", async (header, status) => {
  const head = "Host: h\r\nX-Cranewind-Request-Id: q1\r\nConnection: close";
  const told = await edge.send(`GET /read/x HTTP/1.1\r\n${head}\r\nX-Cranewind-${header}\r\n\r\n`);
  expect(told.slice(9, 12)).toBe(status);
});
