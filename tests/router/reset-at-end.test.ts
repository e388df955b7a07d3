// The end of a body that ends with its connection (design/hardening/5-callers 5.6).
import * as routerEdge from "../sim/router-edge.js";
import * as rawRunner from "../sim/raw-runner.js";
import * as simulatedClock from "../sim/simulated-clock.js";

let edge: routerEdge.Edge<rawRunner.RawRunner> | null = null;
afterEach(() => edge?.stop());

// Where both arrive at once the runtime emits "end", and no error.
test("an answer that ends with its connection is not whole when a reset comes together with its last bytes", async () => {
  const answer: rawRunner.Answer = { ...rawRunner.FINE, framing: "until_close" };
  const head = rawRunner.answerBytes("i-1", "q1", answer).indexOf("\r\n\r\n") + 4;
  const runner = new rawRunner.RawRunner("i-1", [{ answer, part: "answer", byte: head + 5, fault: "reset" }]);
  edge = await routerEdge.Edge.over(new simulatedClock.SimulatedClock(), [runner]);
  const read = rawRunner.readAnswer(
    await edge.send("POST /once/x HTTP/1.1\r\nHost: h\r\nX-Cranewind-Request-Id: q1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"),
  );
  expect(read === null || read.status === 502 || !read.looksWhole).toBe(true);
});
