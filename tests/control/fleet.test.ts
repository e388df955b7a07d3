// Routers and five control nodes over simulated links: who is held, lost, replaced, told (design/members).
import * as schema from "../../src/wire/schema.js";
import * as types from "../../src/wire/types.js";
import * as simulatedNodes from "../sim/simulated-nodes.js";
import * as simulatedClock from "../sim/simulated-clock.js";

const REGIONS = ["a", "b", "c"];
const CORE: [string, string][] = [
  ["c1", "a"],
  ["c2", "a"],
  ["c3", "b"],
  ["c4", "b"],
  ["c5", "c"],
];
const SEEDS = CORE.map(([name]) => `${name}:1`);

async function start(seed: number, routers: number, seeds: string[] = SEEDS): Promise<simulatedNodes.SimFleet> {
  const fleet = new simulatedNodes.SimFleet(new simulatedClock.SimulatedClock(seed));
  fleet.holes.add("hole:1");
  for (const [name, region] of CORE) fleet.control(name, region, SEEDS);
  await fleet.clock.play(1000);
  for (let index = 0; index < routers; index += 1) fleet.router(`r${index}`, REGIONS[index % 3], seeds);
  return fleet;
}

function view(control: simulatedNodes.SimControl): string[] {
  return control.members.withRole("router").map((item) => `${item.name}${item.isReady ? "" : "-"}`);
}

function expectOneView(
  fleet: simulatedNodes.SimFleet,
  isUp: (router: simulatedNodes.SimRouter) => boolean = (router) => router.isUp,
): void {
  const truth = fleet.routers
    .filter(isUp)
    .map((router) => router.name)
    .sort();
  for (const control of fleet.controls.values()) if (control.isUp) expect(view(control)).toEqual(truth);
}

test("a second after the start each router holds control nodes of its own and another region; later three, evenly", async () => {
  const fleet = await start(1, 60, ["gone:1", "c4:1", "hole:1", "c1:1"]);
  await fleet.clock.play(1000);
  for (const router of fleet.routers) expect(router.dial.controls.size).toBeGreaterThanOrEqual(2);
  await fleet.clock.play(12_000);
  for (const router of fleet.routers) {
    const of = [...router.dial.controls.values()].map((control) => control.node.region);
    expect(of).toHaveLength(3);
    expect(of).toContain(router.region);
    expect(of.some((region) => region !== router.region)).toBe(true);
  }
  expectOneView(fleet);
  const places = fleet.routers.map((router) => router.held().join());
  await fleet.clock.play(8000);
  expect(fleet.routers.map((router) => router.held().join())).toEqual(places); // at rest: no moves
});

test("at a start the first that replies tells of the others: few dials beyond the three that are held", async () => {
  const fleet = await start(9, 60);
  await fleet.clock.play(400);
  for (const router of fleet.routers) expect(router.dial.controls.size).toBeGreaterThanOrEqual(2);
  await fleet.clock.play(10_000);
  const dials = fleet.routers.reduce((sum, router) => sum + router.dials.length, 0);
  expect(dials / 60).toBeLessThan(4);
});

test("one view at all after enters, leaves and lost news; each gap costs one whole view", async () => {
  const fleet = await start(2, 24);
  await fleet.clock.play(8000);
  fleet.lossPart = 0.15;
  for (let step = 0; step < 8; step += 1) {
    fleet.routers[step * 2].kill();
    fleet.router(`late${step}`, REGIONS[step % 3], SEEDS);
    await fleet.clock.play(500);
  }
  fleet.lossPart = 0;
  await fleet.clock.play(6000);
  expectOneView(fleet);
  const wholes = [...fleet.controls.values()].reduce((sum, control) => sum + control.wholes, 0);
  const controls = [...fleet.controls.values()];
  fleet.lossPart = 1;
  fleet.router("last", "a", SEEDS);
  await fleet.clock.play(290);
  fleet.lossPart = 0;
  await fleet.clock.play(4000);
  expectOneView(fleet);
  // Twenty ways between five control nodes: each that missed something was told the whole once.
  expect(controls.reduce((sum, control) => sum + control.wholes, 0) - wholes).toBeLessThanOrEqual(20);
});

test("what control nodes tell each other does not grow with the number of idle routers", async () => {
  const told: number[] = [];
  for (const routers of [12, 48]) {
    const fleet = await start(3, routers);
    await fleet.clock.play(14_000);
    for (const control of fleet.controls.values()) control.entries = control.wholes = 0;
    await fleet.clock.play(3000);
    told.push([...fleet.controls.values()].reduce((sum, control) => sum + control.entries + control.wholes, 0));
  }
  expect(told).toEqual([0, 0]);
});

test("a control node lost: its routers dial replacements over a while, none in a wave, and come back when it does", async () => {
  const fleet = await start(4, 90);
  await fleet.clock.play(14_000);
  const lost = fleet.controls.get("c3:1")!;
  const before = fleet.routers.map((router) => router.held().join());
  const homeless = fleet.routers.filter((router) => router.held().includes("c3:1")).length;
  expect(homeless).toBeGreaterThan(30);
  for (const router of fleet.routers) router.dials.splice(0);
  const at = fleet.clock.now();
  lost.kill();
  await fleet.clock.play(1000);
  const buckets = new Map<number, number>();
  let replaced = 0;
  for (const router of fleet.routers) {
    for (const dial of router.dials)
      if (dial.address !== "c3:1") {
        const bucket = Math.floor((dial.at - at) / 50);
        buckets.set(bucket, (buckets.get(bucket) ?? 0) + 1);
        replaced += 1;
      }
    expect(router.dial.controls.size).toBe(3);
  }
  expect(replaced).toBe(homeless);
  expect(Math.max(...buckets.values()) / replaced).toBeLessThan(0.25);
  expect(buckets.size).toBeGreaterThan(7);
  expectOneView(fleet);
  lost.isUp = true;
  const again = fleet.control("c3", "b", SEEDS);
  await fleet.clock.play(20_000);
  expect(again.isUp).toBe(true);
  expect(fleet.routers.map((router) => router.held().join())).toEqual(before);
});

test("with one left a replacement is dialled at once; one that is not settled does not count, and one more is held", async () => {
  const fleet = await start(5, 12);
  await fleet.clock.play(14_000);
  const router = fleet.routers[0];
  const [first, second] = router.held();
  for (const address of [first, second]) fleet.controls.get(address)!.kill();
  await fleet.clock.play(160);
  expect(router.dial.controls.size).toBe(3);
  const unsettled = fleet.controls.get(router.held()[0])!;
  fleet.controls.get(first)!.isUp = true;
  fleet.control(first.split(":")[0], "a", SEEDS);
  await fleet.clock.play(12_000);
  unsettled.isSettled = false;
  await fleet.clock.play(1500);
  expect(router.dial.controls.size).toBe(4);
  for (const other of fleet.routers) {
    const good = [...other.dial.controls.values()].filter((control) => control.heartbeat?.isSettled);
    expect(good).toHaveLength(3);
  }
  unsettled.isSettled = true;
  await fleet.clock.play(12_000);
  for (const other of fleet.routers) expect(other.dial.controls.size).toBe(3);
});

test("a router that leaves is not ready at all control nodes at once, also where it holds no session, and is not doubted back", async () => {
  const fleet = await start(6, 9);
  await fleet.clock.play(8000);
  for (const router of fleet.routers.slice(0, 6)) {
    router.isReady = false;
    router.beat();
  }
  await fleet.clock.play(400);
  for (const control of fleet.controls.values()) expect(view(control).filter((name) => !name.endsWith("-"))).toEqual(["r6", "r7", "r8"]);
  for (const router of fleet.routers.slice(0, 6)) router.kill();
  await fleet.clock.play(400);
  expectOneView(fleet);
});

test("routers lost without a word are kept for two seconds; places for shares stay right meanwhile and after", async () => {
  const fleet = await start(7, 12);
  await fleet.clock.play(8000);
  for (const router of fleet.routers.slice(0, 6)) router.kill();
  await fleet.clock.play(1000);
  const places = (): schema.Heartbeat[] => fleet.routers.slice(6).map((router) => [...router.dial.controls.values()][0].heartbeat!);
  for (const control of fleet.controls.values()) expect(view(control)).toHaveLength(12);
  expect(places().map((beat) => beat.members)).toEqual([12, 12, 12, 12, 12, 12]);
  await fleet.clock.play(2500);
  expectOneView(fleet);
  const rest = fleet.routers
    .slice(6)
    .map((router) => router.name)
    .sort();
  expect(places().map((beat) => [beat.index, beat.members])).toEqual(
    fleet.routers.slice(6).map((router) => [rest.indexOf(router.name), 6]),
  );
});

test("a control node that came at a new address is learned from siblings by routers that never had it as a seed", async () => {
  const fleet = await start(8, 12);
  await fleet.clock.play(8000);
  fleet.controls.get("c5:1")!.kill();
  fleet.control("c6", "c", SEEDS);
  await fleet.clock.play(12_000);
  for (const router of fleet.routers.filter((item) => item.region === "c")) expect(router.held()).toContain("c6:1");
  for (const router of fleet.routers) expect(router.epoch).toBe(types.FIRST_EPOCH);
  expectOneView(fleet);
});

test("one that was away for long is dialled soon once it is needed; with all away the pauses still grow", async () => {
  const fleet = await start(10, 15);
  await fleet.clock.play(8000);
  const kill = (address: string): void => fleet.controls.get(address)!.kill();
  kill("c3:1");
  await fleet.clock.play(40_000);
  for (const router of fleet.routers) router.dials.splice(0);
  await fleet.clock.play(20_000);
  for (const router of fleet.routers) expect(router.dials.length).toBeLessThan(6); // calm: pauses of seconds
  fleet.control("c3", "b", SEEDS);
  for (const address of ["c1:1", "c2:1", "c4:1"]) kill(address);
  await fleet.clock.play(1500);
  for (const router of fleet.routers) expect(router.held()).toEqual(["c3:1", "c5:1"]);
  for (const address of ["c3:1", "c5:1"]) kill(address);
  await fleet.clock.play(5000);
  for (const router of fleet.routers) router.dials.splice(0);
  await fleet.clock.play(10_000);
  for (const router of fleet.routers) {
    for (const address of SEEDS) expect(router.dials.filter((dial) => dial.address === address).length).toBeLessThan(10);
  }
});
