// How many orders a second the register takes, and how long they take (design/hardening/2-orders).
import * as pace from "../sim/pace.js";

const SLOW_DISKS = 30;
const SEEDS = [7919, 15838, 23757];

interface Row {
  nodes: number;
  callers: number;
  isSpread: boolean;
  leastPerSecond: number;
  mostP99Ms: number;
  /** Orders without a clear answer, of all. */
  mostUnclear: number;
}

const ROWS: [string, Row][] = [
  ["1 at one node", { nodes: 3, callers: 1, isSpread: false, leastPerSecond: 2.3, mostP99Ms: 700, mostUnclear: 0 }],
  ["8 at one node", { nodes: 3, callers: 8, isSpread: false, leastPerSecond: 18, mostP99Ms: 700, mostUnclear: 0 }],
  ["64 at one node", { nodes: 3, callers: 64, isSpread: false, leastPerSecond: 150, mostP99Ms: 700, mostUnclear: 0 }],
  ["8 spread over three", { nodes: 3, callers: 8, isSpread: true, leastPerSecond: 6, mostP99Ms: 2300, mostUnclear: 0.01 }],
  ["64 spread over three", { nodes: 3, callers: 64, isSpread: true, leastPerSecond: 50, mostP99Ms: 2300, mostUnclear: 0.01 }],
  ["8 at one of five", { nodes: 5, callers: 8, isSpread: false, leastPerSecond: 17, mostP99Ms: 700, mostUnclear: 0 }],
];

function show(name: string, path: string, found: pace.Pace): void {
  const { perSecond, medianMs, p99Ms, unclear } = found;
  const figures = `${perSecond.toFixed(1)} a second, median ${medianMs.toFixed(0)} ms, p99 ${p99Ms.toFixed(0)} ms`;
  process.stderr.write(`${name}, ${path}: ${figures}, ${unclear} without an answer\n`);
}

test.each(ROWS)("disks 30 times slower: %s", async (name, row) => {
  const { nodes, callers, isSpread } = row;
  const setting = { nodes, callers, isSpread, diskFactor: SLOW_DISKS };
  show(name, "in line", await pace.measure({ ...setting, seed: SEEDS[0], isBatched: false }));
  for (const seed of SEEDS) {
    const found = await pace.measure({ ...setting, seed, isBatched: true });
    show(name, "batched", found);
    expect(found.perSecond).toBeGreaterThan(row.leastPerSecond);
    expect(found.p99Ms).toBeLessThan(row.mostP99Ms);
    const all = found.perSecond * 60 + found.unclear;
    expect(found.unclear / all).toBeLessThanOrEqual(row.mostUnclear);
  }
});

test("eight concurrent orders on slow disks end within two seconds, at one node and spread over three", async () => {
  for (const isSpread of [false, true]) {
    for (const seed of SEEDS) {
      const took = await pace.burst({ seed, nodes: 3, callers: 8, isSpread, isBatched: true, diskFactor: SLOW_DISKS });
      expect([isSpread, seed, took.length]).toEqual([isSpread, seed, 8]);
      expect(Math.max(...took)).toBeLessThan(2000);
    }
  }
});
