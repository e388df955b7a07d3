// Which control node polls the load reports of a region, and who takes over (design 4.5).
import * as regionOrchestrator from "../../src/control/platform/region-orchestrator.js";
import * as runnerEmulator from "../../src/emulator/runner-emulator.js";
import * as schema from "../../src/wire/schema.js";
import * as types from "../../src/wire/types.js";
import * as simulatedClock from "../sim/simulated-clock.js";
import * as watch from "../sim/watch.js";

test("a runner whose report is missing counts as unresponsive", async () => {
  const runner = new runnerEmulator.RunnerEmulator({ id: "i-1" });
  await runner.start();
  const instance: schema.Instance = {
    id: types.small("i-1"),
    service: "s",
    address: runner.address,
    zone: "z",
    capacity: 4,
    isDraining: false,
    coldMs: 0,
    leavesMs: -1,
  };
  const gone: schema.Instance = { ...instance, id: types.small("i-2"), address: "127.0.0.1:1" };
  const clock = new watch.MixedWorld(1);
  const seen: schema.CellReport[] = [];
  const view = {
    reportingRunners: () => [instance, gone],
    rankIn: () => 0,
    selectChanges: (_region: string, reports: readonly schema.Report[]) => [...reports],
  };
  const orchestrator = new regionOrchestrator.RegionOrchestrator(clock, ["r"], view, watch.dialTo([]), (report) => seen.push(report));
  clock.skip(1000);
  orchestrator.pollDueRegions();
  await watch.until(() => seen.length === 1);
  expect(seen[0].reports.map((report) => [report.id, report.isSpeaking])).toEqual([
    ["i-1", true],
    ["i-2", false],
  ]);
  orchestrator.stop();
  runner.stop();
});

test("a node of the second rank polls a region when its reports stop, and no longer when they resume", () => {
  const clock = new simulatedClock.SimulatedClock(1);
  let polls = 0;
  const view = {
    reportingRunners: () => {
      polls += 1;
      return [];
    },
    rankIn: () => 1,
    selectChanges: () => [],
  };
  const orchestrator = new regionOrchestrator.RegionOrchestrator(clock, ["r"], view, watch.dialTo([]), () => undefined);
  clock.skip(5000);
  orchestrator.receiveReport({ region: "r", reports: [] });
  clock.skip(1400);
  orchestrator.pollDueRegions();
  expect(polls).toBe(0);
  clock.skip(200);
  orchestrator.pollDueRegions();
  expect(polls).toBeGreaterThan(0);
  const before = polls;
  orchestrator.receiveReport({ region: "r", reports: [] });
  clock.skip(700);
  orchestrator.pollDueRegions();
  expect(polls).toBe(before);
});
