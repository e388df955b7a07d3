// The runners that a router knows, by the memberships that it receives (design 7.3).
import * as runnerFleet from "../../src/runners/runner-fleet.js";
import * as instances from "../sim/instances.js";
import * as simulatedClock from "../sim/simulated-clock.js";

test("a runner never returns from draining or gone, however old the next membership is", () => {
  const fleet = new runnerFleet.RunnerFleet(new simulatedClock.SimulatedClock(1), new Map([["z", "r"]]));
  fleet.applySnapshot([instances.instance("i-1"), instances.instance("i-2")]);
  fleet.applySnapshot([instances.instance("i-1", { isDraining: true })]);
  fleet.applySnapshot([instances.instance("i-1"), instances.instance("i-2")]);
  expect(fleet.ofService("s").map((runner) => [runner.id, runner.status])).toEqual([["i-1", "draining"]]);
});

test("changes of the membership take effect at once; runners of other services stay as they are", async () => {
  const clock = new simulatedClock.SimulatedClock(1);
  const fleet = new runnerFleet.RunnerFleet(clock, new Map([["z", "r"]]));
  const seen = (): string[] => fleet.ofService("s").map((runner) => `${runner.id} ${runner.status}`);
  fleet.applyChanges([instances.instance("i-1"), instances.instance("i-2"), instances.instance("i-3")], []);
  const [first, second] = fleet.ofService("s");
  fleet.applyChanges([instances.instance("i-1", { isDraining: true })], ["i-2"]);
  expect([seen(), second.status, fleet.ofService("s")[0] === first]).toEqual([["i-1 draining", "i-3 ready"], "gone", true]);
  fleet.applyChanges([instances.instance("i-2")], []); // an older word from another source
  await clock.play(119_000);
  fleet.restoreExpired();
  expect(seen()).toEqual(["i-1 draining", "i-3 ready"]);
  await clock.play(2000);
  fleet.restoreExpired();
  expect(seen()).toEqual(["i-1 draining", "i-3 ready", "i-2 ready"]);
  fleet.unfollow(["i-3"]); // its region is followed no longer
  fleet.applyChanges([instances.instance("i-3")], []);
  expect(seen()).toEqual(["i-1 draining", "i-2 ready", "i-3 ready"]);
});

test("a runner that was removed twice does not come back", async () => {
  const clock = new simulatedClock.SimulatedClock(1);
  const fleet = new runnerFleet.RunnerFleet(clock, new Map([["z", "r"]]));
  fleet.applyChanges([instances.instance("i-1")], []);
  fleet.applyChanges([], ["i-1"]);
  fleet.applyChanges([instances.instance("i-1")], []);
  fleet.applyChanges([], ["i-1"]);
  await clock.play(121_000);
  fleet.restoreExpired();
  expect([...fleet.all()]).toEqual([]);
});
