// The judgment at the door of a busy fleet: calm days change nothing, newcomers are judged by their aim, long
// readings keep away from streams that pause, and the tally of it all (design/admission 10 to 12).
import * as admissions from "../src/admission/admission.js";
import * as interTokenGaps from "../src/admission/inter-token-gaps.js";
import * as sizeClasses from "../src/admission/size-classes.js";
import * as admissionStats from "../src/admission/admission-stats.js";
import * as admissionDecision from "../src/admission/admission-decision.js";
import * as check from "../src/config/check.js";
import * as routes from "../src/config/routes.js";
import * as runnerFleet from "../src/runners/runner-fleet.js";
import * as routePlan from "../src/routing/route-plan.js";
import * as prefillTracker from "../src/runners/prefill-tracker.js";
import * as promptParts from "../src/routing/prompt-parts.js";
import * as types from "../src/wire/types.js";
import { NOBODYS } from "./sim/plans.js";
import * as sim from "./sim/world.js";
const AIM_MS = 500;
const CONFIG = check
  .check({
    revision: 1,
    services: [{ name: "s", runtime: { capacity: 10 } }],
    routes: [0, 1].map((priority) => ({
      name: `rank-${priority}`,
      hostname: "h",
      path_prefix: `/${priority}/`,
      route_type: "streaming",
      deadline_ms: 4000,
      target_latency_ms: AIM_MS,
      target_gap_ms: 600,
      service: "s",
      priority,
    })),
  })
  .unwrapOr(null)!;
const TABLE = new routes.RouteTable(CONFIG);

class Door {
  readonly clock = new sim.SimWorld(1);
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

  /** So many milliseconds of prompts are to be read first. */
  fill(id: string, ms: number): void {
    this.known.recordPrefill(id, ms * this.known.tokensPerMs, [], this.clock.now());
  }

  pause(id: string, share: number): void {
    this.admission.interTokenGaps.recordGap(types.small(id), share, this.clock.now());
  }
}

test("on a calm day the choice stands, and no other runner is looked at", () => {
  const door = new Door(24);
  door.report(Array.from({ length: 24 }, () => 4));
  const looked = jest.spyOn(door.admission, "predict");
  const plan = door.plan(1);
  const { candidates } = plan;
  expect(door.admission.decide(plan)).toBeNull();
  expect(plan.candidates).toBe(candidates);
  expect(looked).toHaveBeenCalledTimes(1);
});

test("half the places free: late for its aim or not, it is let in where it was chosen to go", () => {
  const door = new Door(2);
  door.report([4, 4]);
  door.fill("i-1", 1000);
  door.fill("i-2", 900);
  const plan = door.plan(1);
  expect(door.admission.decide(plan)).toBeNull();
  expect(plan.candidates[0].id).toBe("i-1");
});

test.each<[string, number, number, number, boolean]>([
  ["a newcomer within its aim", 1, 0, 100, true],
  ["a newcomer past its aim", 1, 0, 900, false],
  ["the first rank past its aim", 0, 0, 900, true],
  ["one that came back, past its aim and in time", 1, 7, 900, true],
  ["one that came back, too late", 1, 7, 3900, false],
])("over half the places taken: %s", (_name, rank, key, backlogMs, isIn) => {
  const door = new Door(2);
  door.report([8, 8]);
  for (const id of ["i-1", "i-2"]) door.fill(id, backlogMs);
  if (key > 0) door.admission.recentRejections.record(key, door.clock.now());
  expect(door.admission.decide(door.plan(rank, key)) === null).toBe(isIn);
});

test("a newcomer goes where it is within its aim", () => {
  const door = new Door(3);
  door.report([8, 8, 8]);
  door.fill("i-1", 900);
  door.fill("i-2", 900);
  const plan = door.plan(1);
  expect(door.admission.decide(plan)).toBeNull();
  expect(plan.candidates.map((runner) => runner.id)).toEqual(["i-3", "i-1", "i-2"]);
});

test("readings ahead count as a wait: the lesser rank may spend half of its spare time on them", () => {
  const door = new Door(1);
  door.report([8]);
  door.admission.recentRejections.record(7, 0);
  door.fill("i-1", 3200);
  expect(door.admission.decide(door.plan(1, 7))).toMatchObject({ status: 503 });
  expect(door.admission.decide(door.plan(0))).toBeNull();
});

test("a long reading keeps away from streams that pause; a short one and the first rank do not", async function pressed() {
  const door = new Door(2);
  door.report([8, 8]);
  door.pause("i-1", 0.9);
  const plan = door.plan(1);
  expect(door.admission.decide(plan)).toBeNull();
  expect(plan.candidates[0].id).toBe("i-2");
  door.pause("i-2", 0.9);
  expect(door.admission.decide(door.plan(1))).toMatchObject({ status: 503 });
  expect(door.admission.decide(door.plan(1, 0, 100))).toBeNull();
  expect(door.admission.decide(door.plan(0))).toBeNull();
  await door.clock.play(1000);
  expect(door.admission.decide(door.plan(1))).toBeNull();
});

test.each<[string, number, boolean, boolean]>([
  ["never", 0, true, true],
  ["half as often", 2, true, true],
  ["four times in five", 5, true, false],
  ["as often", 1, false, false],
])("the largest tenth is admitted %s: held back, starved", (_name, every, isHeldBack, isStarved) => {
  const made = new sizeClasses.SizeClasses();
  for (let count = 0; count < 2000; count += 1) {
    const size = 1 + ((count * 37) % 100);
    const isLarge = made.classOf(size) === 0;
    const turn = Math.floor(count / 100);
    const isIn = every === 1 || (every === 2 && turn % 2 === 0) || (every === 5 && turn % 5 > 0);
    made.record(size, !isLarge || isIn);
  }
  expect([made.isHeldBack(100), made.isStarved(100), made.isStarved(10)]).toEqual([isHeldBack, isStarved, false]);
});

test("the large ones of a kind do not starve: once they do, pauses hold them back no further", () => {
  const door = new Door(1);
  for (let count = 0; count < 60; count += 1) door.admission.recordSend(door.plan(1, 0, 300), [...door.fleet.ofService("s")][0]);
  door.report([8]);
  door.pause("i-1", 0.9);
  const isIn = Array.from({ length: 6 }, () => door.admission.decide(door.plan(1, 0, 2500)) === null);
  expect([isIn[0], isIn[5]]).toEqual([false, true]);
});

test("pauses: the longest lately counts, and half as much after a while", () => {
  const made = new interTokenGaps.InterTokenGaps();
  const id: types.RunnerId = types.small("i-1");
  made.recordGap(id, 1, 0);
  made.recordGap(id, 0.2, 10);
  expect([made.isNearLimit(id, 100), made.isNearLimit(id, 600)]).toEqual([true, false]);
  made.retainOnly(new Set<string>());
  expect(made.isNearLimit(id, 0)).toBe(false);
});

test("Retry-After: the excess, at least 0.2 s, at most a third of the time left, spread by chance", () => {
  const plan = new Door(1).plan(1);
  expect([0, 1].map((random) => admissionDecision.reject(plan, 500, random).retryAfterS)).toEqual([0.3, 0.5]);
  expect(admissionDecision.reject(plan, -Infinity, 1).retryAfterS).toBe(0.2);
  expect(admissionDecision.reject(plan, 9000, 1).retryAfterS).toBeCloseTo(4 / 3);
});

test("the tally: refusal times at the door and after a send, ends by rank, room unused, and when a shortage ends", async function told() {
  const clock = new sim.SimWorld(1);
  const tally = new admissionStats.AdmissionStats(clock);
  for (let count = 1; count <= 99; count += 1) tally.recordRejection(0.5, "no room", false);
  tally.recordRejection(40, "no room", false);
  tally.recordRejection(300, "handed back", true);
  tally.recordOutcome("whole", 0);
  tally.recordOutcome("late", 1);
  tally.recordUnusedCapacity({ runners: 1, places: 8, freePlaces: 2, waiting: 0, tokens: 0, freeTokens: 0, readMs: 0 });
  expect(tally.status()).toMatchObject({
    ends: { whole_rank_0: 1, late_rank_1: 1 },
    causes: { "no room": 100, "handed back": 1 },
    unusedPercent: { count: 1 },
    refusedAtDoorMs: { count: 100, p50: 0.5, p99: 0.5 },
    refusedAfterSendMs: { count: 1 },
  });
  // The histograms keep two figures.
  const { refusedAtDoorMs: atDoor, unusedPercent: unused } = tally.status() as {
    refusedAtDoorMs: { worst: number };
    unusedPercent: { p50: number };
  };
  expect([Math.round(atDoor.worst), Math.round(unused.p50)]).toEqual([40, 25]);
  tally.detectRecovery();
  expect(tally.isRejecting).toBe(true);
  await clock.play(3100);
  tally.detectRecovery();
  expect(tally.isRejecting).toBe(false);
});
