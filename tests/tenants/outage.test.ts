// The estimate of how long an outage lasts on (design/tenants 4.6).
import * as outages from "../../src/tenants/outage.js";
import * as simulatedClock from "../sim/simulated-clock.js";

const BOUNDS = { minMs: 300, maxMs: 3000 };

test("an outage is expected to last as long again as it has lasted, within its bounds", async () => {
  const clock = new simulatedClock.SimulatedClock();
  const outage = new outages.Outage(clock, BOUNDS);
  const told: number[] = [];
  for (let step = 0; step < 9; step += 1) {
    told.push(outage.retryAfterMs());
    await clock.play(500);
  }
  expect(told).toEqual([300, 500, 1000, 1500, 2000, 2500, 3000, 3000, 3000]);
});

test("once what it held up works again, or after a while without it, the next one is a new one", async () => {
  const clock = new simulatedClock.SimulatedClock();
  const outage = new outages.Outage(clock, BOUNDS);
  outage.retryAfterMs();
  await clock.play(1500);
  expect(outage.retryAfterMs()).toBe(1500);
  outage.end();
  expect(outage.retryAfterMs()).toBe(300);
  await clock.play(2500);
  expect(outage.retryAfterMs()).toBe(300);
});
