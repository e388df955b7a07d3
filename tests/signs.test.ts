// Signs between routers (design/usage 2): few frames, marks that name one runner, no echo, bounds.
import * as readings from "../src/router/readings.js";
import * as log from "../src/startup/log.js";
import * as batches from "../src/signs/batch.js";
import * as marks from "../src/signs/marks.js";
import * as throttles from "../src/signs/throttle.js";
import * as relays from "../src/signs/relay.js";
import * as tellers from "../src/signs/teller.js";
import * as schema from "../src/wire/schema.js";
import * as types from "../src/wire/types.js";
import * as sim from "./sim/world.js";

const ids = (...names: string[]): types.RunnerId[] => names.map((name) => types.small(name));

class FakeLink {
  readonly told: schema.Signs[] = [];
  readonly ends: (() => void)[] = [];
  tell(_pair: unknown, ask: unknown): void {
    this.told.push(ask as schema.Signs);
  }
  once(_event: string, run: () => void): this {
    this.ends.push(run);
    return this;
  }
  entries(): [number, number][] {
    return this.told.flatMap((told) => told.readings.map((item): [number, number] => [item.runner, item.unread]));
  }
}

const ear = (made: FakeLink): never => made as unknown as never;

function reading(runner: string, unread = 1000, keys: number[] = [1]): schema.ReadingSign {
  return { runner: marks.markOf(runner), unread, keys };
}

function signs(...told: schema.ReadingSign[]): schema.Signs {
  return { isRelayed: false, silent: [], readings: told };
}

function counted(name: string): number {
  return log.counted().get(name) ?? 0;
}

test.each([
  ["one at a time", [0, 100, 200], [0, 100, 200]],
  ["a burst: the first at once, the others together", [0, 1, 2, 30, 59], [0, 60]],
  ["a stream: one a period", Array.from({ length: 200 }, (_item, index) => index), [0, 60, 120, 180, 240]],
])("pace: %s", async (_name, asks, expected) => {
  const clock = new sim.SimWorld(1);
  const ran: number[] = [];
  const pace = new throttles.Throttle(clock, () => ran.push(clock.now()));
  for (const at of asks) clock.after(at, () => pace.request());
  await clock.play(1000);
  expect(ran).toEqual(expected);
});

function tellerTo(clock: sim.SimWorld): { teller: tellers.Teller; told: schema.Signs[]; heard: unknown[] } {
  const told: schema.Signs[] = [];
  const heard: unknown[] = [];
  const hearer: tellers.Hearer = {
    doubted: (silent) => heard.push(silent),
    read: (id, unread, keys) => heard.push([id, unread, [...keys]]),
  };
  const known = new marks.Marks<types.RunnerId>();
  known.takeList(ids("a", "b", "c"));
  const teller = new tellers.Teller(clock, known, hearer, (frame) => told.push(frame));
  return { teller, told, heard };
}

test.each([10, 100, 1000])("frames of a router do not grow with its requests: %d a second", async (perS) => {
  const clock = new sim.SimWorld(1);
  const { teller, told } = tellerTo(clock);
  for (let index = 0; index < perS; index += 1) {
    const runner = ["a", "b", "c"][index % 3];
    clock.after((index * 1000) / perS, () => teller.reading(types.small(runner), 2000, [index]));
  }
  await clock.play(1100);
  expect(told.length).toBeLessThanOrEqual(Math.ceil(1000 / throttles.PERIOD_MS) + 1);
  // Nothing of the backlog is lost by telling it together.
  expect(told.flatMap((frame) => frame.readings).reduce((sum, item) => sum + item.unread, 0)).toBe(2000 * perS);
});

test("a router tells marks and hears ids; what it cannot name it ignores", () => {
  const clock = new sim.SimWorld(1);
  const { teller, told, heard } = tellerTo(clock);
  teller.silence(ids("b"));
  expect(told).toEqual([{ isRelayed: false, silent: [marks.markOf("b")], readings: [] }]);
  const unknown = counted("signs.unknown");
  teller.hear({ isRelayed: true, silent: [marks.markOf("c"), 77], readings: [reading("a", 1500, [4, 5]), reading("x")] });
  expect(heard).toEqual([["c"], ["a", 1500, [4, 5]]]);
  expect(counted("signs.unknown") - unknown).toBe(1);
  teller.silence([]);
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
  const made = new marks.Marks<types.RunnerId>(hash);
  made.takeList(ids(...listed));
  for (const [id, mark] of expected) {
    expect(made.markOf(id)).toBe(mark);
    if (mark !== null) expect(made.idOf(mark)).toBe(id);
  }
  if (expected.some(([, mark]) => mark === null)) expect(made.idOf(7)).toBeNull();
  made.takeList([]);
  expect(made.idOf(7)).toBeNull();
});

function relayTo(
  clock: sim.SimWorld,
  routers = 3,
): { relay: relays.Relay; links: Map<string, FakeLink>; hear(name: string, told: schema.Signs): void } {
  const links = new Map(["r1", "r2", "r3", "s1", "s2"].map((name) => [name, new FakeLink()]));
  // r1 and r2 follow north, r3 follows both cells.
  const followers = new Map([
    ["north", ["r1", "r2", "r3"]],
    ["south", ["r3"]],
  ]);
  const relay = new relays.Relay(clock, {
    siblings: () => ["s1", "s2"].map((name) => ear(links.get(name)!)),
    routers: () => routers,
    followers: (region) => (followers.get(region) ?? []).map((name) => ear(links.get(name)!)),
  });
  relay.takeList(
    new Map([
      [types.small("n"), "north"],
      [types.small("m"), "north"],
      [types.small("s"), "south"],
    ]),
  );
  return { relay, links, hear: (name, told) => relay.hear(ear(links.get(name)!), told) };
}

test("a relay tells siblings once, followers of the runner's cell, and nobody what came from him", async () => {
  const clock = new sim.SimWorld(1);
  const { links, hear } = relayTo(clock);
  hear("r1", signs(reading("n", 1000)));
  hear("r2", signs(reading("n", 3000), reading("s", 500)));
  hear("s1", { ...signs(reading("m", 700)), isRelayed: true });
  await clock.play(200);
  const seen = new Map([...links].map(([name, made]) => [name, made.entries()]));
  const [n, m, s] = ["n", "m", "s"].map(marks.markOf);
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
  for (const sibling of ["s1", "s2"]) expect(links.get(sibling)!.told.every((told) => told.isRelayed)).toBe(true);
  // What a sibling told is relayed to no sibling.
  for (const sibling of ["s1", "s2"]) expect(new Map(seen.get(sibling)).has(m)).toBe(false);
  expect(seen.get("s1")!.reduce((sum, [, unread]) => sum + unread, 0)).toBe(4500);
});

test.each([20, 200, 2000])("frames of a relay do not grow with requests: %d signs a second", async (perS) => {
  const clock = new sim.SimWorld(1);
  const { links, hear } = relayTo(clock);
  for (let index = 0; index < perS; index += 1) clock.after((index * 1000) / perS, () => hear("r1", signs(reading("n", 1000, [index]))));
  await clock.play(1100);
  const most = Math.ceil(1000 / throttles.PERIOD_MS) + 1;
  for (const name of ["r2", "r3", "s1", "s2"]) expect(links.get(name)!.told.length).toBeLessThanOrEqual(most);
  expect(links.get("r1")!.told).toEqual([]);
});

test("silences are relayed like readings; a mark of no listed runner, or of two, goes nowhere", async () => {
  const clock = new sim.SimWorld(1);
  const { links, hear } = relayTo(clock);
  hear("r1", { isRelayed: false, silent: [marks.markOf("n"), 77], readings: [reading("nobody")] });
  await clock.play(100);
  expect(links.get("r2")!.told).toEqual([{ isRelayed: true, silent: [marks.markOf("n")], readings: [] }]);
});

test("a batch keeps the newest within its bound and counts what it drops", () => {
  const before = counted("signs.dropped");
  const batch = new batches.Batch();
  for (let index = 0; index < batches.MAX_ENTRIES + 10; index += 1) batch.addReading({ runner: index, unread: 1, keys: [] });
  const told = batch.drain();
  expect([told.readings.length, told.readings[0].runner, counted("signs.dropped") - before]).toEqual([batches.MAX_ENTRIES, 10, 10]);
  expect(batch.isEmpty).toBe(true);
  batch.addReading({ runner: 1, unread: 5, keys: [1, 2] });
  batch.addReading({ runner: 1, unread: 6, keys: [2, 3] });
  expect(batch.drain().readings).toEqual([{ runner: 1, unread: 11, keys: [1, 2, 3] }]);
});

test.each([
  [0, 6000],
  [3, 6000],
  [16, 4000],
  [100, 640],
  [400, 600],
])("of %d routers each has %d bytes a second of readings", (routers, expected) => {
  expect(relays.bytesPerS(routers)).toBe(expected);
});

test.each([[100], [20]])("one of %d routers is told no more bytes of readings than its bound, silences always", async (routers) => {
  const clock = new sim.SimWorld(1);
  const { relay, links } = relayTo(clock, routers);
  const dropped = counted("signs.dropped");
  const names = Array.from({ length: 5000 }, (_item, index) => `i-${index}`);
  relay.takeList(new Map(ids(...names).map((id) => [id, "north"])));
  for (const [index, name] of names.entries())
    clock.after(index * 2, () => relay.hear(ear(links.get("r1")!), signs(reading(name, 1000, [index, ~index]))));
  clock.after(9000, () => relay.hear(ear(links.get("r1")!), { isRelayed: false, silent: [marks.markOf("i-3")], readings: [] }));
  await clock.play(10_100);
  const bytes = links.get("r2")!.told.reduce((sum, told) => sum + schema.signs.toBuffer(told).length, 0);
  const perS = relays.bytesPerS(routers);
  expect(bytes).toBeLessThan(perS * (relays.BURST_S + 10.1));
  expect(bytes).toBeGreaterThan(perS * 5);
  expect(counted("signs.dropped")).toBeGreaterThan(dropped);
  expect(links.get("r2")!.told.some((told) => told.silent.length === 1)).toBe(true);
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
  const keys = readings.chainKeys(parts);
  const known = new readings.Readings();
  known.note(
    "x",
    5,
    told.map((index) => keys[index]),
    0,
  );
  expect(known.keptParts("x", keys)).toBe(expected);
  expect(known.unread("x", parts, keys)).toBe([111, 11, 1, 0][expected]);
});

test("telling only the unread parts' keys leaves the hearer with what telling all would", () => {
  const clock = new sim.SimWorld(7);
  const [own, all, few] = [new readings.Readings(), new readings.Readings(), new readings.Readings()];
  for (let index = 0; index < 2000; index += 1) {
    const parts = Array.from({ length: 1 + Math.floor(clock.random() * 4) }, (_item, at) => ({
      id: `${at}-${Math.floor(clock.random() * 5)}`,
      tokens: 700,
    }));
    const keys = readings.chainKeys(parts);
    for (const other of [all, few]) expect(other.unread("x", parts, keys)).toBe(own.unread("x", parts, keys));
    const kept = own.keptParts("x", keys);
    own.note("x", 0, keys, 0);
    all.note("x", 0, keys, 0);
    few.note("x", 0, keys.slice(kept), 0);
  }
});
