// Hundreds of changes while members restart, are wiped, stall and fill up (design/hardening/4-many-changes).
import * as log from "../../src/runtime/log.js";
import * as changeDay from "../sim/change-day.js";

const FAULT_EVERY = 15;
const DESCRIBE_EVERY = 4;

async function play(size: changeDay.Size, changes: number, seed: number): Promise<changeDay.Day> {
  const { routes } = size;
  const day = await changeDay.begin(seed, size);
  for (let index = 1; index <= changes; index += 1) {
    if (index % FAULT_EVERY === 0) {
      const node = day.nodes[Math.floor(day.clock.random() * day.nodes.length)];
      changeDay.trouble(day, node, changeDay.FAULTS[(index / FAULT_EVERY) % changeDay.FAULTS.length]);
    }
    await changeDay.change(day, routes);
    if (index % DESCRIBE_EVERY === 0) await changeDay.describe(day);
    if (MANY && index % SHOW_EVERY === 0) showMemory(index);
  }
  await day.clock.play(8000);
  return day;
}

/** MANY_CHANGES plays a longer day; figures of 1,000 stand on the page. */
const MANY = process.env["MANY_CHANGES"];
const ROWS: [routes: number, changes: number, nodes: number, tenants: number][] = [
  [600, Number(MANY ?? 250), 3, 0],
  [5000, Number(MANY ?? 20), 3, 0],
  [600, Number(MANY ?? 45), 5, 1000],
];
if (MANY) ROWS.push([5000, Number(MANY), 5, 1000]);
/** How often a long day shows what it holds in memory. */
const SHOW_EVERY = 250;

function counted(name: string): number {
  return new Map(log.counted()).get(name) ?? 0;
}

function showMemory(index: number): void {
  global.gc?.();
  process.stderr.write(`after ${index} changes: ${(process.memoryUsage().heapUsed / 2 ** 20).toFixed(0)} MB of heap\n`);
}

test.each(ROWS)(
  "%i routes, %i changes, %i nodes, %i tenants: members catch up, nobody serves old state",
  async (routes, changes, nodes, tenants) => {
    const differences = counted("feed.difference");
    const day = await play({ routes, nodes, tenants }, changes, 7919);
    expect(day.wrong).toEqual([]);
    expect(day.revision).toBe(changes + 1);
    const epoch = changeDay.newestEpoch(day);
    for (const node of day.nodes) expect([node.name, node.life.epoch]).toEqual([node.name, epoch]);
    const { epochs, config } = day.router;
    expect(epochs).toEqual([...epochs].sort((left, right) => left - right));
    expect([epochs[epochs.length - 1], config.revision]).toEqual([epoch, changes + 1]);
    // The router lived on differences; one that starts now gets a view, and is up to date as soon.
    expect(counted("feed.difference")).toBeGreaterThan(differences + changes / 2);
    const views = counted("feed.view");
    const late = new changeDay.FollowingRouter(
      day.network,
      "r2",
      day.nodes.map(({ name }) => name),
    );
    await day.clock.play(changeDay.CATCH_UP_MS);
    expect([late.config.revision, late.epochs]).toEqual([changes + 1, [epoch]]);
    expect(counted("feed.view")).toBeGreaterThan(views);
    const largest = Math.max(...day.nodes.map((node) => node.disk.largest));
    process.stderr.write(`${routes} routes: simulated ${(day.clock.now() / 1000).toFixed(0)} s, records up to ${largest} bytes\n`);
  },
  1_800_000,
);
