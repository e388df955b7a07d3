// All control nodes have the same reports of a region, whichever of them polls it (design/usage 3.2).
import * as regionOrchestrator from "../../src/control/platform/region-orchestrator.js";
import type * as dialer from "../../src/feed/dialer.js";
import * as feedPublisher from "../../src/feed/feed-publisher.js";
import * as regionReports from "../../src/load/region-reports.js";
import * as loadPublisher from "../../src/load/load-publisher.js";
import type * as schema from "../../src/wire/schema.js";
import type * as types from "../../src/wire/types.js";
import * as simulatedClock from "../sim/simulated-clock.js";
import * as load from "../sim/load.js";

interface Node {
  publisher: loadPublisher.LoadPublisher;
  told: [string, string[], number][];
}

function nodeOf(clock: simulatedClock.SimulatedClock, region: load.Region): Node {
  const told: Node["told"] = [];
  const feed = {
    publishSnapshot: (topic: string, items: ReadonlyMap<string, Buffer>, stamp: types.Stamp) =>
      told.push([topic, [...items.keys()], stamp]),
    publishChanges: (topic: string, items: ReadonlyMap<string, Buffer | null>, stamp: types.Stamp) =>
      told.push([topic, [...items.keys()], stamp]),
  } as unknown as feedPublisher.FeedPublisher;
  const publisher = new loadPublisher.LoadPublisher(clock, feed);
  publisher.setInstances(region.instances, new Map(region.instances.map((item): [types.RunnerId, string] => [item.id, region.name])));
  return { publisher, told };
}

function heldBy(node: Node): schema.Report[] {
  return node.publisher.snapshot("r").sort((left, right) => (left.id < right.id ? -1 : 1));
}

function setUp(
  count: number,
  seed: number,
): { clock: simulatedClock.SimulatedClock; region: load.Region; reader: Node; sibling: Node; turn(isLost?: boolean): schema.Report[] } {
  const clock = new simulatedClock.SimulatedClock(seed);
  const region = new load.Region(clock, "r", count, 16, 1);
  const [reader, sibling] = [nodeOf(clock, region), nodeOf(clock, region)];
  return {
    clock,
    region,
    reader,
    sibling,
    turn(isLost = false) {
      clock.skip(load.PERIOD_MS);
      const told = { region: "r", reports: reader.publisher.selectChanges("r", region.reports) };
      reader.publisher.applyReport(told);
      if (!isLost) sibling.publisher.applyReport(told);
      return told.reports;
    },
  };
}

test.each([1, 2, 3, 4, 5])("a peer that misses updates has the same reports after one round of the refresh: seed %d", (seed) => {
  const { clock, region, reader, sibling, turn } = setUp(40, seed);
  for (let index = 0; index < 60; index += 1) {
    region.turn();
    turn(clock.random() < 0.3);
  }
  for (let index = 0; index < regionReports.REFRESH_PARTS; index += 1) turn();
  expect(heldBy(sibling)).toEqual(heldBy(reader));
  expect(heldBy(sibling)).toHaveLength(40);
});

test("a node that takes a region over publishes changes, not all reports", () => {
  const { region, sibling, turn } = setUp(64, 9);
  for (let index = 0; index < 5; index += 1) {
    region.turn();
    turn();
  }
  const told = sibling.publisher.selectChanges("r", region.reports);
  expect(told.length).toBeLessThan(16);
});

test("each period advances the stamp of the topic, also without a change; a new list does not", () => {
  const { clock, region, reader, turn } = setUp(3, 1);
  turn();
  const first = reader.told.at(-1)!;
  turn();
  const second = reader.told.at(-1)!;
  expect([second[0], second[2] - first[2]]).toEqual(["cell:r", load.PERIOD_MS]);
  clock.skip(5000);
  const regions = new Map(region.instances.slice(1).map((item): [types.RunnerId, string] => [item.id, "r"]));
  reader.publisher.setInstances(region.instances.slice(1), regions);
  const [topic, keys, stamp] = reader.told.at(-1)!;
  expect([topic, keys.length, stamp]).toEqual(["cell:r", 2, second[2]]);
});

test("publishes all summaries together, at most every 1.8 s, and marks stale regions", () => {
  const { clock, region, reader, turn } = setUp(8, 1);
  const summed = (): number => reader.told.filter(([topic]) => topic === "summary").length;
  for (let index = 0; index < 30; index += 1) {
    region.turn();
    turn();
    reader.publisher.publishSummariesWhenDue();
  }
  expect(summed()).toBeLessThanOrEqual(10);
  expect(summed()).toBeGreaterThanOrEqual(9);
  const before = reader.told.length;
  clock.skip(2500);
  reader.publisher.publishSummariesWhenDue();
  expect(reader.told.slice(before)).toEqual([["summary", ["r/s"], clock.now()]]);
});

test("an orchestrator publishes the changes selected by its view, and knows which regions it polls", async () => {
  const clock = new simulatedClock.SimulatedClock(1);
  const told: schema.CellReport[] = [];
  const dial = {
    controls: new Map([["s", { link: { send: (_pair: unknown, ask: schema.CellReport) => told.push(ask) } }]]),
  } as unknown as dialer.Dialer;
  const news = [load.report("x")];
  const view = { reportingRunners: () => [], rankIn: (region: string) => (region === "r" ? 0 : 1), selectChanges: () => news };
  const heard: schema.CellReport[] = [];
  const orchestrator = new regionOrchestrator.RegionOrchestrator(clock, ["r", "q"], view, dial, (report) => heard.push(report));
  clock.skip(10);
  orchestrator.receiveReport({ region: "q", reports: [] });
  orchestrator.pollDueRegions();
  await clock.play(10);
  expect(told).toEqual([{ region: "r", reports: news }]);
  expect(heard).toEqual([
    { region: "q", reports: [] },
    { region: "r", reports: news },
  ]);
  expect(["r", "q", "none"].map((region) => orchestrator.isReader(region))).toEqual([true, false, false]);
  clock.skip(2000);
  expect(orchestrator.isReader("r")).toBe(false);
});
