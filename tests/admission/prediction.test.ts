// Predictions err on the early side and grow with every load (design/admission 2).
import * as prediction from "../../src/admission/prediction.js";
import * as cellCapacity from "../../src/admission/cell-capacity.js";
import * as runnerSlowdown from "../../src/admission/runner-slowdown.js";

const USAGE: cellCapacity.SlotUsage = { capacity: 8, used: 4, waiting: 0, kvUsed: 1000, kvCapacity: 10_000, backlogMs: 0 };
const DEMAND: prediction.TokenDemand = { prefillTokens: 800, outputTokens: 50, totalTokens: 1000 };
const CONDITIONS: prediction.Conditions = {
  prefillTokensPerMs: 40,
  occupancyMs: 1000,
  tokenMs: 20,
  waitFactor: 1,
  slowdown: runnerSlowdown.NO_SLOWDOWN,
  fullForMs: 0,
  lagMs: 0,
};

function predictWith(
  usage: Partial<cellCapacity.SlotUsage>,
  demand: Partial<prediction.TokenDemand> = {},
  conditions: Partial<prediction.Conditions> = {},
): prediction.Prediction {
  return prediction.predict({ ...USAGE, ...usage }, { ...DEMAND, ...demand }, { ...CONDITIONS, ...conditions });
}

test.each<[string, (step: number) => prediction.Prediction]>([
  ["used slots", (step) => predictWith({ used: 4 + 3 * step })],
  ["queued prefill", (step) => predictWith({ backlogMs: 100 * step })],
  ["used memory", (step) => predictWith({ kvUsed: 2000 * step })],
  ["uncached tokens", (step) => predictWith({}, { prefillTokens: 500 * step })],
  ["output tokens", (step) => predictWith({}, { outputTokens: 1 + 100 * step })],
  ["time per token", (step) => predictWith({}, {}, { tokenMs: 10 * step })],
  ["slowdown", (step) => predictWith({}, {}, { slowdown: { first: 1 + step, stream: 1 + step } })],
  ["event loop lag", (step) => predictWith({}, {}, { lagMs: 50 * step })],
  ["a recent rejection by the runner", (step) => predictWith({}, {}, { fullForMs: 50 * step })],
  ["the wait factor", (step) => predictWith({ used: 20 }, {}, { waitFactor: 1 + step })],
])("predicts no earlier times with more of: %s", (_name, made) => {
  const steps = [0, 1, 2, 3, 4, 5].map(made);
  for (const [index, step] of steps.slice(1).entries()) {
    expect(step.firstEventMs).toBeGreaterThanOrEqual(steps[index].firstEventMs);
    expect(step.completionMs).toBeGreaterThanOrEqual(steps[index].completionMs);
  }
  expect(steps[5].completionMs).toBeGreaterThan(steps[0].completionMs);
});

test("finds a free slot only where slot and memory are free, and requests that never fit", () => {
  expect(predictWith({ used: 7 }).hasFreeSlot).toBe(true);
  expect(predictWith({ used: 8 }).hasFreeSlot).toBe(false);
  expect(predictWith({ waiting: 1 }).hasFreeSlot).toBe(false);
  expect(predictWith({ kvUsed: 9200 }).hasFreeSlot).toBe(false);
  expect(predictWith({}, { totalTokens: 10_001 }).neverFits).toBe(true);
  expect(predictWith({ kvCapacity: 0 }, { totalTokens: 1e6 })).toMatchObject({ neverFits: false, hasFreeSlot: true });
});
