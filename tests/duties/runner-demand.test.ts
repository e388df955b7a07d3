// How many runners are ordered (design/duties 7): days of load played second by second against runners that take time to start.
import * as zoneLoads from "../../src/control/duties/zone-loads.js";
import * as runnerDemand from "../../src/duties/runner-demand.js";
import type * as dutySchema from "../../src/wire/duty-schema.js";
import type * as schema from "../../src/wire/schema.js";
import * as simulatedClock from "../sim/simulated-clock.js";

const SLOTS = 64;
const BOUNDS: runnerDemand.ScalingBounds = { minCount: 2, maxCount: 20, startupMs: 8000 };

/** The runners in force after each second of a day, for this number of requests in it. */
function play(seconds: number, requestsAt: (second: number) => number, runnersAtStart = 8): number[] {
  const clock = new simulatedClock.SimulatedClock();
  const demand = new runnerDemand.RunnerDemand(clock);
  let orders: dutySchema.RunnerOrder[] = [];
  let runners = runnersAtStart;
  const starting: { at: number; runners: number }[] = [];
  const history: number[] = [];
  for (let second = 0; second < seconds; second += 1) {
    clock.skip(1000);
    while (starting.length > 0 && starting[0].at <= second) runners = starting.shift()!.runners;
    const load = { service: "s", zone: "z", runners, slots: runners * SLOTS, requests: requestsAt(second) };
    const made = demand.newOrders([load], () => BOUNDS, orders);
    if (made.length > 0) {
      orders = made;
      if (made[0].desired < runners) runners = made[0].desired;
      else starting.push({ at: second + BOUNDS.startupMs / 1000, runners: made[0].desired });
    }
    history.push(runners);
  }
  return history;
}

describe("runner demand", () => {
  test("a load that stays high gets runners once, and use comes down to the target", () => {
    const history = play(120, (second) => (second < 20 ? 100 : 400));
    expect(history[119]).toBe(Math.ceil(400 / (SLOTS / 2)));
    expect(new Set(history).size).toBe(2);
  });

  test("a burst that is over before a runner starts changes nothing", () => {
    expect(new Set(play(120, (second) => (second >= 20 && second < 22 ? 500 : 100)))).toEqual(new Set([8]));
  });

  test("low use lowers the number slowly, never below what was needed lately nor below the minimum", () => {
    const history = play(900, () => 100);
    expect(history[100]).toBe(8);
    // Four would do: one more stays, so that a small rise orders nothing.
    expect(history[899]).toBe(5);
    expect(play(900, () => 0)[899]).toBe(BOUNDS.minCount);
    for (let at = 1; at < history.length; at += 1) expect(history[at - 1] - history[at]).toBeLessThanOrEqual(1);
  });

  test("waves are not followed down and up again", () => {
    const history = play(600, (second) => 256 + 60 * Math.sin(second / 4));
    expect(new Set(history).size).toBeLessThanOrEqual(2);
  });

  test("the maximum holds", () => {
    expect(Math.max(...play(300, () => 5000))).toBe(BOUNDS.maxCount);
  });

  test("loads count runners that run; a zone where one drains is left alone, as is a service without scaling", () => {
    const instance = { service: "s", capacity: SLOTS, isDraining: false } as schema.Instance;
    const instances = ["a", "b", "c"].map((id, index) => ({ ...instance, id, zone: index < 2 ? "z" : "y" }) as schema.Instance);
    const report = { isSpeaking: true, active: 3, waiting: 2 } as schema.Report;
    const reports = [{ region: "r", reports: instances.map(({ id }) => ({ ...report, id })) }];
    expect(zoneLoads.zoneLoads(instances, reports)).toContainEqual({ service: "s", zone: "z", runners: 2, slots: 128, requests: 10 });
    const left = zoneLoads.zoneLoads([instances[0], { ...instances[1], isDraining: true }, instances[2]], reports);
    expect(left.map(({ zone }) => zone)).toEqual(["y"]);
    const scaling = { min_count: 5, max_count: 46, startup_s: 8 };
    const config = { revision: 1, routes: [], services: [{ name: "s", scaling }, { name: "t" }] };
    expect(zoneLoads.scalingBounds(config, "s")).toEqual({ minCount: 5, maxCount: 46, startupMs: 8000 });
    expect(zoneLoads.scalingBounds(config, "t")).toBeNull();
  });
});
