/** What the tests of random tally histories have in common: how many seeds they play, and the searches over them. */
import * as tallyCluster from "./tally-cluster.js";
import * as tallyGuards from "./tally-guards.js";
import * as tallyStorm from "./tally-storm.js";

/** Histories that each test of the rules plays, with the seeds 1 to SEEDS. */
export const SEEDS = 25;
/** Seeds tried for a missing guard; after a change of the sources another may be the first to show it. */
const MAX_SEEDS = 150;

/** Plays SEEDS histories of so many nodes and expects that none breaks a rule and that enough adds were acknowledged. */
export async function expectNoFaults(nodes: number): Promise<void> {
  let acknowledged = 0;
  let apart = 0;
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    const storm = new tallyStorm.TallyStorm({ seed, nodes });
    expect([seed, await storm.play()]).toEqual([seed, []]);
    acknowledged += storm.checker.acknowledged;
    apart += storm.checker.acknowledgedApart;
  }
  expect(acknowledged).toBeGreaterThan(SEEDS * 100);
  expect(apart).toBeGreaterThan(SEEDS * 30);
}

/** Plays histories without the guard until one breaks a rule, and expects that one does. */
export async function expectGuardIsMissed(guard: tallyGuards.Guard): Promise<void> {
  let isSeen = false;
  for (let seed = 1; seed < 1 + MAX_SEEDS && !isSeen; seed += 1) {
    const storm = new tallyStorm.TallyStorm({ seed, weak: tallyGuards.weaknessOf(guard) });
    isSeen = (await tallyGuards.without(guard, () => storm.play())).length > 0;
  }
  expect(isSeen).toBe(true);
}

/** Five nodes, of which the last is cut off from all others at once, as with its region. */
export async function clusterWithCutOffNode(): Promise<tallyCluster.TallyCluster> {
  const cluster = new tallyCluster.TallyCluster(11, 5, 2);
  await cluster.play(8000);
  for (const other of ["n1", "n2", "n3", "n4"]) cluster.cuts.add(`n5>${other}`).add(`${other}>n5`);
  return cluster;
}

/** Plays on for the given time and returns what the work came to by then. */
export async function outcomeOf<T>(cluster: tallyCluster.TallyCluster, work: Promise<T>, withinMs: number): Promise<T | "no answer"> {
  let outcome: T | "no answer" = "no answer";
  void work.then((result) => (outcome = result));
  await cluster.play(withinMs);
  return outcome;
}
