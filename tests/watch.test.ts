// Who reads the list and the reports, and who takes over (design 4.4, 4.5).
import * as orchestrators from "../src/control/orchestrator.js";
import * as lists from "../src/control/list.js";
import * as watchers from "../src/control/watcher.js";
import type * as dialer from "../src/feed/dialer.js";
import * as feeds from "../src/feed/feed.js";
import * as keyed from "../src/feed/keyed.js";
import type * as link from "../src/wire/link.js";
import * as platforms from "../src/standin/platform.js";
import * as runners from "../src/standin/runner.js";
import * as schema from "../src/wire/schema.js";
import * as types from "../src/wire/types.js";
import * as world from "../src/wire/world.js";
import * as sim from "./sim/world.js";

interface Told {
  pair: { name: string };
  ask: schema.Change;
}

/** A sibling that holds what it is told, or what `reply` says. */
function dialTo(told: Told[], reply = (ask: schema.Change): schema.HeldList => ({ digest: ask.digest })): dialer.Dialer {
  const tell = (pair: { name: string }, ask: schema.Change) => told.push({ pair, ask });
  const call = async (pair: { name: string }, ask: schema.Change) => {
    tell(pair, ask);
    return reply(ask);
  };
  return { controls: new Map([["sibling", { link: { tell, call } }]]) } as unknown as dialer.Dialer;
}

function keysOf(change: schema.Change): string[] {
  return [...keyed.unpack(change).keys()];
}

function listed(count: number, more: Partial<platforms.Listed> = {}): platforms.Listed[] {
  return Array.from({ length: count }, (_item, index) => ({
    instance_id: `i-${index}`,
    service: "s",
    address: `127.0.0.1:${index + 1}`,
    zone: "z",
    revision: "v1",
    capacity: 4,
    state: "ready" as const,
    warmup_left_ms: 0,
    ...more,
  }));
}

/** Ticks are the test's, the platform's sockets are real: turns are taken until what is waited for is there. */
async function until(isSo: () => boolean): Promise<void> {
  while (!isSo()) await new Promise(setImmediate);
}

class MixedWorld extends sim.SimWorld {
  private readonly real = new world.RealWorld();
  override after(ms: number, run: () => void): ReturnType<sim.SimWorld["after"]> {
    return this.real.after(Math.min(ms, 400), run);
  }
}

async function withPlatform(run: (platform: platforms.StandInPlatform) => Promise<void>): Promise<void> {
  const platform = new platforms.StandInPlatform(2);
  await platform.start();
  await run(platform);
  platform.stop();
}

test("all pages are read; siblings hear what changed and nothing but freshness otherwise", () =>
  withPlatform(async (platform) => {
    platform.instances = listed(5);
    const clock = new MixedWorld(1);
    const told: Told[] = [];
    const plans: keyed.Plan[] = [];
    const watcher = new watchers.Watcher(
      clock,
      platform.address,
      1000,
      dialTo(told),
      () => 0,
      (plan) => plans.push(plan),
    );
    watcher.turn();
    await until(() => told.length === 1);
    expect([...plans[0].changed.keys()]).toEqual(["i-0", "i-1", "i-2", "i-3", "i-4"]);
    expect([keysOf(told[0].ask), platform.calls]).toEqual([["i-0", "i-1", "i-2", "i-3", "i-4"], 3]);
    clock.skip(800);
    watcher.turn();
    await until(() => told.length === 2);
    expect([keysOf(told[1].ask), told[1].ask.base === told[1].ask.digest, plans.length]).toEqual([[], true, 1]);
    platform.instances[2].state = "draining";
    clock.skip(800);
    watcher.turn();
    await until(() => told.length === 3);
    expect([keysOf(told[2].ask), watcher.instances()[2].isDraining, [...plans[1].changed.keys()]]).toEqual([["i-2"], true, ["i-2"]]);
    platform.instances.splice(1, 1);
    clock.skip(800);
    watcher.turn();
    await until(() => told.length === 4);
    expect([keyed.unpack(told[3].ask), plans[2].gone]).toEqual([new Map([["i-1", null]]), ["i-1"]]);
    watcher.stop();
  }));

test("a sibling that holds another list is told the whole; it takes nothing that does not build on what it holds", () =>
  withPlatform(async (platform) => {
    platform.instances = listed(3);
    const clock = new MixedWorld(1);
    const told: Told[] = [];
    const sibling = new watchers.Watcher(
      clock,
      "",
      1000,
      dialTo([]),
      () => 1,
      () => undefined,
    );
    const reader = new watchers.Watcher(
      clock,
      platform.address,
      1000,
      dialTo(told, (ask) => sibling.hear(ask)),
      () => 0,
      () => undefined,
    );
    reader.turn();
    await until(() => told.length === 1);
    expect([sibling.hasList, sibling.instances()]).toEqual([true, reader.instances()]);
    platform.instances[0].state = "draining";
    const late = new watchers.Watcher(
      clock,
      "",
      1000,
      dialTo([]),
      () => 1,
      () => undefined,
    );
    const other = new watchers.Watcher(
      clock,
      platform.address,
      1000,
      dialTo(told, (ask) => late.hear(ask)),
      () => 0,
      () => undefined,
    );
    other.hear({ ...told[0].ask });
    other.turn();
    await until(() => told.length === 3);
    expect([keysOf(told[1].ask), told[2].ask.isView, keysOf(told[2].ask).length, late.hasList]).toEqual([["i-0"], true, 3, false]);
    late.hear(told[2].ask);
    expect([late.hasList, late.instances().map((item) => item.isDraining)]).toEqual([true, [true, false, false]]);
    reader.stop();
    other.stop();
  }));

const INSTANCE: schema.Instance = {
  id: types.small("i-1"),
  service: "s",
  address: "127.0.0.1:1",
  zone: "z",
  capacity: 4,
  isDraining: false,
  coldMs: 5000,
  leavesMs: -1,
};

const NEWS: [string, Partial<schema.Instance>, number, boolean][] = [
  ["a coldness that runs down", { coldMs: 3000 }, 2000, false],
  ["one that runs down late, within the slack", { coldMs: 3300 }, 2000, false],
  ["a coldness that is over", { coldMs: 0 }, 6000, true],
  ["one that begins again", { coldMs: 5000 }, 2000, true],
  ["draining", { coldMs: 3000, isDraining: true }, 2000, true],
  ["a time to leave", { coldMs: 3000, leavesMs: 900 }, 2000, true],
  ["another address", { coldMs: 3000, address: "127.0.0.1:2" }, 2000, true],
  ["another capacity", { coldMs: 3000, capacity: 5 }, 2000, true],
];

test.each(NEWS)("%s of the list is news or not", (_name, more, passedMs, isNews) => {
  const items = new lists.InstanceItems();
  items.read([INSTANCE], types.small(0));
  const plan = items.read([{ ...INSTANCE, ...more }], types.small(passedMs));
  expect(keyed.isEmpty(plan)).toBe(!isNews);
});

test("each region is a topic with all its instances, also one without any; an instance goes with its zone", () => {
  const feed = new feeds.Feed("p");
  const told: schema.Change[] = [];
  const fake = { tell: (_pair: unknown, change: schema.Change) => told.push(change), once: () => undefined } as unknown as link.Link;
  const regions = new Map([
    ["z", "r"],
    ["y", "q"],
    ["x", "o"],
  ]);
  const byRegion = new lists.RegionLists(regions, feed);
  const topics = ["r", "q", "o", feeds.NO_REGION].map(feeds.listTopic);
  feed.follow(fake, { place: "", topics: topics.map((topic) => ({ topic, mode: "items", from: 0, digest: types.small("") })) });
  const items = new lists.InstanceItems();
  function read(list: schema.Instance[]): [string, string[]][] {
    byRegion.take(items.read(list, types.small(0)), types.small(0));
    return told.splice(0).map((change) => [change.topic, keysOf(change)]);
  }
  const other = { ...INSTANCE, id: types.small<types.RunnerId>("i-2"), zone: "nowhere" };
  expect(read([INSTANCE, other])).toEqual([
    ["list:r", ["i-1"]],
    ["list:q", []],
    ["list:o", []],
    ["list:", ["i-2"]],
  ]);
  expect(read([INSTANCE, other])).toEqual([]);
  expect(read([{ ...INSTANCE, zone: "y" }, other])).toEqual([
    ["list:r", ["i-1"]],
    ["list:q", ["i-1"]],
  ]);
  expect([...byRegion.of("q")].map((item) => item.id)).toEqual(["i-1"]);
  expect(read([])).toEqual([
    ["list:q", ["i-1"]],
    ["list:", ["i-2"]],
  ]);
});

test("the second in order reads only when the first has been silent, the third later still", () =>
  withPlatform(async (platform) => {
    platform.instances = listed(1);
    for (const [rank, waits] of [
      [1, 1400],
      [2, 2100],
    ] as const) {
      const clock = new MixedWorld(1);
      const watcher = new watchers.Watcher(
        clock,
        platform.address,
        1000,
        dialTo([]),
        () => rank,
        () => undefined,
      );
      watcher.hear({
        place: "",
        topic: "list",
        number: 0,
        stamp: types.small(0),
        base: types.small("other"),
        digest: types.small("other"),
        isView: false,
        ...keyed.pack(new Map()),
      });
      const before = platform.calls;
      clock.skip(waits - 10);
      watcher.turn();
      await new Promise(setImmediate);
      expect(platform.calls).toBe(before);
      clock.skip(20);
      watcher.turn();
      await until(() => platform.calls === before + 1 && watcher.hasList);
      watcher.stop();
    }
  }));

test.each([
  [{ instance_id: 7 }, null],
  [null, null],
  [{}, null],
  [listed(1, { state: "draining", remaining_ms: 1500 })[0], { isDraining: true, leavesMs: 1500 }],
  [listed(1, { warmup_left_ms: 2500.4 })[0], { isDraining: false, coldMs: 2500, leavesMs: -1 }],
])("entry %j of the list", (item, expected) => {
  const read = watchers.readInstance(item);
  if (expected === null) expect(read).toBeNull();
  else expect(read).toMatchObject(expected);
});

test("the orchestrator derives status from reports: one miss is silence, the next report ends it", async () => {
  const runner = new runners.StandInRunner({ id: "i-1" });
  await runner.start();
  const instance: schema.Instance = {
    id: types.small("i-1"),
    service: "s",
    address: runner.address,
    zone: "z",
    capacity: 4,
    isDraining: false,
    coldMs: 0,
    leavesMs: -1,
  };
  const gone: schema.Instance = { ...instance, id: types.small("i-2"), address: "127.0.0.1:1" };
  const clock = new MixedWorld(1);
  const seen: schema.CellReport[] = [];
  const view = {
    reporting: () => [instance, gone],
    rank: () => 0,
    differ: (_region: string, reports: readonly schema.Report[]) => [...reports],
  };
  const orchestrator = new orchestrators.Orchestrator(clock, ["r"], view, dialTo([]), (report) => seen.push(report));
  clock.skip(1000);
  orchestrator.turn();
  await until(() => seen.length === 1);
  expect(seen[0].reports.map((report) => [report.id, report.isSpeaking])).toEqual([
    ["i-1", true],
    ["i-2", false],
  ]);
  orchestrator.stop();
  runner.stop();
});

test("a region's stand-in waits for the nearer orchestrator and hands the work back when it is heard", () => {
  const clock = new sim.SimWorld(1);
  let polls = 0;
  const view = {
    reporting: () => {
      polls += 1;
      return [];
    },
    rank: () => 1,
    differ: () => [],
  };
  const orchestrator = new orchestrators.Orchestrator(clock, ["r"], view, dialTo([]), () => undefined);
  clock.skip(5000);
  orchestrator.hear({ region: "r", reports: [] });
  clock.skip(1400);
  orchestrator.turn();
  expect(polls).toBe(0);
  clock.skip(200);
  orchestrator.turn();
  expect(polls).toBeGreaterThan(0);
  const before = polls;
  orchestrator.hear({ region: "r", reports: [] });
  clock.skip(700);
  orchestrator.turn();
  expect(polls).toBe(before);
});
