// At which differences load reports are published, and how they are encoded (design/usage 3.1).
import * as reportResolution from "../../src/load/report-resolution.js";
import * as types from "../../src/wire/types.js";
import * as load from "../sim/load.js";

const { report } = load;

test.each([
  [1, 1],
  [8, 1],
  [16, 1],
  [17, 2],
  [32, 2],
  [64, 4],
  [200, 13],
])("the load of a runner with %d slots is published in steps of %d requests", (capacity, expected) => {
  expect(reportResolution.resolutionOf(capacity)).toBe(expected);
});

test.each([
  ["nothing", {}, {}, 8, false],
  ["one request of 8", { active: 3 }, { active: 4 }, 8, true],
  ["one request of 64", { active: 30 }, { active: 31 }, 64, false],
  ["three of 64", { active: 30 }, { active: 27 }, 64, false],
  ["four of 64", { active: 30 }, { active: 34 }, 64, true],
  ["one waiting of 16", {}, { waiting: 1 }, 16, true],
  ["a fortieth of the memory", {}, { kvUsed: 2500 }, 8, false],
  ["a thirtieth of the memory", {}, { kvUsed: 3334 }, 8, true],
  ["its report is missing", {}, { isSpeaking: false }, 64, true],
  ["its reports resume", { isSpeaking: false }, {}, 64, true],
  ["still missing, with other numbers", { isSpeaking: false }, { isSpeaking: false, active: 9 }, 8, false],
  ["another memory", {}, { kvCapacity: 90_000 }, 64, true],
])("decides whether a change is published: %s", (_name, published, now, capacity, expected) => {
  expect(reportResolution.measureDeviation(report("a", published), report("a", now), capacity) >= 1).toBe(expected);
});

test("encodes a report with its used memory in sixty-fourths of the capacity", () => {
  for (const kvUsed of [0, 700, 800, 50_000, 100_000, 120_000]) {
    const sent = report("a", { active: 5, waiting: 2, kvUsed });
    const back = reportResolution.decodeReport(sent.id, reportResolution.encodeReport(sent));
    expect(back).toEqual(reportResolution.quantized(sent));
    expect(Math.abs(back.kvUsed - Math.min(100_000, kvUsed))).toBeLessThanOrEqual(100_000 / 128 + 1);
  }
  expect(reportResolution.decodeReport(types.small("a"), reportResolution.encodeReport(report("a", { kvCapacity: 0 }))).kvUsed).toBe(0);
});
