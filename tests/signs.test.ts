// Signs between routers (design/usage 2): few frames, marks that name one runner, no echo, bounds.
import * as prefillTracker from "../src/runners/prefill-tracker.js";
import * as promptParts from "../src/routing/prompt-parts.js";
import * as hintBatch from "../src/hints/hint-batch.js";
import * as runnerHash from "../src/hints/runner-hash.js";
import * as throttle from "../src/hints/throttle.js";
import * as hintExchange from "../src/hints/hint-exchange.js";
import * as schema from "../src/wire/schema.js";
import * as types from "../src/wire/types.js";
import * as sim from "./sim/world.js";
import * as signs from "./sim/signs.js";

test.each([
  ["one at a time", [0, 100, 200], [0, 100, 200]],
  ["a burst: the first at once, the others together", [0, 1, 2, 30, 59], [0, 60]],
  ["a stream: one a period", Array.from({ length: 200 }, (_item, index) => index), [0, 60, 120, 180, 240]],
])("pace: %s", async (_name, asks, expected) => {
  const clock = new sim.SimWorld(1);
  const ran: number[] = [];
  const pace = new throttle.Throttle(clock, () => ran.push(clock.now()));
  for (const at of asks) clock.schedule(at, () => pace.request());
  await clock.play(1000);
  expect(ran).toEqual(expected);
});

function signSenderTo(clock: sim.SimWorld): { signSender: hintExchange.HintExchange; told: schema.Signs[]; heard: unknown[] } {
  const told: schema.Signs[] = [];
  const heard: unknown[] = [];
  const hearer: hintExchange.HintHandler = {
    onUnresponsive: (silent) => heard.push(silent),
    onPrefill: (id, unread, keys) => heard.push([id, unread, [...keys]]),
  };
  const known = new runnerHash.RunnerHashes<types.RunnerId>();
  known.replaceAll(signs.ids("a", "b", "c"));
  const signSender = new hintExchange.HintExchange(clock, known, hearer, (frame) => told.push(frame));
  return { signSender, told, heard };
}

test.each([10, 100, 1000])("frames of a router do not grow with its requests: %d a second", async (perS) => {
  const clock = new sim.SimWorld(1);
  const { signSender, told } = signSenderTo(clock);
  for (let index = 0; index < perS; index += 1) {
    const runner = ["a", "b", "c"][index % 3];
    clock.schedule((index * 1000) / perS, () => signSender.publishPrefill(types.small(runner), 2000, [index]));
  }
  await clock.play(1100);
  expect(told.length).toBeLessThanOrEqual(Math.ceil(1000 / throttle.PERIOD_MS) + 1);
  // Nothing of the backlog is lost by telling it together.
  expect(told.flatMap((frame) => frame.readings).reduce((sum, item) => sum + item.unread, 0)).toBe(2000 * perS);
});

test("a router tells marks and hears ids; what it cannot name it ignores", () => {
  const clock = new sim.SimWorld(1);
  const { signSender, told, heard } = signSenderTo(clock);
  signSender.publishUnresponsive(signs.ids("b"));
  expect(told).toEqual([{ isRelayed: false, silent: [runnerHash.runnerHash("b")], readings: [] }]);
  const unknown = signs.counted("signs.unknown");
  signSender.receive({
    isRelayed: true,
    silent: [runnerHash.runnerHash("c"), 77],
    readings: [signs.reading("a", 1500, [4, 5]), signs.reading("x")],
  });
  expect(heard).toEqual([["c"], ["a", 1500, [4, 5]]]);
  expect(signs.counted("signs.unknown") - unknown).toBe(1);
  signSender.publishUnresponsive([]);
  expect(told).toHaveLength(1);
});

test.each([
  [
    "distinct",
    ["a", "b"],
    (id: string) => id.charCodeAt(0),
    [
      ["a", 97],
      ["b", 98],
    ],
  ],
  [
    "shared by two",
    ["a", "b", "c"],
    (id: string) => (id === "c" ? 9 : 7),
    [
      ["a", null],
      ["b", null],
      ["c", 9],
    ],
  ],
  ["listed twice", ["a", "a"], () => 7, [["a", 7]]],
] as const)("marks %s", (_name, listed, hash, expected) => {
  const made = new runnerHash.RunnerHashes<types.RunnerId>(hash);
  made.replaceAll(signs.ids(...listed));
  for (const [id, mark] of expected) {
    expect(made.hashOf(id)).toBe(mark);
    if (mark !== null) expect(made.idOf(mark)).toBe(id);
  }
  if (expected.some(([, mark]) => mark === null)) expect(made.idOf(7)).toBeNull();
  made.replaceAll([]);
  expect(made.idOf(7)).toBeNull();
});

test("a batch keeps the newest within its bound and counts what it drops", () => {
  const before = signs.counted("signs.dropped");
  const batch = new hintBatch.HintBatch();
  for (let index = 0; index < hintBatch.MAX_ENTRIES + 10; index += 1) batch.addPrefill({ runner: index, unread: 1, keys: [] });
  const told = batch.drain();
  expect([told.readings.length, told.readings[0].runner, signs.counted("signs.dropped") - before]).toEqual([hintBatch.MAX_ENTRIES, 10, 10]);
  expect(batch.isEmpty).toBe(true);
  batch.addPrefill({ runner: 1, unread: 5, keys: [1, 2] });
  batch.addPrefill({ runner: 1, unread: 6, keys: [2, 3] });
  expect(batch.drain().readings).toEqual([{ runner: 1, unread: 11, keys: [1, 2, 3] }]);
});

test.each([
  [[], 0],
  [[0], 1],
  [[1], 2],
  [[0, 1], 2],
  [[2], 3],
  [[0, 2], 3],
])("with the keys of parts %j told, %d parts count as kept", (told, expected) => {
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
    told.map((index) => keys[index]),
    0,
  );
  expect(known.cachedParts("x", keys)).toBe(expected);
  expect(known.uncachedTokens("x", parts, keys)).toBe([111, 11, 1, 0][expected]);
});

test("telling only the unread parts' keys leaves the hearer with what telling all would", () => {
  const clock = new sim.SimWorld(7);
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
