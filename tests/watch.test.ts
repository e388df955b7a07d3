// Who reads the list and the reports, and who takes over (design 4.4, 4.5).
import * as orchestrators from "../src/control/orchestrator.js";
import * as watchers from "../src/control/watcher.js";
import type * as dialer from "../src/feed/dialer.js";
import * as platforms from "../src/standin/platform.js";
import * as runners from "../src/standin/runner.js";
import * as schema from "../src/wire/schema.js";
import * as types from "../src/wire/types.js";
import * as world from "../src/wire/world.js";
import * as sim from "./sim/world.js";

interface Told {
  pair: { name: string };
  ask: schema.InstanceList;
}

function dialTo(told: Told[]): dialer.Dialer {
  const control = { link: { tell: (pair: { name: string }, ask: schema.InstanceList) => told.push({ pair, ask }) } };
  return { controls: new Map([["sibling", control]]) } as unknown as dialer.Dialer;
}

function listed(count: number, more: Partial<platforms.Listed> = {}): platforms.Listed[] {
  return Array.from({ length: count }, (_item, index) => ({
    instance_id: `i-${index}`, service: "s", address: `127.0.0.1:${index + 1}`, zone: "z", revision: "v1", capacity: 4, state: "ready" as const, warmup_left_ms: 0, ...more,
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

test("all pages are read; siblings hear a change whole and nothing but freshness otherwise", () => withPlatform(async (platform) => {
  platform.instances = listed(5);
  const clock = new MixedWorld(1);
  const told: Told[] = [];
  const lists: schema.Instance[][] = [];
  const watcher = new watchers.Watcher(clock, platform.address, 1000, dialTo(told), () => 0, (list) => lists.push(list));
  watcher.turn();
  await until(() => told.length === 1);
  expect(lists[0]!.map((item) => item.id)).toEqual(["i-0", "i-1", "i-2", "i-3", "i-4"]);
  expect([told[0]!.ask.isSame, told[0]!.ask.instances.length, platform.calls]).toEqual([false, 5, 3]);
  clock.skip(800);
  watcher.turn();
  await until(() => told.length === 2);
  expect([told[1]!.ask.isSame, told[1]!.ask.instances.length, lists.length]).toEqual([true, 0, 1]);
  platform.instances[2]!.state = "draining";
  clock.skip(800);
  watcher.turn();
  await until(() => told.length === 3);
  expect(lists[1]![2]!.isDraining).toBe(true);
  watcher.stop();
}));

test("the second in order reads only when the first has been silent, the third later still", () => withPlatform(async (platform) => {
  platform.instances = listed(1);
  for (const [rank, waits] of [[1, 1400], [2, 2100]] as const) {
    const clock = new MixedWorld(1);
    const watcher = new watchers.Watcher(clock, platform.address, 1000, dialTo([]), () => rank, () => undefined);
    watcher.hear({ isSame: true, instances: [] });
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
  [{ instance_id: 7 }, null], [null, null], [{}, null],
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
  const instance: schema.Instance = { id: types.small("i-1"), service: "s", address: runner.address, zone: "z", capacity: 4, isDraining: false, coldMs: 0, leavesMs: -1 };
  const gone: schema.Instance = { ...instance, id: types.small("i-2"), address: "127.0.0.1:1" };
  const clock = new MixedWorld(1);
  const seen: schema.CellReport[] = [];
  const view = { reporting: () => [instance, gone], rank: () => 0, differ: (_region: string, reports: readonly schema.Report[]) => [...reports] };
  const orchestrator = new orchestrators.Orchestrator(clock, ["r"], view, dialTo([]), (report) => seen.push(report));
  clock.skip(1000);
  orchestrator.turn();
  await until(() => seen.length === 1);
  expect(seen[0]!.reports.map((report) => [report.id, report.isSpeaking])).toEqual([["i-1", true], ["i-2", false]]);
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
