// Guards against a client whose requests ask for weights that no runner has, and which took all runners from the others.
import * as routerEdge from "../sim/router-edge.js";
import * as stoppedClock from "../sim/stopped-clock.js";

test("requests for another version are refused, and take no runner from the requests after them", async () => {
  const edge = await routerEdge.Edge.start(new stoppedClock.StoppedClock(), [{ id: "i-1" }, { id: "i-2" }]);
  const ask = async (id: string, more: string): Promise<string> => {
    const head = `Host: h\r\nX-Cranewind-Request-Id: ${id}\r\nConnection: close\r\n${more}`;
    return (await edge.send(`GET /read/x HTTP/1.1\r\n${head}\r\n`)).slice(9, 12);
  };
  for (const id of ["q1", "q2", "q3"]) expect(await ask(id, "X-Cranewind-Expected-Version: 7\r\n")).toBe("503");
  expect(await ask("q4", "")).toBe("200");
  edge.stop();
});
