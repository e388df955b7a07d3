// Admission at the door: denial by rank and load, returning requests, and its line of the settings (design/admission).
import * as admissions from "../../src/admission/admission.js";
import * as serviceTimeModel from "../../src/admission/service-time-model.js";
import * as routeTable from "../../src/config/route-table.js";
import * as configurationCheck from "../../src/config/configuration-check.js";
import * as runnerFleet from "../../src/runners/runner-fleet.js";
import * as routePlan from "../../src/routing/route-plan.js";
import * as prefillTracker from "../../src/runners/prefill-tracker.js";
import * as settings from "../../src/settings/settings.js";
import * as types from "../../src/wire/types.js";
import { NOBODYS } from "../sim/plans.js";
import * as simulatedClock from "../sim/simulated-clock.js";

const CONFIG = configurationCheck
  .check({
    revision: 1,
    services: [{ name: "s", runtime: { capacity: 4 } }],
    routes: [0, 2].map((priority) => ({
      name: `rank-${priority}`,
      hostname: "h",
      path_prefix: `/${priority}/`,
      route_type: "streaming",
      deadline_ms: 3000,
      service: "s",
      priority,
    })),
  })
  .unwrapOr(null)!;

interface Door {
  clock: simulatedClock.SimulatedClock;
  fleet: runnerFleet.RunnerFleet;
  admission: admissions.Admission;
  plan(rank: number, key?: number): routePlan.RoutePlan;
  report(active: number[], waiting?: number): void;
}

/** Two runners of four places, and a service whose places are held 2 s each. */
function door(seed = 1): Door {
  const clock = new simulatedClock.SimulatedClock(seed);
  const fleet = new runnerFleet.RunnerFleet(clock, new Map([["z", "r"]]));
  fleet.applySnapshot(
    ["i-1", "i-2"].map((id) => ({
      id: types.small(id),
      service: "s",
      address: "127.0.0.1:1",
      zone: "z",
      capacity: 4,
      isDraining: false,
      coldMs: 0,
      leavesMs: -1,
    })),
  );
  const admission = new admissions.Admission(clock, {
    runners: fleet.all.bind(fleet),
    prefill: new prefillTracker.PrefillTracker(),
    routerCount: () => 1,
  });
  for (let count = 0; count < 30; count += 1) {
    admission.serviceTimeOf("s").recordOccupancy(2000);
    admission.serviceTimeOf("s").recordTokens(1, 10, 200);
  }
  const table = new routeTable.RouteTable(CONFIG);
  return {
    clock,
    fleet,
    admission,
    plan: (rank, key = 0) => ({
      requestId: types.small("q"),
      entry: table.find("h", `/${rank}/`)!,
      service: "s",
      sharedParts: [],
      sharedTokens: 0,
      parts: [],
      prefixKeys: [],
      attemptedRunners: new Set(),
      now: clock.now(),
      deadline: clock.now() + 3000,
      requestedTokens: { prompt: 100, maxOutput: 10 },
      rank,
      ...NOBODYS,
      retryKey: key,
      cells: ["r"],
      candidates: [...fleet.ofService("s")],
    }),
    report(active, waiting = 0) {
      const report = {
        region: "r",
        reports: active.map((count, index) => ({
          id: types.small<types.RunnerId>(`i-${index + 1}`),
          isSpeaking: true,
          waiting,
          active: count,
          kvUsed: 0,
          kvCapacity: 10_000,
        })),
      };
      fleet.applyReport(report);
      admission.applyReport(report);
    },
  };
}

test.each<[string, number[], number, number, boolean]>([
  ["an empty fleet", [0, 0], 0, 2, true],
  ["one free place", [4, 3], 0, 2, true],
  ["all taken, no queue", [4, 4], 0, 2, true],
  ["a queue longer than the deadline", [4, 4], 8, 0, false],
  ["a queue within it, first rank", [4, 4], 3, 0, true],
  ["the same queue, last rank", [4, 4], 3, 2, false],
])("%s", (_name, active, waiting, rank, isIn) => {
  const { admission, plan, report } = door();
  report(active, waiting);
  expect(admission.decide(plan(rank)) === null).toBe(isIn);
});

test("the first runner that serves in time goes first; off, or with nothing learned, all are let in", () => {
  const { admission, plan, report } = door();
  report([12, 1]);
  const moved = plan(0);
  expect(admission.decide(moved)).toBeNull();
  expect(moved.candidates[0].id).toBe("i-2");
  report([4, 4], 20);
  expect(admission.decide(plan(0))).toMatchObject({ status: 503 });
  admission.isOn = false;
  expect(admission.decide(plan(0))).toBeNull();
  expect(new serviceTimeModel.ServiceTimeModel().occupancyMs(true)).toBe(0);
});

test("reports that stopped deny nobody", async function stale() {
  const { clock, admission, plan, report } = door();
  report([4, 4], 20);
  expect(admission.decide(plan(2))).toMatchObject({ status: 503 });
  await clock.play(3100);
  expect(admission.decide(plan(2))).toBeNull();
});

test("a returning request is let in where a newcomer of its rank is not; only once", () => {
  const { admission, plan, report } = door();
  report([4, 4], 1);
  expect(admission.decide(plan(2, 77))).toMatchObject({ status: 503 });
  expect(admission.decide(plan(2, 78))).toMatchObject({ status: 503 });
  expect(admission.decide(plan(2, 77))).toBeNull();
});

test("Retry-After is spread by chance, and within a third of the time left", () => {
  const { admission, plan, report } = door(5);
  report([4, 4], 20);
  const told = Array.from({ length: 50 }, () => admission.decide(plan(2))!.retryAfterS);
  expect(Math.max(...told)).toBeLessThanOrEqual(1);
  expect(Math.min(...told)).toBeGreaterThan(0.1);
  expect(new Set(told.map((value) => value.toFixed(2))).size).toBeGreaterThan(20);
});

test("admission=off is a line of the settings; on is the default", () => {
  const lines = [
    "node_name=n",
    "ip_address=10.0.0.1",
    "zone=z",
    "region=r",
    "zones.z=r",
    "internal_port_range=1,2",
    "seed_nodes=10.0.0.1:80",
    "bootstrap=true",
    "failure_counted=true",
    "limits.memory_mb=9",
    "limits.max_open_files=9",
  ];
  const read = (line: string) => settings.parse([...lines, line].join("\n"));
  expect(read("").unwrapOr(null)!.admission).toBe("on");
  expect(read("admission=off").unwrapOr(null)!.admission).toBe("off");
  const wrong = read("admission=maybe");
  expect(wrong.isErr && wrong.error.message).toMatch(/admission.*docs\/operating.md/);
});
