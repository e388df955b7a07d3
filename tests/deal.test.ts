// Which control node reads which region's reports (design 4.5).
import * as assignment from "../src/control/platform/assignment.js";

function nodes(...regions: string[]): assignment.ReportReader[] {
  return regions.map((region, index) => ({ name: `c${index + 1}`, region }));
}

function firsts(readers: assignment.ReportReader[], weights: Map<string, number>): Map<string, string> {
  return new Map([...weights.keys()].map((region) => [region, assignment.assignReaders(region, readers, weights)[0].name]));
}

test.each([
  ["one of its own region reads it", nodes("a", "b", "c"), "b", ["c2"]],
  ["of two of its own the first by name, the other stands in before strangers", nodes("a", "b", "b"), "b", ["c2", "c3"]],
  ["a region that no weight names has its order too", nodes("a", "b"), "z", []],
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

test("regions without a control node of their own are dealt out by weight", () => {
  const total = [...WEIGHTS.values()].reduce((sum, weight) => sum + weight, 0);
  const perNode = new Map<string, number>();
  for (const [region, name] of firsts(READERS, WEIGHTS)) perNode.set(name, (perNode.get(name) ?? 0) + WEIGHTS.get(region)!);
  expect(perNode.size).toBe(5);
  // Weights count in steps of two, so a node may have up to twice the even part, not five times.
  for (const weight of perNode.values()) expect(weight).toBeLessThan((2 * total) / 5);
});

test("every region has exactly one first, whatever the order in which nodes are known", () => {
  const shuffled = [...READERS].reverse();
  for (const region of WEIGHTS.keys()) {
    expect(assignment.assignReaders(region, shuffled, WEIGHTS).map((reader) => reader.name)).toEqual(
      assignment.assignReaders(region, READERS, WEIGHTS).map((reader) => reader.name),
    );
  }
});

test("runners that come and go within a step move no region; a lost node's regions go to several", () => {
  const before = firsts(READERS, WEIGHTS);
  const wobbled = new Map([...WEIGHTS].map(([region, weight]) => [region, weight + (weight % 4) - 1]));
  const steps = (weights: Map<string, number>): number[] => [...weights.values()].map((weight) => Math.floor(Math.log2(weight)));
  expect(steps(wobbled)).toEqual(steps(WEIGHTS));
  expect(firsts(READERS, wobbled)).toEqual(before);
  const left = firsts(
    READERS.filter((reader) => reader.name !== "c1"),
    WEIGHTS,
  );
  expect(new Set(left.values()).size).toBe(4);
});

test("without any other node known the own one reads all", () => {
  expect(assignment.assignReaders("x", nodes("a"), WEIGHTS).map((reader) => reader.name)).toEqual(["c1"]);
});
