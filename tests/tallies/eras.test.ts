/** Eras bound how long ids are remembered (design/tallies 6). */
import * as tallyCluster from "../support/tally-cluster.js";
import * as tallyHistories from "../support/tally-histories.js";

test("ids are forgotten after three eras, everywhere, and all totals stay the same", async () => {
  const cluster = new tallyCluster.TallyCluster(5, 3, 1);
  await cluster.play(8000);
  const nodes = [...cluster.nodes.values()].map((node) => node.tallies!);
  expect(await tallyHistories.outcomeOf(cluster, nodes[0].add("t", { id: "a", amount: 2 }), 300)).toBe("added");
  expect(await tallyHistories.outcomeOf(cluster, nodes[1].add("t", { id: "a", amount: 2 }), 300)).toBe("added");
  await cluster.play(9 * 60_000);
  expect(await tallyHistories.outcomeOf(cluster, nodes[2].add("t", { id: "a", amount: 2 }), 300)).toBe("added");
  expect(await tallyHistories.outcomeOf(cluster, nodes[2].total("t"), 0)).toBe(2);
  await cluster.play(40 * 60_000);
  for (const node of nodes) expect(node.status()).toMatchObject({ ids: 0 });
  expect(await tallyHistories.outcomeOf(cluster, nodes[0].add("t", { id: "b", amount: 1 }), 300)).toBe("added");
  for (const node of nodes) expect(await tallyHistories.outcomeOf(cluster, node.total("t"), 0)).toBe(3);
});
