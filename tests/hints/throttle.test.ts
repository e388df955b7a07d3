// At most one run a period (design/usage 2.2).
import * as throttle from "../../src/hints/throttle.js";
import * as simulatedClock from "../sim/simulated-clock.js";

test.each([
  ["one at a time", [0, 100, 200], [0, 100, 200]],
  ["of a burst: the first at once, the others together", [0, 1, 2, 30, 59], [0, 60]],
  ["of a stream once a period", Array.from({ length: 200 }, (_item, index) => index), [0, 60, 120, 180, 240]],
])("runs requests %s", async (_name, requests, expected) => {
  const clock = new simulatedClock.SimulatedClock(1);
  const ran: number[] = [];
  const throttled = new throttle.Throttle(clock, () => ran.push(clock.now()));
  for (const at of requests) clock.schedule(at, () => throttled.request());
  await clock.play(1000);
  expect(ran).toEqual(expected);
});
