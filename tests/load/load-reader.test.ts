// How load reports reach routers, and how many bytes they take (design/usage 3, 4).
import * as reportResolution from "../../src/load/report-resolution.js";
import * as regionInterest from "../../src/load/region-interest.js";
import * as hintRelay from "../../src/hints/hint-relay.js";
import * as runnerHash from "../../src/hints/runner-hash.js";
import * as loadPublisher from "../../src/load/load-publisher.js";
import * as types from "../../src/wire/types.js";
import * as load from "../sim/load.js";

const { report, instance } = load;

test("the load that a router has from changes equals the full reports within one step", async () => {
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
});

test("a router follows its own region and those it sends to, for a time after the last request", async () => {
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
});

test("the load of a region with stale reports decays, and is complete again when reports resume", async () => {
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
});

test("items are keyed by the hash of the runner, or by its id where two share a hash", () => {
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
