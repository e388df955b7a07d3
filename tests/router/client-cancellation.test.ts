// A client that leaves frees what it waited for (rule GONE): also while its request waits for the first configuration.
import * as net from "node:net";
import * as timers from "../../src/runtime/timers.js";
import * as routerEdge from "../sim/router-edge.js";
import * as simulatedClock from "../sim/simulated-clock.js";

let edge: routerEdge.Edge;

beforeEach(async () => {
  edge = await routerEdge.Edge.start(new timers.SystemClock(), [{ id: "i-1" }]);
});
afterEach(() => edge.stop());

const REQUEST = "POST /once/x HTTP/1.1\r\nHost: h\r\nX-Cranewind-Request-Id: q1\r\nContent-Length: 2\r\n\r\nab";

async function until(isSo: () => boolean): Promise<void> {
  while (!isSo()) await simulatedClock.settle();
}

test.each<["reset" | "end"]>([["reset"], ["end"]])(
  "a request that waits for the first configuration is dropped when its client closes by %s",
  async (how) => {
    edge.isReady = false;
    const client = net.connect(edge.server.port, "127.0.0.1");
    client.on("error", () => undefined);
    client.write(REQUEST);
    await until(() => edge.server.activeCount === 1);
    if (how === "reset") client.resetAndDestroy();
    else client.end();
    await until(() => edge.server.activeCount === 0);
    edge.isReady = true;
    edge.server.servePending();
    await simulatedClock.settle();
    expect(edge.seen()).toEqual([]);
  },
);

test("a request that waits for the first configuration is served once the router is ready", async () => {
  edge.isReady = false;
  const told = edge.send(REQUEST.replace("Host: h", "Host: h\r\nConnection: close"));
  await until(() => edge.server.activeCount === 1);
  edge.isReady = true;
  edge.server.servePending();
  expect(await told).toMatch(/^HTTP\/1\.1 200/);
  expect(edge.seen()).toHaveLength(1);
});
