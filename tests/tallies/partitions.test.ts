/** Both sides of a network partition take adds and agree after it (design/tallies 2, 3). */
import * as tallyHistories from "../support/tally-histories.js";

test("both sides of a long cut go on, and agree within a second after it", async () => {
  const cluster = await tallyHistories.clusterWithCutOffNode();
  await cluster.play(1000);
  const [one, apart] = [cluster.nodes.get("n1")!.tallies!, cluster.nodes.get("n5")!.tallies!];
  for (let round = 0; round < 300; round += 1) {
    const adds = [one.add("t", { id: `one-${round}`, amount: 1 }), apart.add("t", { id: `apart-${round}`, amount: 1 })];
    // The same add at both sides, as from a caller who moves.
    adds.push(one.add("t", { id: `both-${round}`, amount: 1 }), apart.add("t", { id: `both-${round}`, amount: 1 }));
    expect(await tallyHistories.outcomeOf(cluster, Promise.all(adds), 200)).toEqual(["added", "added", "added", "added"]);
  }
  cluster.cuts.clear();
  await cluster.play(1000);
  for (const { tallies } of cluster.nodes.values()) expect(await tallyHistories.outcomeOf(cluster, tallies!.total("t"), 0)).toBe(900);
});

test("where only control nodes lack each other, the side with too few refuses at once and writes nothing", async () => {
  const cluster = await tallyHistories.clusterWithCutOffNode();
  cluster.cutsRouters = false;
  await cluster.play(1000);
  const apart = cluster.nodes.get("n5")!.tallies!;
  expect(await tallyHistories.outcomeOf(cluster, apart.add("t", { id: "a", amount: 1 }), 0)).toBe("busy");
  cluster.cuts.clear();
  await cluster.play(1000);
  expect(await tallyHistories.outcomeOf(cluster, apart.total("t"), 0)).toBe(0);
});

test("an id with another amount is refused at one node, and the greater counts where two took it", async () => {
  const cluster = await tallyHistories.clusterWithCutOffNode();
  await cluster.play(1000);
  const [one, apart] = [cluster.nodes.get("n1")!.tallies!, cluster.nodes.get("n5")!.tallies!];
  expect(await tallyHistories.outcomeOf(cluster, one.add("t", { id: "a", amount: 3 }), 300)).toBe("added");
  expect(await tallyHistories.outcomeOf(cluster, apart.add("t", { id: "a", amount: 5 }), 300)).toBe("added");
  expect(await tallyHistories.outcomeOf(cluster, one.add("t", { id: "a", amount: 5 }), 0)).toBe("conflict");
  cluster.cuts.clear();
  await cluster.play(2000);
  for (const { tallies } of cluster.nodes.values()) expect(await tallyHistories.outcomeOf(cluster, tallies!.total("t"), 0)).toBe(5);
});
