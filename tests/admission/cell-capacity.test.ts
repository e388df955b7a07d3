// Capacity of cells, and the fraction of it that a router may use (design/admission 4).
import * as cellCapacity from "../../src/admission/cell-capacity.js";

const RUNNER: cellCapacity.SlotUsage = { capacity: 8, used: 4, waiting: 0, kvUsed: 1000, kvCapacity: 10_000, backlogMs: 0 };

test("a router may use its fraction of the requests, at least half of an even split, and at least one slot", () => {
  const capacity = cellCapacity.sumCapacity([RUNNER, { ...RUNNER, used: 11, waiting: 3 }]);
  expect(capacity).toMatchObject({ runners: 2, places: 16, freePlaces: 4, waiting: 3, tokens: 20_000, freeTokens: 18_000, readMs: 2000 });
  expect([cellCapacity.routerFraction(5, 10, 50), cellCapacity.routerFraction(0, 10, 50), cellCapacity.routerFraction(0, 0, 50)]).toEqual([
    0.5, 0.01, 0.02,
  ]);
  expect([
    cellCapacity.leasedSlots(capacity, 0.5),
    cellCapacity.leasedSlots(capacity, 0.01),
    cellCapacity.leasedSlots({ ...capacity, freePlaces: 0 }, 1),
  ]).toEqual([2, 1, 0]);
  expect([cellCapacity.isUnderHalfUsed(capacity), cellCapacity.isUnderHalfUsed({ ...capacity, waiting: 0, freePlaces: 9 })]).toEqual([
    false,
    true,
  ]);
  expect(cellCapacity.requestsPerS(capacity, { tokens: 1000, prefillMs: 10, occupancyMs: 2000 })).toBe(2);
  expect(cellCapacity.requestsPerS(capacity, { tokens: 0, prefillMs: 0, occupancyMs: 0 })).toBe(Infinity);
});
