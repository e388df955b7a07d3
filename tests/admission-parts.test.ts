// The parts of admission by themselves, as tables: prediction, room, slowness, denials and sizes (design/admission 2 to 5).
import * as prediction from "../src/admission/prediction.js";
import * as recentRejections from "../src/admission/recent-rejections.js";
import * as cellCapacity from "../src/admission/cell-capacity.js";
import * as sizeClasses from "../src/admission/size-classes.js";
import * as runnerSlowdown from "../src/admission/runner-slowdown.js";
import * as types from "../src/wire/types.js";

const PLACE: cellCapacity.SlotUsage = { capacity: 8, used: 4, waiting: 0, kvUsed: 1000, kvCapacity: 10_000, backlogMs: 0 };
const NEED: prediction.TokenDemand = { prefillTokens: 800, outputTokens: 50, totalTokens: 1000 };
const KNOWN: prediction.Conditions = {
  prefillTokensPerMs: 40,
  occupancyMs: 1000,
  tokenMs: 20,
  waitFactor: 1,
  slowdown: runnerSlowdown.NO_SLOWDOWN,
  fullForMs: 0,
  lagMs: 0,
};

function at(
  place: Partial<cellCapacity.SlotUsage>,
  need: Partial<prediction.TokenDemand> = {},
  known: Partial<prediction.Conditions> = {},
): prediction.Prediction {
  return prediction.predict({ ...PLACE, ...place }, { ...NEED, ...need }, { ...KNOWN, ...known });
}

test.each<[string, (step: number) => prediction.Prediction]>([
  ["used places", (step) => at({ used: 4 + 3 * step })],
  ["readings ahead", (step) => at({ backlogMs: 100 * step })],
  ["tokens taken", (step) => at({ kvUsed: 2000 * step })],
  ["unread tokens", (step) => at({}, { prefillTokens: 500 * step })],
  ["tokens out", (step) => at({}, { outputTokens: 1 + 100 * step })],
  ["time a token", (step) => at({}, {}, { tokenMs: 10 * step })],
  ["slowness", (step) => at({}, {}, { slowdown: { first: 1 + step, stream: 1 + step } })],
  ["own lag", (step) => at({}, {}, { lagMs: 50 * step })],
  ["a hand-back a moment ago", (step) => at({}, {}, { fullForMs: 50 * step })],
  ["the wait's factor", (step) => at({ used: 20 }, {}, { waitFactor: 1 + step })],
])("never earlier with more of: %s", (_name, made) => {
  const steps = [0, 1, 2, 3, 4, 5].map(made);
  for (const [index, step] of steps.slice(1).entries()) {
    expect(step.firstEventMs).toBeGreaterThanOrEqual(steps[index].firstEventMs);
    expect(step.completionMs).toBeGreaterThanOrEqual(steps[index].completionMs);
  }
  expect(steps[5].completionMs).toBeGreaterThan(steps[0].completionMs);
});

test("places, memory and what never fits", () => {
  expect(at({ used: 7 }).hasFreeSlot).toBe(true);
  expect(at({ used: 8 }).hasFreeSlot).toBe(false);
  expect(at({ waiting: 1 }).hasFreeSlot).toBe(false);
  expect(at({ kvUsed: 9200 }).hasFreeSlot).toBe(false);
  expect(at({}, { totalTokens: 10_001 }).neverFits).toBe(true);
  expect(at({ kvCapacity: 0 }, { totalTokens: 1e6 })).toMatchObject({ neverFits: false, hasFreeSlot: true });
});

test("room and its parts: own traffic over all, half an even split at least, never under one place", () => {
  const room = cellCapacity.sumCapacity([PLACE, { ...PLACE, used: 11, waiting: 3 }]);
  expect(room).toMatchObject({ runners: 2, places: 16, freePlaces: 4, waiting: 3, tokens: 20_000, freeTokens: 18_000, readMs: 2000 });
  expect([cellCapacity.routerFraction(5, 10, 50), cellCapacity.routerFraction(0, 10, 50), cellCapacity.routerFraction(0, 0, 50)]).toEqual([
    0.5, 0.01, 0.02,
  ]);
  expect([
    cellCapacity.leasedSlots(room, 0.5),
    cellCapacity.leasedSlots(room, 0.01),
    cellCapacity.leasedSlots({ ...room, freePlaces: 0 }, 1),
  ]).toEqual([2, 1, 0]);
  expect([cellCapacity.isUnderHalfUsed(room), cellCapacity.isUnderHalfUsed({ ...room, waiting: 0, freePlaces: 9 })]).toEqual([false, true]);
  expect(cellCapacity.requestsPerS(room, { tokens: 1000, prefillMs: 10, occupancyMs: 2000 })).toBe(2);
  expect(cellCapacity.requestsPerS(room, { tokens: 0, prefillMs: 0, occupancyMs: 0 })).toBe(Infinity);
});

test("a slowed runner is followed within one reply, an overdue one before it, and forgiven slowly", () => {
  const slow = new runnerSlowdown.RunnerSlowdowns();
  const id: types.RunnerId = types.small("i-1");
  const one = { sentAt: 0, predictedMs: 100 };
  slow.requestSent(id, one);
  expect(slow.slowdownOf(id, 100).first).toBe(1);
  expect(slow.slowdownOf(id, 900).first).toBe(5);
  slow.responseStarted(id, one, 900);
  expect(slow.slowdownOf(id, 900).first).toBeGreaterThan(3);
  expect(slow.slowdownOf(id, 900).stream).toBeGreaterThan(3);
  for (let count = 0; count < 3; count += 1) {
    const next = { sentAt: 1000, predictedMs: 100 };
    slow.requestSent(id, next);
    slow.responseStarted(id, next, 1100);
  }
  expect(slow.slowdownOf(id, 1100).first).toBeGreaterThan(1.5);
});

test("who was denied is known on the way back, within bounds", () => {
  const memory = new recentRejections.RecentRejections();
  const key = recentRejections.requestKey("r", [3, 5], null);
  expect([key, recentRejections.requestKey("r", [], null)]).toEqual([5, 0]);
  expect(recentRejections.requestKey("r", [], Buffer.from("same"))).toBe(recentRejections.requestKey("r", [], Buffer.from("same")));
  memory.record(key, 0);
  expect([memory.count(key, 9000), memory.count(key, 11_000), memory.count(0, 0)]).toEqual([1, 0, 0]);
  for (let other = 10; other < 20_000; other += 1) memory.record(other, 100);
  expect(memory.size).toBeLessThanOrEqual(4096);
});

test("a class of sizes that is admitted less often is held back no further", () => {
  const made = new sizeClasses.SizeClasses();
  for (let count = 0; count < 300; count += 1) made.record(1 + (count % 100), count % 100 < 90);
  expect([made.classOf(100), made.classOf(85), made.classOf(10)]).toEqual([0, 1, 2]);
  expect([made.isHeldBack(100), made.isHeldBack(10)]).toEqual([true, false]);
});
