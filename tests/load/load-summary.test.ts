// Summaries of regions: what they count, when they are fresh, and how routers judge a region by them (design/usage 4).
import * as load from "../sim/load.js";
import * as cellPolicy from "../../src/router/policies/cell-policy.js";
import * as regionReports from "../../src/load/region-reports.js";
import * as loadSummary from "../../src/load/load-summary.js";
import * as schema from "../../src/wire/schema.js";
import * as simulatedClock from "../sim/simulated-clock.js";

const { report, instance } = load;

test("a summary counts healthy runners, usage and free capacity, and is not fresh while reports are stale", () => {
  const picture = new regionReports.RegionReports("r");
  const instances = ["a", "b", "c", "d"].map((id) => ({ ...instance(id, "r", 16), isDraining: id === "d" }));
  picture.apply(
    [
      report("a", { active: 16, waiting: 4 }),
      report("b", { isSpeaking: false, active: 9 }),
      report("c", { active: 4 }),
      report("d", { active: 8 }),
    ],
    100,
  );
  const expected = { isFresh: true, total: 4, good: 2, usage: 8, room: 3 };
  expect(loadSummary.summarizeRegion(picture, instances, 100).get("s")).toEqual(expected);
  expect(loadSummary.summarizeRegion(picture, instances, 2200).get("s")!.isFresh).toBe(false);
  expect(loadSummary.withHysteresis(expected, { ...expected, usage: 9, room: 2 })).toEqual(expected);
  expect(loadSummary.withHysteresis(expected, { ...expected, usage: 10, room: 0, good: 1 })).toEqual({
    ...expected,
    usage: 10,
    room: 0,
    good: 1,
  });
  const known = new loadSummary.LoadSummaries();
  known.applyItem("r/s", schema.summary.toBuffer(expected));
  expect(known.summaryOf("r", "s")).toEqual(expected);
  known.applyItem("r/s", schema.summary.toBuffer({ ...expected, isFresh: false }));
  expect(known.summaryOf("r", "s")).toBeNull();
});

test("a region that is lost by its summary is attempted last, although its reports are not followed", () => {
  const clock = new simulatedClock.SimulatedClock(1);
  const runner = (id: string, region: string): unknown => ({ id, region, isSuspect: () => false, instance: instance(id, region) });
  const known = new loadSummary.LoadSummaries();
  const policy = new cellPolicy.CellPolicy("a", known);
  const order = (): string[] => {
    const plan = {
      requestId: "q",
      service: "s",
      sharedParts: [],
      sharedTokens: 0,
      now: clock.now(),
      cells: [],
      candidates: [runner("1", "a"), runner("2", "b"), runner("3", "c")],
    };
    policy.apply(plan as never);
    return plan.cells;
  };
  expect(order()).toEqual(["a", "b", "c"]);
  known.applyItem("b/s", schema.summary.toBuffer({ isFresh: true, total: 3, good: 0, usage: 0, room: 0 }));
  expect(order()).toEqual(["a", "c", "b"]);
  known.setDetailedRegions(new Set(["b"]));
  expect(known.summaryOf("b", "s")).toBeNull();
});

test.each([
  ["no shared prompt", 0, ["a", "b", "c"], []],
  ["a long prompt at home", 5000, ["a"], ["a"]],
  ["a long prompt anywhere", 5000, ["a", "b", "c"], ["a", "b", "c"]],
])("requests details of the regions that are ranked by prompt key: %s", (_name, tokens, regions, expected) => {
  const known = new loadSummary.LoadSummaries();
  const policy = new cellPolicy.CellPolicy("a", known);
  for (let index = 0; index < 50; index += 1) {
    const sharedParts = [{ id: `p${index}`, tokens }];
    const candidates = regions.map((region) => ({ id: region, region, isSuspect: () => false }));
    policy.apply({ requestId: "q", service: "s", sharedParts, sharedTokens: tokens, now: 0, cells: [], candidates } as never);
  }
  expect([...known.drainRequestedRegions()].sort()).toEqual(expected);
  expect(known.drainRequestedRegions().size).toBe(0);
});
