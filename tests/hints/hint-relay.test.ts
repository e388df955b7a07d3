// Hints forwarded by control nodes (design/usage 2): once to the followers of the region, within a rate of bytes.
import * as runnerHash from "../../src/hints/runner-hash.js";
import * as throttle from "../../src/hints/throttle.js";
import * as hintRelay from "../../src/hints/hint-relay.js";
import * as schema from "../../src/wire/schema.js";
import * as types from "../../src/wire/types.js";
import * as simulatedClock from "../sim/simulated-clock.js";
import * as hints from "../sim/hints.js";

function relayTo(
  clock: simulatedClock.SimulatedClock,
  routers = 3,
): { relay: hintRelay.HintRelay; links: Map<string, hints.FakeLink>; hear(name: string, told: schema.Hints): void } {
  const links = new Map(["r1", "r2", "r3", "s1", "s2"].map((name) => [name, new hints.FakeLink()]));
  // r1 and r2 follow north, r3 follows both cells.
  const followers = new Map([
    ["north", ["r1", "r2", "r3"]],
    ["south", ["r3"]],
  ]);
  const relay = new hintRelay.HintRelay(clock, {
    peers: () => ["s1", "s2"].map((name) => hints.linkOf(links.get(name)!)),
    routerCount: () => routers,
    followersOf: (region) => (followers.get(region) ?? []).map((name) => hints.linkOf(links.get(name)!)),
  });
  relay.setRegions(
    new Map([
      [types.small("n"), "north"],
      [types.small("m"), "north"],
      [types.small("s"), "south"],
    ]),
  );
  return { relay, links, hear: (name, told) => relay.receive(hints.linkOf(links.get(name)!), told) };
}

test("forwards hints once to peers and to the followers of the runner's region, never to the sender", async () => {
  const clock = new simulatedClock.SimulatedClock(1);
  const { links, hear } = relayTo(clock);
  hear("r1", hints.hintsOf(hints.prefillHint("n", 1000)));
  hear("r2", hints.hintsOf(hints.prefillHint("n", 3000), hints.prefillHint("s", 500)));
  hear("s1", { ...hints.hintsOf(hints.prefillHint("m", 700)), isRelayed: true });
  await clock.play(200);
  const seen = new Map([...links].map(([name, made]) => [name, made.entries()]));
  const [n, m, s] = ["n", "m", "s"].map(runnerHash.runnerHash);
  expect(seen.get("r1")).toEqual([
    [n, 3000],
    [m, 700],
  ]);
  expect(seen.get("r2")).toEqual([
    [n, 1000],
    [m, 700],
  ]);
  expect(new Map(seen.get("r3"))).toEqual(
    new Map([
      [n, 3000],
      [s, 500],
      [m, 700],
    ]),
  );
  for (const peer of ["s1", "s2"]) expect(links.get(peer)!.sent.every((told) => told.isRelayed)).toBe(true);
  // What a peer told is relayed to no peer.
  for (const peer of ["s1", "s2"]) expect(new Map(seen.get(peer)).has(m)).toBe(false);
  expect(seen.get("s1")!.reduce((sum, [, unread]) => sum + unread, 0)).toBe(4500);
});

test.each([20, 200, 2000])("the number of frames does not grow with the hints: %d a second", async (perS) => {
  const clock = new simulatedClock.SimulatedClock(1);
  const { links, hear } = relayTo(clock);
  for (let index = 0; index < perS; index += 1)
    clock.schedule((index * 1000) / perS, () => hear("r1", hints.hintsOf(hints.prefillHint("n", 1000, [index]))));
  await clock.play(1100);
  const most = Math.ceil(1000 / throttle.PERIOD_MS) + 1;
  for (const name of ["r2", "r3", "s1", "s2"]) expect(links.get(name)!.sent.length).toBeLessThanOrEqual(most);
  expect(links.get("r1")!.sent).toEqual([]);
});

test("forwards unresponsive runners, and drops hashes that identify no listed runner", async () => {
  const clock = new simulatedClock.SimulatedClock(1);
  const { links, hear } = relayTo(clock);
  hear("r1", { isRelayed: false, silent: [runnerHash.runnerHash("n"), 77], readings: [hints.prefillHint("nobody")] });
  await clock.play(100);
  expect(links.get("r2")!.sent).toEqual([{ isRelayed: true, silent: [runnerHash.runnerHash("n")], readings: [] }]);
});

test.each([
  [0, 6000],
  [3, 6000],
  [16, 4000],
  [100, 640],
  [400, 600],
])("of %d routers each is sent at most %d bytes of prefill hints a second", (routers, expected) => {
  expect(hintRelay.routerBytesPerS(routers)).toBe(expected);
});

test.each([[100], [20]])("limits the prefill hints to one of %d routers, and always forwards unresponsive runners", async (routers) => {
  const clock = new simulatedClock.SimulatedClock(1);
  const { relay, links } = relayTo(clock, routers);
  const dropped = hints.counterValue("signs.dropped");
  const names = Array.from({ length: 5000 }, (_item, index) => `i-${index}`);
  relay.setRegions(new Map(hints.ids(...names).map((id) => [id, "north"])));
  for (const [index, name] of names.entries())
    clock.schedule(index * 2, () =>
      relay.receive(hints.linkOf(links.get("r1")!), hints.hintsOf(hints.prefillHint(name, 1000, [index, ~index]))),
    );
  clock.schedule(9000, () =>
    relay.receive(hints.linkOf(links.get("r1")!), { isRelayed: false, silent: [runnerHash.runnerHash("i-3")], readings: [] }),
  );
  await clock.play(10_100);
  const bytes = links.get("r2")!.sent.reduce((sum, told) => sum + schema.hints.toBuffer(told).length, 0);
  const perS = hintRelay.routerBytesPerS(routers);
  expect(bytes).toBeLessThan(perS * (hintRelay.BURST_S + 10.1));
  expect(bytes).toBeGreaterThan(perS * 5);
  expect(hints.counterValue("signs.dropped")).toBeGreaterThan(dropped);
  expect(links.get("r2")!.sent.some((told) => told.silent.length === 1)).toBe(true);
});
