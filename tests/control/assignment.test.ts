// Which control node polls the load reports of which region (design 4.5).
import * as assignment from "../../src/control/platform/assignment.js";

function nodes(...regions: string[]): assignment.ReportReader[] {
  return regions.map((region, index) => ({ name: `c${index + 1}`, region }));
}

function readerByRegion(readers: assignment.ReportReader[], weights: Map<string, number>): Map<string, string> {
  return new Map([...weights.keys()].map((region) => [region, assignment.assignReaders(region, readers, weights)[0].name]));
}

test.each([
  ["a node of the region itself is its reader", nodes("a", "b", "c"), "b", ["c2"]],
  [
    "of two nodes of the region the first by name is the reader, the other takes over before all others",
    nodes("a", "b", "b"),
    "b",
    ["c2", "c3"],
  ],
  ["a region without a weight has an order of readers too", nodes("a", "b"), "z", []],
] as const)("%s", (_name, readers, region, first) => {
  const order = assignment
    .assignReaders(
      region,
      readers,
      new Map([
        ["a", 3],
        ["b", 40],
        ["c", 7],
      ]),
    )
    .map((reader) => reader.name);
  expect(order.slice(0, first.length)).toEqual(first);
  expect([...order].sort()).toEqual(readers.map((reader) => reader.name));
});

/** Thirteen regions, tenfold apart, five control nodes in five of them. */
const WEIGHTS = new Map(Array.from({ length: 13 }, (_item, index) => [`r${index}`, 110 * (1 + ((index * 7) % 10))]));
const READERS = nodes("r0", "r3", "r5", "r8", "r12");

test("regions without a control node are spread over all nodes by weight", () => {
  const total = [...WEIGHTS.values()].reduce((sum, weight) => sum + weight, 0);
  const perNode = new Map<string, number>();
  for (const [region, name] of readerByRegion(READERS, WEIGHTS)) perNode.set(name, (perNode.get(name) ?? 0) + WEIGHTS.get(region)!);
  expect(perNode.size).toBe(5);
  // Weights count in steps of two, so a node may have up to twice the even part, not five times.
  for (const weight of perNode.values()) expect(weight).toBeLessThan((2 * total) / 5);
});

test("the readers of a region do not depend on the order in which nodes are known", () => {
  const shuffled = [...READERS].reverse();
  for (const region of WEIGHTS.keys()) {
    expect(assignment.assignReaders(region, shuffled, WEIGHTS).map((reader) => reader.name)).toEqual(
      assignment.assignReaders(region, READERS, WEIGHTS).map((reader) => reader.name),
    );
  }
});

test("a small change of weights moves no region; the regions of a lost node are spread over several", () => {
  const before = readerByRegion(READERS, WEIGHTS);
  const fluctuated = new Map([...WEIGHTS].map(([region, weight]) => [region, weight + (weight % 4) - 1]));
  const steps = (weights: Map<string, number>): number[] => [...weights.values()].map((weight) => Math.floor(Math.log2(weight)));
  expect(steps(fluctuated)).toEqual(steps(WEIGHTS));
  expect(readerByRegion(READERS, fluctuated)).toEqual(before);
  const left = readerByRegion(
    READERS.filter((reader) => reader.name !== "c1"),
    WEIGHTS,
  );
  expect(new Set(left.values()).size).toBe(4);
});

test("a node that knows no other reads all regions", () => {
  expect(assignment.assignReaders("x", nodes("a"), WEIGHTS).map((reader) => reader.name)).toEqual(["c1"]);
});
