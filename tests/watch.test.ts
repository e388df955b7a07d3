// Who reads the list, and who takes over (design 4.4).
import * as endpointWatcher from "../src/control/platform/endpoint-watcher.js";
import * as keyed from "../src/feed/keyed.js";
import * as types from "../src/wire/types.js";
import * as watch from "./sim/watch.js";

/** One that never becomes a reader: it only takes what it is told. */
function silentWatcher(clock: watch.MixedWorld): endpointWatcher.EndpointWatcher {
  return new endpointWatcher.EndpointWatcher(
    clock,
    "",
    1000,
    watch.dialTo([]),
    () => 1,
    () => undefined,
  );
}

/** One that reads the platform's list and tells the other one, who replies. */
function readingWatcher(
  clock: watch.MixedWorld,
  platform: string,
  told: watch.Told[],
  other: endpointWatcher.EndpointWatcher,
): endpointWatcher.EndpointWatcher {
  return new endpointWatcher.EndpointWatcher(
    clock,
    platform,
    1000,
    watch.dialTo(told, (ask) => other.receiveUpdate(ask)),
    () => 0,
    () => undefined,
  );
}

test("all pages are read; siblings hear what changed and nothing but freshness otherwise", () =>
  watch.withPlatform(async (platform) => {
    platform.instances = watch.listed(5);
    const clock = new watch.MixedWorld(1);
    const told: watch.Told[] = [];
    const plans: keyed.Plan[] = [];
    const watcher = new endpointWatcher.EndpointWatcher(
      clock,
      platform.address,
      1000,
      watch.dialTo(told),
      () => 0,
      (plan) => plans.push(plan),
    );
    watcher.pollWhenDue();
    await watch.until(() => told.length === 1);
    expect([...plans[0].changed.keys()]).toEqual(["i-0", "i-1", "i-2", "i-3", "i-4"]);
    expect([watch.keysOf(told[0].ask), platform.calls]).toEqual([["i-0", "i-1", "i-2", "i-3", "i-4"], 3]);
    clock.skip(800);
    watcher.pollWhenDue();
    await watch.until(() => told.length === 2);
    expect([watch.keysOf(told[1].ask), told[1].ask.base === told[1].ask.digest, plans.length]).toEqual([[], true, 1]);
    platform.instances[2].state = "draining";
    clock.skip(800);
    watcher.pollWhenDue();
    await watch.until(() => told.length === 3);
    expect([watch.keysOf(told[2].ask), watcher.instances()[2].isDraining, [...plans[1].changed.keys()]]).toEqual([["i-2"], true, ["i-2"]]);
    platform.instances.splice(1, 1);
    clock.skip(800);
    watcher.pollWhenDue();
    await watch.until(() => told.length === 4);
    expect([keyed.unpack(told[3].ask), plans[2].gone]).toEqual([new Map([["i-1", null]]), ["i-1"]]);
    watcher.stop();
  }));

test("a sibling that holds another list is told the whole; it takes nothing that does not build on what it holds", () =>
  watch.withPlatform(async (platform) => {
    platform.instances = watch.listed(3);
    const clock = new watch.MixedWorld(1);
    const told: watch.Told[] = [];
    const sibling = silentWatcher(clock);
    const reader = readingWatcher(clock, platform.address, told, sibling);
    reader.pollWhenDue();
    await watch.until(() => told.length === 1);
    expect([sibling.hasList, sibling.instances()]).toEqual([true, reader.instances()]);
    platform.instances[0].state = "draining";
    const late = silentWatcher(clock);
    const other = readingWatcher(clock, platform.address, told, late);
    other.receiveUpdate({ ...told[0].ask });
    other.pollWhenDue();
    await watch.until(() => told.length === 3);
    expect([watch.keysOf(told[1].ask), told[2].ask.isView, watch.keysOf(told[2].ask).length, late.hasList]).toEqual([
      ["i-0"],
      true,
      3,
      false,
    ]);
    late.receiveUpdate(told[2].ask);
    expect([late.hasList, late.instances().map((item) => item.isDraining)]).toEqual([true, [true, false, false]]);
    reader.stop();
    other.stop();
  }));

test("the second in order reads only when the first has been silent, the third later still", () =>
  watch.withPlatform(async (platform) => {
    platform.instances = watch.listed(1);
    for (const [rank, waits] of [
      [1, 1400],
      [2, 2100],
    ] as const) {
      const clock = new watch.MixedWorld(1);
      const watcher = new endpointWatcher.EndpointWatcher(
        clock,
        platform.address,
        1000,
        watch.dialTo([]),
        () => rank,
        () => undefined,
      );
      watcher.receiveUpdate({
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
      watcher.pollWhenDue();
      await new Promise(setImmediate);
      expect(platform.calls).toBe(before);
      clock.skip(20);
      watcher.pollWhenDue();
      await watch.until(() => platform.calls === before + 1 && watcher.hasList);
      watcher.stop();
    }
  }));

test.each([
  [{ instance_id: 7 }, null],
  [null, null],
  [{}, null],
  [watch.listed(1, { state: "draining", remaining_ms: 1500 })[0], { isDraining: true, leavesMs: 1500 }],
  [watch.listed(1, { warmup_left_ms: 2500.4 })[0], { isDraining: false, coldMs: 2500, leavesMs: -1 }],
])("entry %j of the list", (item, expected) => {
  const read = endpointWatcher.readInstance(item);
  if (expected === null) expect(read).toBeNull();
  else expect(read).toMatchObject(expected);
});
