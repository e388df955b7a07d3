// Admission decisions of a busy fleet: without contention nothing changes; latency targets and the gaps of streams count
// for the less urgent ranks (design/admission 11, 12).
import * as admissions from "../../src/admission/admission.js";
import * as admissionDecision from "../../src/admission/admission-decision.js";
import * as configurationCheck from "../../src/config/configuration-check.js";
import * as routeTable from "../../src/config/route-table.js";
import * as runnerFleet from "../../src/runners/runner-fleet.js";
import * as routePlan from "../../src/routing/route-plan.js";
import * as prefillTracker from "../../src/runners/prefill-tracker.js";
import * as promptParts from "../../src/routing/prompt-parts.js";
import * as types from "../../src/wire/types.js";
import { NOBODYS } from "../sim/plans.js";
import * as simulatedClock from "../sim/simulated-clock.js";

const LATENCY_TARGET_MS = 500;
const CONFIG = configurationCheck
  .check({
    revision: 1,
    services: [{ name: "s", runtime: { capacity: 10 } }],
    routes: [0, 1].map((priority) => ({
      name: `rank-${priority}`,
      hostname: "h",
      path_prefix: `/${priority}/`,
      route_type: "streaming",
      deadline_ms: 4000,
      target_latency_ms: LATENCY_TARGET_MS,
      target_gap_ms: 600,
      service: "s",
      priority,
    })),
  })
  .unwrapOr(null)!;
const TABLE = new routeTable.RouteTable(CONFIG);

class AdmissionFixture {
  readonly clock = new simulatedClock.SimulatedClock(1);
  readonly known = new prefillTracker.PrefillTracker();
  readonly fleet = new runnerFleet.RunnerFleet(this.clock, new Map([["z", "r"]]));
  readonly admission = new admissions.Admission(this.clock, {
    runners: this.fleet.all.bind(this.fleet),
    prefill: this.known,
    routerCount: () => 1,
  });

  constructor(runners: number) {
    const ids = Array.from({ length: runners }, (_, index) => `i-${index + 1}`);
    this.fleet.applySnapshot(
      ids.map((id) => ({
        id: types.small(id),
        service: "s",
        address: "127.0.0.1:1",
        zone: "z",
        capacity: 10,
        isDraining: false,
        coldMs: 0,
        leavesMs: -1,
      })),
    );
    for (let count = 0; count < 30; count += 1) {
      this.admission.serviceTimeOf("s").recordOccupancy(1000);
      this.admission.serviceTimeOf("s").recordTokens(1, 10, 200);
    }
  }

  plan(rank: number, key = 0, tokens = 2000): routePlan.RoutePlan {
    const parts = [{ id: "head", tokens }];
    return {
      requestId: types.small("q"),
      entry: TABLE.find("h", `/${rank}/`)!,
      service: "s",
      sharedParts: [],
      sharedTokens: 0,
      parts,
      prefixKeys: promptParts.prefixKeys(parts),
      attemptedRunners: new Set(),
      now: this.clock.now(),
      deadline: this.clock.now() + 4000,
      requestedTokens: { prompt: tokens, maxOutput: 10 },
      rank,
      ...NOBODYS,
      retryKey: key,
      cells: ["r"],
      candidates: [...this.fleet.ofService("s")],
    };
  }

  report(active: number[], waiting = 0): void {
    const reports = active.map((count, index) => ({
      id: types.small<types.RunnerId>(`i-${index + 1}`),
      isSpeaking: true,
      waiting,
      active: count,
      kvUsed: 0,
      kvCapacity: 100_000,
    }));
    this.fleet.applyReport({ region: "r", reports });
    this.admission.applyReport({ region: "r", reports });
  }

  /** Queues this many milliseconds of prefill at the runner. */
  queuePrefill(id: string, ms: number): void {
    this.known.recordPrefill(id, ms * this.known.tokensPerMs, [], this.clock.now());
  }

  recordGap(id: string, fraction: number): void {
    this.admission.interTokenGaps.recordGap(types.small(id), fraction, this.clock.now());
  }
}

test("without contention the chosen runner stays first, and no other is examined", () => {
  const fixture = new AdmissionFixture(24);
  fixture.report(Array.from({ length: 24 }, () => 4));
  const predicted = jest.spyOn(fixture.admission, "predict");
  const plan = fixture.plan(1);
  const { candidates } = plan;
  expect(fixture.admission.decide(plan)).toBeNull();
  expect(plan.candidates).toBe(candidates);
  expect(predicted).toHaveBeenCalledTimes(1);
});

test("while half of the slots are free, a request past its latency target is admitted at the chosen runner", () => {
  const fixture = new AdmissionFixture(2);
  fixture.report([4, 4]);
  fixture.queuePrefill("i-1", 1000);
  fixture.queuePrefill("i-2", 900);
  const plan = fixture.plan(1);
  expect(fixture.admission.decide(plan)).toBeNull();
  expect(plan.candidates[0].id).toBe("i-1");
});

test.each<[string, number, number, number, boolean]>([
  ["a new request within its latency target", 1, 0, 100, true],
  ["a new request past its latency target", 1, 0, 900, false],
  ["a request of the first rank past its latency target", 0, 0, 900, true],
  ["a retried request past its latency target, but within its deadline", 1, 7, 900, true],
  ["a retried request past its deadline", 1, 7, 3900, false],
])("decides with over half of the slots used on %s", (_name, rank, key, backlogMs, isAdmitted) => {
  const fixture = new AdmissionFixture(2);
  fixture.report([8, 8]);
  for (const id of ["i-1", "i-2"]) fixture.queuePrefill(id, backlogMs);
  if (key > 0) fixture.admission.recentRejections.record(key, fixture.clock.now());
  expect(fixture.admission.decide(fixture.plan(rank, key)) === null).toBe(isAdmitted);
});

test("a new request is admitted at the runner that meets its latency target", () => {
  const fixture = new AdmissionFixture(3);
  fixture.report([8, 8, 8]);
  fixture.queuePrefill("i-1", 900);
  fixture.queuePrefill("i-2", 900);
  const plan = fixture.plan(1);
  expect(fixture.admission.decide(plan)).toBeNull();
  expect(plan.candidates.map((runner) => runner.id)).toEqual(["i-3", "i-1", "i-2"]);
});

test("queued prefill counts as a wait, which may take half of the slack of a less urgent request", () => {
  const fixture = new AdmissionFixture(1);
  fixture.report([8]);
  fixture.admission.recentRejections.record(7, 0);
  fixture.queuePrefill("i-1", 3200);
  expect(fixture.admission.decide(fixture.plan(1, 7))).toMatchObject({ status: 503 });
  expect(fixture.admission.decide(fixture.plan(0))).toBeNull();
});

test("a long prefill is not added to streams near their gap limit, except for the first rank", async () => {
  const fixture = new AdmissionFixture(2);
  fixture.report([8, 8]);
  fixture.recordGap("i-1", 0.9);
  const plan = fixture.plan(1);
  expect(fixture.admission.decide(plan)).toBeNull();
  expect(plan.candidates[0].id).toBe("i-2");
  fixture.recordGap("i-2", 0.9);
  expect(fixture.admission.decide(fixture.plan(1))).toMatchObject({ status: 503 });
  expect(fixture.admission.decide(fixture.plan(1, 0, 100))).toBeNull();
  expect(fixture.admission.decide(fixture.plan(0))).toBeNull();
  await fixture.clock.play(1000);
  expect(fixture.admission.decide(fixture.plan(1))).toBeNull();
});

test("gaps do not count for large requests that were admitted far too seldom", () => {
  const fixture = new AdmissionFixture(1);
  for (let count = 0; count < 60; count += 1) fixture.admission.recordSend(fixture.plan(1, 0, 300), [...fixture.fleet.ofService("s")][0]);
  fixture.report([8]);
  fixture.recordGap("i-1", 0.9);
  const isAdmitted = Array.from({ length: 6 }, () => fixture.admission.decide(fixture.plan(1, 0, 2500)) === null);
  expect([isAdmitted[0], isAdmitted[5]]).toEqual([false, true]);
});

test("the retry time is the excess with jitter, at least 0.2 s, at most a third of the remaining time", () => {
  const plan = new AdmissionFixture(1).plan(1);
  expect([0, 1].map((random) => admissionDecision.reject(plan, 500, random).retryAfterS)).toEqual([0.3, 0.5]);
  expect(admissionDecision.reject(plan, -Infinity, 1).retryAfterS).toBe(0.2);
  expect(admissionDecision.reject(plan, 9000, 1).retryAfterS).toBeCloseTo(4 / 3);
});
