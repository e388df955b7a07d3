// Random cuts, freezes and changes: no node says that it is confirmed with a configuration that is older than any change
// acknowledged before the bound (design/hardening/1-cut-off).
import * as quorumConfirmation from "../../src/register/quorum-confirmation.js";
import * as simControlNode from "../sim/sim-control-node.js";
import * as networks from "../sim/network.js";
import * as simulatedClock from "../sim/simulated-clock.js";

const SECONDS = 30;

interface Acknowledged {
  at: number;
  epoch: number;
}

interface Seen {
  acknowledged: Acknowledged[];
  said: (simControlNode.PublishedHeartbeat & { name: string })[];
}

async function play(seed: number, count: number, broken: simControlNode.Broken): Promise<Seen> {
  const clock = new simulatedClock.SimulatedClock(seed * 7919 + 17);
  const network = new networks.SimNetwork(clock);
  const names = ["a", "b", "c", "d", "e"].slice(0, count);
  const nodes = names.map((name) => new simControlNode.ControlNode(network, name, { seeds: names, region: name, broken }));
  const acknowledged: Acknowledged[] = [];
  const zones = [...simControlNode.ZONES];
  function pick<T>(all: readonly T[]): T {
    return all[Math.floor(clock.random() * all.length)];
  }
  /** Whoever may have taken it shows the epoch at which it did. */
  async function change(): Promise<void> {
    const node = pick(nodes);
    const call = pick(["Start", "Stop"]);
    const told = await node.call("POST", `/-/Evacuations.${call}/${pick(zones)}`);
    if (told.status === 200) acknowledged.push({ at: clock.now(), epoch: node.epoch });
    expect([200, 307, 503]).toContain(told.status);
  }
  await clock.play(3000);
  for (let step = 0; step < SECONDS * 2; step += 1) {
    const chance = clock.random();
    const some = pick(names);
    const others = names.filter((name) => name !== some);
    if (chance < 0.12) network.cut([some], others);
    else if (chance < 0.2) network.cuts.add(`${some}>${pick(others)}`);
    else if (chance < 0.28) network.cut(names.slice(0, 2), names.slice(2));
    else if (chance < 0.34) network.frozen.add(some);
    else if (chance < 0.55) {
      network.cuts.clear();
      network.frozen.clear();
    } else void change();
    await clock.play(500);
  }
  const said = nodes.flatMap((node) => node.publishedHeartbeats.map((word) => ({ ...word, name: node.name })));
  return { acknowledged, said };
}

/** What was said as confirmed though an older acknowledged change is missing in it. */
function stale({ acknowledged, said }: Seen): simControlNode.PublishedHeartbeat[] {
  return said.filter((word) => {
    const isMissed = (item: Acknowledged): boolean => item.at <= word.at - quorumConfirmation.MAX_ANSWER_AGE_MS && item.epoch > word.epoch;
    return word.isSettled && acknowledged.some(isMissed);
  });
}

const SEEDS = Array.from({ length: 12 }, (_item, index) => index + 1);

test.each([3, 5])("%i control nodes: nothing older than the bound is said to be confirmed", async (count) => {
  let acknowledged = 0;
  let confirmed = 0;
  for (const seed of SEEDS) {
    const seen = await play(seed, count, "none");
    expect({ seed, stale: stale(seen) }).toEqual({ seed, stale: [] });
    acknowledged += seen.acknowledged.length;
    confirmed += seen.said.filter((word) => word.isSettled).length;
  }
  // The runs are no idle ones.
  expect(acknowledged).toBeGreaterThan(8 * SEEDS.length);
  expect(confirmed).toBeGreaterThan(50 * SEEDS.length);
});

test.each<simControlNode.Broken>(["always_confirmed", "no_bound", "any_epoch"])(
  "the guard %s is seen when it is broken",
  async (broken) => {
    let found = 0;
    for (const seed of SEEDS) if (found === 0) found += stale(await play(seed, 3, broken)).length;
    expect(found).toBeGreaterThan(0);
  },
);
