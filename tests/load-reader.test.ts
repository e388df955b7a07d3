// What is told of runners' usage, to whom, and how much it is (design/usage 3, 4).
import * as reportResolution from "../src/load/report-resolution.js";
import * as regionReports from "../src/load/region-reports.js";
import * as regionInterest from "../src/load/region-interest.js";
import * as hintRelay from "../src/hints/hint-relay.js";
import * as runnerHash from "../src/hints/runner-hash.js";
import * as loadPublisher from "../src/load/load-publisher.js";
import * as types from "../src/wire/types.js";
import * as load from "./sim/load.js";

const { report, instance } = load;

test.each([
  [1, 1],
  [8, 1],
  [16, 1],
  [17, 2],
  [32, 2],
  [64, 4],
  [200, 13],
])("a runner of capacity %d is told to %d requests", (capacity, expected) => {
  expect(reportResolution.resolutionOf(capacity)).toBe(expected);
});

test.each([
  ["nothing", {}, {}, 8, false],
  ["one request of 8", { active: 3 }, { active: 4 }, 8, true],
  ["one request of 64", { active: 30 }, { active: 31 }, 64, false],
  ["three of 64", { active: 30 }, { active: 27 }, 64, false],
  ["four of 64", { active: 30 }, { active: 34 }, 64, true],
  ["one waiting of 16", {}, { waiting: 1 }, 16, true],
  ["a fortieth of the tokens", {}, { kvUsed: 2500 }, 8, false],
  ["a thirtieth of the tokens", {}, { kvUsed: 3334 }, 8, true],
  ["it fell silent", {}, { isSpeaking: false }, 64, true],
  ["it speaks again", { isSpeaking: false }, {}, 64, true],
  ["still silent, with other numbers", { isSpeaking: false }, { isSpeaking: false, active: 9 }, 8, false],
  ["another memory", {}, { kvCapacity: 90_000 }, 64, true],
])("material or not: %s", (_name, told, now, capacity, expected) => {
  expect(reportResolution.measureDeviation(report("a", told), report("a", now), capacity) >= 1).toBe(expected);
});

test("a report travels as its item says, kept tokens to a sixty-fourth", () => {
  for (const kvUsed of [0, 700, 800, 50_000, 100_000, 120_000]) {
    const sent = report("a", { active: 5, waiting: 2, kvUsed });
    const back = reportResolution.decodeReport(sent.id, reportResolution.encodeReport(sent));
    expect(back).toEqual(reportResolution.quantized(sent));
    expect(Math.abs(back.kvUsed - Math.min(100_000, kvUsed))).toBeLessThanOrEqual(100_000 / 128 + 1);
  }
  expect(reportResolution.decodeReport(types.small("a"), reportResolution.encodeReport(report("a", { kvCapacity: 0 }))).kvUsed).toBe(0);
});

const CAPACITY_64 = { get: () => 64 };

test("at a border nothing flickers: to and fro within a quantum is told once", () => {
  const picture = new regionReports.RegionReports("r");
  let told = 0;
  for (let turn = 0; turn < 100; turn += 1) {
    const reports = [report("a", { active: turn % 2 === 0 ? 31 : 33 })];
    const news = picture.selectChanges(reports, CAPACITY_64).filter((item) => picture.reports.get(item.id) !== item);
    told += news.length;
    picture.apply(news, turn);
  }
  expect(told).toBe(1);
});

test("each runner is told again within the rolling refresh, as it was told, so that lost knowledge heals", () => {
  const picture = new regionReports.RegionReports("r");
  const reports = Array.from({ length: 200 }, (_item, index) => report(`i-${index}`, { active: 20 }));
  picture.apply(picture.selectChanges(reports, CAPACITY_64), 0);
  const moved = reports.map((item) => ({ ...item, active: 21 }));
  const seen = new Map<string, number>();
  for (let turn = 0; turn < regionReports.REFRESH_PARTS; turn += 1) {
    const told = picture.selectChanges(moved, CAPACITY_64);
    expect(told.length).toBeLessThan(40);
    for (const item of told) seen.set(item.id, item.active);
  }
  expect(seen).toEqual(new Map(reports.map((item) => [item.id, 20])));
});

test("past the bound of a period those that moved most go first, the others later, and status always", () => {
  const picture = new regionReports.RegionReports("r");
  const reports = Array.from({ length: 300 }, (_item, index) => report(`i-${index}`));
  picture.apply(picture.selectChanges(reports, CAPACITY_64), 0);
  const moved = reports.map((item, index) => report(item.id, { active: index < 10 ? 40 : 8, isSpeaking: index < 250 }));
  const told = picture.selectChanges(moved, CAPACITY_64).filter((item) => item.active > 0);
  expect(told.filter((item) => !item.isSpeaking)).toHaveLength(50);
  expect(told).toHaveLength(50);
  picture.apply(told, 1);
  const next = picture.selectChanges(moved, CAPACITY_64).filter((item) => item.active > 0 && item.isSpeaking);
  expect(next).toHaveLength(regionReports.MAX_CHANGED);
  expect(next.slice(0, 10).every((item) => item.active === 40)).toBe(true);
  let turns = 0;
  for (; turns < 20 && [...picture.reports.values()].some((item) => item.active === 0); turns += 1)
    picture.apply(picture.selectChanges(moved, CAPACITY_64), 2);
  expect(turns).toBeLessThanOrEqual(8);
});

test("a router's picture after differences equals the full reports within the quantum", async () => {
  const system = new load.System(["a", "b"], 20, 16, 1);
  const router = new load.Router(system, "a");
  for (let turn = 0; turn < 150; turn += 1) {
    await system.turn(router);
    const region = system.regions[0];
    for (const truth of region.reports) {
      const runner = [...router.fleet.all()].find((item) => item.id === truth.id)!;
      expect(runner.isReporting).toBe(truth.isSpeaking);
      if (!truth.isSpeaking) continue;
      expect([runner.active, runner.waiting, runner.kvCapacity]).toEqual([truth.active, truth.waiting, truth.kvCapacity]);
      expect(Math.abs(runner.kvUsedFraction - truth.kvUsed / truth.kvCapacity)).toBeLessThanOrEqual(1 / 32 + 1 / 128);
    }
  }
}, 20_000);

test("a router follows its own region, those it sends to, and no longer those it left", async () => {
  const system = new load.System(["a", "b", "c"], 4, 16, 1);
  const router = new load.Router(system, "a");
  await system.turn(router);
  expect(router.cells()).toEqual(["cell:a"]);
  router.reader.recordSend("b");
  router.reader.recordSend("c");
  await system.turn(router);
  expect(router.cells()).toEqual(["cell:a", "cell:b", "cell:c"]);
  const runner = [...router.fleet.all()].find((item) => item.region === "b")!;
  expect(runner.kvCapacity).toBe(100_000);
  for (let turn = 0; turn < regionInterest.RETENTION_MS / load.PERIOD_MS + 1; turn += 1) {
    router.reader.recordSend("c");
    await system.turn(router);
  }
  expect(router.cells()).toEqual(["cell:a", "cell:c"]);
  // Of the region left it knows the mean usage by the summary, and takes no runner for silent.
  expect([runner.isReporting, runner.active]).toEqual([true, 0]);
  expect(runner.others).toBeCloseTo(router.fleet.summaries.summaryOf("b", "s")!.usage, 5);
  expect(router.fleet.summaries.summaryOf("c", "s")).toBeNull();
}, 20_000);

test("a region whose reports stand still fades at the router, and counts again whole when they come again", async () => {
  const system = new load.System(["a"], 4, 16, 1);
  const router = new load.Router(system, "a");
  for (let turn = 0; turn < 5; turn += 1) await system.turn(router);
  const used = (): number => [...router.fleet.all()].reduce((sum, runner) => sum + runner.requestCount(), 0);
  const before = used();
  expect(before).toBeGreaterThan(10);
  const play = async (ms: number): Promise<void> => {
    for (let left = ms; left > 0; left -= 100) {
      await system.clock.play(100);
      router.watch();
    }
  };
  await play(1400);
  expect(used()).toBe(before);
  await play(2500);
  expect(used()).toBeLessThan(before * 0.1);
  // A new list is no report.
  router.fleet.applyChanges([{ ...instance("new", "a") }], []);
  await play(100);
  expect(used()).toBeLessThan(before * 0.1);
  // Nothing moved meanwhile: a stamp alone brings back what was told.
  system.publisher.applyReport({ region: "a", reports: [] });
  await play(200);
  expect(used()).toBe(before);
}, 20_000);

test("items are named by marks, by the id where two runners share a mark", () => {
  const made = new runnerHash.RunnerHashes<types.RunnerId>((id) => (id === "c" ? 40 : 7));
  made.replaceAll([types.small("a"), types.small("b"), types.small("c")]);
  expect(["a", "b", "c"].map((id) => loadPublisher.reportKey(made, types.small(id)))).toEqual(["=a", "=b", "14"]);
});

async function bytesPerS(system: load.System, region: string, alsoSent: readonly string[]): Promise<number> {
  const router = new load.Router(system, region);
  const turns = 40;
  for (let turn = 0; turn < 10 + turns; turn += 1) {
    if (turn === 10) router.bytes();
    for (const other of alsoSent) router.reader.recordSend(other);
    await system.turn(router);
  }
  // What the bounds of a period put off stays small, and nobody's status is put off.
  const own = system.regions.find((item) => item.name === region)!;
  let far = 0;
  for (const runner of router.fleet.all()) {
    const truth = own.reports.find((item) => item.id === runner.id);
    if (!truth) continue;
    expect(runner.isReporting).toBe(truth.isSpeaking);
    if (truth.isSpeaking && reportResolution.measureDeviation(report(runner.id, runner), truth, 64) >= 2) far += 1;
  }
  expect(far).toBeLessThanOrEqual(own.reports.length * 0.02);
  return (router.bytes() * 1000) / (turns * load.PERIOD_MS);
}

const THIRTEEN = Array.from({ length: 13 }, (_item, index) => `region-${index}`);

test.each([
  ["42 runners, homebound", ["a", "b", "c"], 14, [], 500],
  ["42 runners, keys over all regions", ["a", "b", "c"], 14, ["b", "c"], 1300],
  ["5,500 runners, homebound", THIRTEEN, 423, [], 1400],
] as const)(
  "bytes a second to one router: %s",
  async (name, regions, perRegion, alsoSent, bound) => {
    const system = new load.System(regions, perRegion, 64, 2.7);
    const measured = await bytesPerS(system, regions[0], alsoSent);
    if (process.env["SHOW_BYTES"]) process.stdout.write(`${name}: ${Math.round(measured)} B/s\n`);
    expect(measured).toBeLessThan(bound);
    // With the signs that one of 96 routers of a control node is told, it stays within 2 KB a second.
    expect(measured + hintRelay.routerBytesPerS(96)).toBeLessThan(2000);
    expect(measured).toBeGreaterThan(50);
  },
  60_000,
);
