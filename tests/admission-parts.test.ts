// The parts of admission by themselves, as tables: prediction, room, slowness, denials and sizes (design/admission 2 to 5).
import * as predict from "../src/admission/predict.js";
import * as returns from "../src/admission/returns.js";
import * as rooms from "../src/admission/room.js";
import * as sizes from "../src/admission/sizes.js";
import * as slowness from "../src/admission/slowness.js";
import * as types from "../src/wire/types.js";

const PLACE: rooms.Place = { capacity: 8, used: 4, waiting: 0, kvUsed: 1000, kvCapacity: 10_000, backlogMs: 0 };
const NEED: predict.Need = { unread: 800, out: 50, tokens: 1000 };
const KNOWN: predict.Conditions = {
  rate: 40,
  heldMs: 1000,
  tokenMs: 20,
  waitFactor: 1,
  slowdown: slowness.NO_SLOWDOWN,
  fullForMs: 0,
  lagMs: 0,
};

function at(place: Partial<rooms.Place>, need: Partial<predict.Need> = {}, known: Partial<predict.Conditions> = {}): predict.Prediction {
  return predict.predict({ ...PLACE, ...place }, { ...NEED, ...need }, { ...KNOWN, ...known });
}

test.each<[string, (step: number) => predict.Prediction]>([
  ["used places", (step) => at({ used: 4 + 3 * step })],
  ["readings ahead", (step) => at({ backlogMs: 100 * step })],
  ["tokens taken", (step) => at({ kvUsed: 2000 * step })],
  ["unread tokens", (step) => at({}, { unread: 500 * step })],
  ["tokens out", (step) => at({}, { out: 1 + 100 * step })],
  ["time a token", (step) => at({}, {}, { tokenMs: 10 * step })],
  ["slowness", (step) => at({}, {}, { slowdown: { first: 1 + step, stream: 1 + step } })],
  ["own lag", (step) => at({}, {}, { lagMs: 50 * step })],
  ["a hand-back a moment ago", (step) => at({}, {}, { fullForMs: 50 * step })],
  ["the wait's factor", (step) => at({ used: 20 }, {}, { waitFactor: 1 + step })],
])("never earlier with more of: %s", (_name, made) => {
  const steps = [0, 1, 2, 3, 4, 5].map(made);
  for (const [index, step] of steps.slice(1).entries()) {
    expect(step.firstMs).toBeGreaterThanOrEqual(steps[index].firstMs);
    expect(step.endMs).toBeGreaterThanOrEqual(steps[index].endMs);
  }
  expect(steps[5].endMs).toBeGreaterThan(steps[0].endMs);
});

test("places, memory and what never fits", () => {
  expect(at({ used: 7 }).hasPlace).toBe(true);
  expect(at({ used: 8 }).hasPlace).toBe(false);
  expect(at({ waiting: 1 }).hasPlace).toBe(false);
  expect(at({ kvUsed: 9200 }).hasPlace).toBe(false);
  expect(at({}, { tokens: 10_001 }).neverFits).toBe(true);
  expect(at({ kvCapacity: 0 }, { tokens: 1e6 })).toMatchObject({ neverFits: false, hasPlace: true });
});

test("room and its parts: own traffic over all, half an even split at least, never under one place", () => {
  const room = rooms.roomOf([PLACE, { ...PLACE, used: 11, waiting: 3 }]);
  expect(room).toMatchObject({ runners: 2, places: 16, freePlaces: 4, waiting: 3, tokens: 20_000, freeTokens: 18_000, readMs: 2000 });
  expect([rooms.shareOf(5, 10, 50), rooms.shareOf(0, 10, 50), rooms.shareOf(0, 0, 50)]).toEqual([0.5, 0.01, 0.02]);
  expect([rooms.leaseOf(room, 0.5), rooms.leaseOf(room, 0.01), rooms.leaseOf({ ...room, freePlaces: 0 }, 1)]).toEqual([2, 1, 0]);
  expect([rooms.isHalfEmpty(room), rooms.isHalfEmpty({ ...room, waiting: 0, freePlaces: 9 })]).toEqual([false, true]);
  expect(rooms.requestsPerS(room, { tokens: 1000, readMs: 10, heldMs: 2000 })).toBe(2);
  expect(rooms.requestsPerS(room, { tokens: 0, readMs: 0, heldMs: 0 })).toBe(Infinity);
});

test("a slowed runner is followed within one reply, an overdue one before it, and forgiven slowly", () => {
  const slow = new slowness.Slowness();
  const id: types.RunnerId = types.small("i-1");
  const one = { sentAt: 0, predictedMs: 100 };
  slow.requestSent(id, one);
  expect(slow.at(id, 100).first).toBe(1);
  expect(slow.at(id, 900).first).toBe(5);
  slow.responseStarted(id, one, 900);
  expect(slow.at(id, 900).first).toBeGreaterThan(3);
  expect(slow.at(id, 900).stream).toBeGreaterThan(3);
  for (let count = 0; count < 3; count += 1) {
    const next = { sentAt: 1000, predictedMs: 100 };
    slow.requestSent(id, next);
    slow.responseStarted(id, next, 1100);
  }
  expect(slow.at(id, 1100).first).toBeGreaterThan(1.5);
});

test("who was denied is known on the way back, within bounds", () => {
  const memory = new returns.RecentRejections();
  const key = returns.keyOf("r", [3, 5], null);
  expect([key, returns.keyOf("r", [], null)]).toEqual([5, 0]);
  expect(returns.keyOf("r", [], Buffer.from("same"))).toBe(returns.keyOf("r", [], Buffer.from("same")));
  memory.recordRejection(key, 0);
  expect([memory.count(key, 9000), memory.count(key, 11_000), memory.count(0, 0)]).toEqual([1, 0, 0]);
  for (let other = 10; other < 20_000; other += 1) memory.recordRejection(other, 100);
  expect(memory.size).toBeLessThanOrEqual(4096);
});

test("a class of sizes that is admitted less often is held back no further", () => {
  const made = new sizes.Sizes();
  for (let count = 0; count < 300; count += 1) made.record(1 + (count % 100), count % 100 < 90);
  expect([made.classOf(100), made.classOf(85), made.classOf(10)]).toEqual([0, 1, 2]);
  expect([made.isHeldBack(100), made.isHeldBack(10)]).toEqual([true, false]);
});
