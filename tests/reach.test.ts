// Regions out of reach: denied at once with a time to come back, and found again (design 7.3).
import * as plans from "../src/router/plan.js";
import * as reaches from "../src/router/policies/reach.js";
import * as fleets from "../src/router/runners/fleet.js";
import type * as schema from "../src/wire/schema.js";
import * as types from "../src/wire/types.js";
import * as sim from "./sim/world.js";

const ZONES = new Map([
  ["a1", "a"],
  ["b1", "b"],
]);

let clock: sim.SimWorld;
let fleet: fleets.Fleet;
let policy: reaches.ReachPolicy;

function instance(id: string, zone: string): schema.Instance {
  const base = { id, service: "s", address: "127.0.0.1:1", zone, capacity: 8, coldMs: 0, leavesMs: -1, isDraining: false };
  return base as unknown as schema.Instance;
}

beforeEach(() => {
  clock = new sim.SimWorld(3);
  clock.skip(10_000);
  fleet = new fleets.Fleet(clock, ZONES);
  fleet.takeList([instance("ra", "a1"), instance("rb", "b1"), instance("rb2", "b1")]);
  policy = new reaches.ReachPolicy(clock, fleet);
});

function runner(id: string): fleets.Runner {
  return [...fleet.all()].find((item) => item.id === types.small(id))!;
}

/** Connections to both runners of region b stay out. */
function cut(): void {
  for (const id of ["rb", "rb2"]) runner(id).sign("unreached", clock.now());
}

function apply(cells: string[], changed: Partial<plans.Plan> = {}): plans.Rejection | null {
  const now = clock.now();
  return policy.apply({ cells, now, deadline: now + 9000, sends: 0, tried: new Set<string>(), ...changed } as plans.Plan);
}

test("one request tries, the others are denied at once and told to come back later the longer it lasts", () => {
  cut();
  expect(apply(["b"])).toBeNull();
  const told: number[] = [];
  for (let step = 0; step < 5; step += 1) {
    const rejection = apply(["b"]);
    expect(rejection?.status).toBe(503);
    told.push(rejection!.retryAfterS);
    clock.skip(500);
    cut();
  }
  expect(told[0]).toBeLessThanOrEqual(1);
  // A client honours a third of the 9 s that it has left; chance takes up to 0.4 of it away.
  expect(told[4]).toBeGreaterThan(told[0]);
  expect(Math.max(...told)).toBeLessThanOrEqual(3);
  clock.skip(1000);
  cut();
  expect(apply(["b"])).toBeNull();
  expect(apply(["b"])).not.toBeNull();
});

test("a request that tried in vain is denied, one that was sent goes on looking", () => {
  cut();
  expect(apply(["b"], { tried: new Set(["rb"]) })).not.toBeNull();
  expect(apply(["b"], { tried: new Set(["rb"]), sends: 1 })).toBeNull();
});

test.each<[string, () => void]>([
  ["a region is left in reach", () => cut()],
  ["one connection alone stayed out", () => runner("rb").sign("unreached", clock.now())],
  ["its runners are heard again", () => (cut(), clock.skip(100), runner("rb").received(clock.now()))],
  ["its control nodes are heard again", () => (cut(), clock.skip(100), fleet.heardRegion("b"))],
  ["nothing was tried for long", () => (cut(), clock.skip(5000))],
])("nothing is denied where %s", (what, happen) => {
  happen();
  const cells = what.startsWith("a region") ? ["a", "b"] : ["b"];
  for (let step = 0; step < 3; step += 1) expect(apply(cells)).toBeNull();
});
