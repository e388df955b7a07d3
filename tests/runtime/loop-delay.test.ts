/** A process that was itself not run for a while does not take its peers for silent (src/runtime/loop-delay.ts). */
import * as loopDelay from "../../src/runtime/loop-delay.js";
import * as simulatedClock from "../sim/simulated-clock.js";
import * as systems from "../sim/system.js";
import * as tallyHistories from "../support/tally-histories.js";

test("the first run after a delay is told, and the delay is remembered for a while", () => {
  const clock = new simulatedClock.SimulatedClock();
  const delay = new loopDelay.LoopDelay(clock);
  const runAfter = (ms: number): boolean => {
    clock.skip(ms);
    return delay.recordRun();
  };
  // The first run follows the start, however long that took.
  expect([runAfter(900), runAfter(100), runAfter(240), delay.wasDelayed(1000)]).toEqual([false, false, false, false]);
  clock.skip(300);
  expect(delay.wasDelayed(0)).toBe(true);
  // A loop that stays slow judges on every second run: it has read its sockets since.
  expect([delay.recordRun(), runAfter(300), runAfter(300), runAfter(100)]).toEqual([true, false, true, false]);
  expect([delay.wasDelayed(100), delay.wasDelayed(99)]).toEqual([true, false]);
});

test("an add that comes as a suspended node resumes waits for its peers and is acknowledged", async () => {
  const cluster = await tallyHistories.clusterWithCutOffNode();
  cluster.cuts.clear();
  await cluster.play(2000);
  const node = cluster.nodes.get("n1")!;
  node.suspendedUntil = cluster.clock.now() + 1500;
  // The add is read first, before what the peers have sent meanwhile.
  await cluster.play(1499);
  expect(await tallyHistories.outcomeOf(cluster, node.tallies!.add("t", { id: "a", amount: 1 }), 400)).toBe("added");
});

test("an add that a node acknowledges as it resumes is held by as many disks as at any time", async () => {
  const cluster = await tallyHistories.clusterWithCutOffNode();
  cluster.cuts.clear();
  await cluster.play(2000);
  const node = cluster.nodes.get("n1")!;
  node.suspendedUntil = cluster.clock.now() + 1500;
  await cluster.play(1499);
  let isAcknowledged = false;
  void node.tallies!.add("t", { id: "a", amount: 1 }).then((outcome) => (isAcknowledged = outcome === "added"));
  while (!isAcknowledged) await cluster.play(1);
  const others = [...cluster.nodes.values()].filter((other) => other !== node);
  const totals = await Promise.all(others.map((other) => tallyHistories.outcomeOf(cluster, other.tallies!.total("t"), 0)));
  expect(totals.filter((total) => total === 1).length).toBeGreaterThanOrEqual(cluster.tolerated);
});

test("an add at a node that resumes without its peers is refused once they have had the time to be in touch", async () => {
  const cluster = await tallyHistories.clusterWithCutOffNode();
  cluster.cutsRouters = false;
  const node = cluster.nodes.get("n5")!;
  node.suspendedUntil = cluster.clock.now() + 1500;
  await cluster.play(1500);
  expect(await tallyHistories.outcomeOf(cluster, node.tallies!.add("t", { id: "a", amount: 1 }), 1250)).toBe("busy");
});

test("an order at a node that resumes is taken there once the voters confirm it, not sent elsewhere", async () => {
  const system = await systems.start();
  system.clock.skip(1500);
  const { told, ms } = await systems.answered(system, systems.get(system, "a").evacuate("z0"));
  expect(told.status).toBe(200);
  expect(ms).toBeLessThan(800);
});
