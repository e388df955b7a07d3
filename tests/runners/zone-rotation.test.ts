// A zone that is evacuated, and taken back (design 7.5).
import * as zoneRotation from "../../src/runners/zone-rotation.js";
import * as simulatedClock from "../sim/simulated-clock.js";

test("a zone is drained in steps well within the bound and comes back in steps", async () => {
  const clock = new simulatedClock.SimulatedClock(1);
  const rotation = new zoneRotation.ZoneRotation(clock);
  const seen: number[] = [];
  rotation.applyEvacuations(["z"], false);
  for (let turn = 0; turn < 5; turn += 1) {
    seen.push(rotation.percentOf("z"));
    await clock.play(250);
  }
  expect(seen).toEqual([75, 50, 25, 0, 0]);
  expect(rotation.applyEvacuations([], false)).toEqual(["z"]);
  const back: number[] = [];
  for (let turn = 0; turn < 5; turn += 1) {
    back.push(rotation.percentOf("z"));
    await clock.play(500);
  }
  expect(back).toEqual([10, 25, 50, 75, 100]);
});

test("a restarted router sends nothing to an evacuated zone from the start", () => {
  const rotation = new zoneRotation.ZoneRotation(new simulatedClock.SimulatedClock(1));
  rotation.applyEvacuations(["z"], true);
  expect(rotation.percentOf("z")).toBe(0);
});
