// Hints of one router: few frames, hashes that identify one runner, and keys of uncached parts (design/usage 2).
import * as prefillTracker from "../../src/runners/prefill-tracker.js";
import * as promptParts from "../../src/routing/prompt-parts.js";
import * as runnerHash from "../../src/hints/runner-hash.js";
import * as throttle from "../../src/hints/throttle.js";
import * as hintExchange from "../../src/hints/hint-exchange.js";
import * as schema from "../../src/wire/schema.js";
import * as types from "../../src/wire/types.js";
import * as simulatedClock from "../sim/simulated-clock.js";
import * as hints from "../sim/hints.js";

function makeExchange(clock: simulatedClock.SimulatedClock): {
  exchange: hintExchange.HintExchange;
  published: schema.Hints[];
  received: unknown[];
} {
  const published: schema.Hints[] = [];
  const received: unknown[] = [];
  const handler: hintExchange.HintHandler = {
    onUnresponsive: (silent) => received.push(silent),
    onPrefill: (id, unread, keys) => received.push([id, unread, [...keys]]),
  };
  const known = new runnerHash.RunnerHashes<types.RunnerId>();
  known.replaceAll(hints.ids("a", "b", "c"));
  const exchange = new hintExchange.HintExchange(clock, known, handler, (frame) => published.push(frame));
  return { exchange, published, received };
}

test.each([10, 100, 1000])("frames of a router do not grow with its requests: %d a second", async (perS) => {
  const clock = new simulatedClock.SimulatedClock(1);
  const { exchange, published } = makeExchange(clock);
  for (let index = 0; index < perS; index += 1) {
    const runner = ["a", "b", "c"][index % 3];
    clock.schedule((index * 1000) / perS, () => exchange.publishPrefill(types.small(runner), 2000, [index]));
  }
  await clock.play(1100);
  expect(published.length).toBeLessThanOrEqual(Math.ceil(1000 / throttle.PERIOD_MS) + 1);
  // No prefill is lost by combining hints in one frame.
  expect(published.flatMap((frame) => frame.readings).reduce((sum, item) => sum + item.unread, 0)).toBe(2000 * perS);
});

test("publishes hashes of runners, receives ids, and ignores hashes that identify no runner", () => {
  const clock = new simulatedClock.SimulatedClock(1);
  const { exchange, published, received } = makeExchange(clock);
  exchange.publishUnresponsive(hints.ids("b"));
  expect(published).toEqual([{ isRelayed: false, silent: [runnerHash.runnerHash("b")], readings: [] }]);
  const unknown = hints.counterValue("signs.unknown");
  exchange.receive({
    isRelayed: true,
    silent: [runnerHash.runnerHash("c"), 77],
    readings: [hints.prefillHint("a", 1500, [4, 5]), hints.prefillHint("x")],
  });
  expect(received).toEqual([["c"], ["a", 1500, [4, 5]]]);
  expect(hints.counterValue("signs.unknown") - unknown).toBe(1);
  exchange.publishUnresponsive([]);
  expect(published).toHaveLength(1);
});

test.each([
  [[], 0],
  [[0], 1],
  [[1], 2],
  [[0, 1], 2],
  [[2], 3],
  [[0, 2], 3],
])("with the keys of parts %j published, %d parts count as cached", (published, expected) => {
  const parts = [
    { id: "a", tokens: 100 },
    { id: "b", tokens: 10 },
    { id: "c", tokens: 1 },
  ];
  const keys = promptParts.prefixKeys(parts);
  const known = new prefillTracker.PrefillTracker();
  known.recordPrefill(
    "x",
    5,
    published.map((index) => keys[index]),
    0,
  );
  expect(known.cachedParts("x", keys)).toBe(expected);
  expect(known.uncachedTokens("x", parts, keys)).toBe([111, 11, 1, 0][expected]);
});

test("publishing only the keys of uncached parts has the same effect as publishing all", () => {
  const clock = new simulatedClock.SimulatedClock(7);
  const [own, all, few] = [new prefillTracker.PrefillTracker(), new prefillTracker.PrefillTracker(), new prefillTracker.PrefillTracker()];
  for (let index = 0; index < 2000; index += 1) {
    const parts = Array.from({ length: 1 + Math.floor(clock.random() * 4) }, (_item, at) => ({
      id: `${at}-${Math.floor(clock.random() * 5)}`,
      tokens: 700,
    }));
    const keys = promptParts.prefixKeys(parts);
    for (const other of [all, few]) expect(other.uncachedTokens("x", parts, keys)).toBe(own.uncachedTokens("x", parts, keys));
    const kept = own.cachedParts("x", keys);
    own.recordPrefill("x", 0, keys, 0);
    all.recordPrefill("x", 0, keys, 0);
    few.recordPrefill("x", 0, keys.slice(kept), 0);
  }
});
