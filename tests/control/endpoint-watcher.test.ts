// Which control node polls the platform's endpoint list, what its peers receive, and who takes over (design 4.4).
import * as endpointWatcher from "../../src/control/platform/endpoint-watcher.js";
import * as keyedItems from "../../src/feed/keyed-items.js";
import * as types from "../../src/wire/types.js";
import * as watch from "../sim/watch.js";

interface WatcherOptions {
  clock: watch.MixedWorld;
  /** The address of the platform; none by default. */
  platform?: string;
  dial?: ReturnType<typeof watch.dialTo>;
  rank?: number;
  onChange?: (plan: keyedItems.ChangePlan) => void;
}

function makeWatcher({
  clock,
  platform = "",
  dial = watch.dialTo([]),
  rank = 0,
  onChange,
}: WatcherOptions): endpointWatcher.EndpointWatcher {
  return new endpointWatcher.EndpointWatcher(
    clock,
    platform,
    1000,
    dial,
    () => rank,
    (plan) => onChange?.(plan),
  );
}

test("reads all pages of the platform, and sends peers what has changed or an empty change", () =>
  watch.withPlatform(async (platform) => {
    platform.instances = watch.listed(5);
    const clock = new watch.MixedWorld(1);
    const told: watch.Told[] = [];
    const plans: keyedItems.ChangePlan[] = [];
    const watcher = makeWatcher({ clock, platform: platform.address, dial: watch.dialTo(told), onChange: (plan) => plans.push(plan) });
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
    expect([keyedItems.unpackChanges(told[3].ask), plans[2].removed]).toEqual([new Map([["i-1", null]]), ["i-1"]]);
    watcher.stop();
  }));

test("sends a snapshot to a peer that holds another list, which rejects a change based on a list that it does not hold", () =>
  watch.withPlatform(async (platform) => {
    platform.instances = watch.listed(3);
    const clock = new watch.MixedWorld(1);
    const told: watch.Told[] = [];
    const peer = makeWatcher({ clock, rank: 1 });
    const reader = makeWatcher({ clock, platform: platform.address, dial: watch.dialTo(told, (change) => peer.receiveUpdate(change)) });
    reader.pollWhenDue();
    await watch.until(() => told.length === 1);
    expect([peer.hasList, peer.instances()]).toEqual([true, reader.instances()]);
    platform.instances[0].state = "draining";
    const late = makeWatcher({ clock, rank: 1 });
    const other = makeWatcher({ clock, platform: platform.address, dial: watch.dialTo(told, (change) => late.receiveUpdate(change)) });
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

test("the node of the second rank polls when updates stop, that of the third later still", () =>
  watch.withPlatform(async (platform) => {
    platform.instances = watch.listed(1);
    for (const [rank, waits] of [
      [1, 1400],
      [2, 2100],
    ] as const) {
      const clock = new watch.MixedWorld(1);
      const watcher = makeWatcher({ clock, platform: platform.address, rank });
      watcher.receiveUpdate({
        place: "",
        topic: "list",
        number: 0,
        stamp: types.small(0),
        base: types.small("other"),
        digest: types.small("other"),
        isView: false,
        ...keyedItems.packChanges(new Map()),
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
