// The runners of a region are found without a look at all others (design 7.4).
import * as measuringClock from "../../src/experiment/measuring-clock.js";
import * as runnerFleet from "../../src/runners/runner-fleet.js";
import * as schema from "../../src/wire/schema.js";
import * as types from "../../src/wire/types.js";

const ZONES = new Map([
  ["n1", "north"],
  ["n2", "north"],
  ["s1", "south"],
]);

function listed(id: string, zone: string): schema.Instance {
  return { id: types.small(id), service: "s", address: "127.0.0.1:1", zone, capacity: 16, isDraining: false, coldMs: 0, leavesMs: -1 };
}

test("through random changes, ends and forgetting, regions divide all runners", () => {
  const world = new measuringClock.SeededClock(7);
  const fleet = new runnerFleet.RunnerFleet(world, ZONES);
  const zones = [...ZONES.keys(), "unknown"];
  for (let turn = 0; turn < 400; turn += 1) {
    const id = `i-${Math.floor(world.random() * 40)}`;
    const zone = zones[Math.floor(world.random() * zones.length)];
    const kind = world.random();
    if (kind < 0.6) fleet.applyChanges([listed(id, zone)], []);
    else if (kind < 0.7) fleet.applyChanges([], [id]);
    else if (kind < 0.95) fleet.unfollow([id]);
    else fleet.applySnapshot([listed(id, zone)]);
    const divided = ["north", "south", "unknown"].flatMap((region) =>
      [...fleet.inRegion(region)].map((runner) => `${region} ${runner.id}`),
    );
    expect(divided.sort()).toEqual([...fleet.all()].map((runner) => `${runner.region} ${runner.id}`).sort());
  }
  expect([...fleet.inRegion("nowhere")]).toEqual([]);
});

test("reports and doubts of a region are those of its runners alone", () => {
  const fleet = new runnerFleet.RunnerFleet(new measuringClock.SeededClock(1), ZONES);
  fleet.applySnapshot([listed("a", "n1"), listed("b", "n2"), listed("c", "s1")]);
  fleet.applyReport({
    region: "",
    reports: ["a", "b", "c"].map((id) => ({ id: types.small(id), isSpeaking: true, waiting: 0, active: 1, kvUsed: 1, kvCapacity: 9 })),
  });
  expect(fleet.reportsOf("north").map((report) => report.id)).toEqual(["a", "b"]);
  fleet.recordUnreachableRegion("south");
  const now = new measuringClock.SeededClock(1).now();
  expect([...fleet.all()].filter((runner) => runner.isSilent(now)).map((runner) => runner.id)).toEqual(["c"]);
});
