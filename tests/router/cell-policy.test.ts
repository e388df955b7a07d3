// Which cell a request goes to first (design 7.3).
import * as runnerFleet from "../../src/runners/runner-fleet.js";
import type * as routePlan from "../../src/routing/route-plan.js";
import * as cellPolicy from "../../src/router/policies/cell-policy.js";
import * as instances from "../sim/instances.js";
import * as simulatedClock from "../sim/simulated-clock.js";

test("a cell past its threshold is used last; after a long absence it comes back by steps, after a short one at once", () => {
  const fleet = new runnerFleet.RunnerFleet(
    new simulatedClock.SimulatedClock(1),
    new Map([
      ["a", "a"],
      ["b", "b"],
    ]),
  );
  fleet.applySnapshot([instances.instance("a-1", { zone: "a" }), instances.instance("b-1", { zone: "b" })]);
  const policy = new cellPolicy.CellPolicy("a");
  const [first] = fleet.ofService("s");
  function share(now: number): number {
    let own = 0;
    for (let index = 0; index < 400; index += 1) {
      const plan = {
        requestId: `r${index}`,
        service: "s",
        sharedTokens: 0,
        sharedParts: [],
        now,
        candidates: [...fleet.ofService("s")],
        cells: [],
      } as unknown as routePlan.RoutePlan;
      policy.apply(plan);
      if (plan.cells[0] === "a") own += 1;
    }
    return Math.round(own / 40) * 10;
  }
  expect(share(0)).toBe(100);
  first.recordSilence(10);
  expect(share(100)).toBe(0);
  expect(share(800)).toBe(100);
  for (let at = 1000; at <= 4000; at += 200) first.recordSilence(at);
  expect(share(1100)).toBe(0);
  expect([8100, 8700, 9200, 9700, 10_200].map(share)).toEqual([10, 30, 50, 70, 100]);
});

test("a lost cell moves only its own keys", () => {
  const all = new Map([
    ["a", 6],
    ["b", 4],
    ["c", 3],
  ]);
  const less = new Map([
    ["a", 6],
    ["b", 4],
  ]);
  const counts = new Map<string, number>();
  for (let key = 0; key < 1300; key += 1) {
    const first = cellPolicy.rankByKey(`k${key}`, all)[0];
    counts.set(first, (counts.get(first) ?? 0) + 1);
    if (first !== "c") expect(cellPolicy.rankByKey(`k${key}`, less)[0]).toBe(first);
  }
  expect(counts.get("a")! / counts.get("c")!).toBeGreaterThan(1.5);
});
