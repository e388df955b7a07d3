// The queue of steps in front of the proposer (design/hardening/2-orders): outcomes, retries, deadlines.
import * as result from "true-myth/result";
import * as stepQueue from "../src/register/step-queue.js";
import type * as registerStep from "../src/register/register-step.js";
import * as registerValue from "../src/register/register-value.js";
import * as errors from "../src/runtime/errors.js";
import * as schema from "../src/wire/schema.js";
import * as sim from "./sim/world.js";

const FIRST = registerValue.initialValue(["a:1", "b:1", "c:1"]);

/** Stands for the proposer: a test decides which value is read and when the outcome is known. */
class Register {
  readonly steps: registerStep.Step[] = [];
  private readonly ends: ((outcome: registerStep.Outcome) => void)[] = [];
  isPatient = (): boolean => false;
  propose(step: registerStep.Step, _withinMs: number, isPatient: () => boolean): Promise<registerStep.Outcome> {
    this.steps.push(step);
    this.isPatient = isPatient;
    return new Promise((resolve) => this.ends.push(resolve));
  }
  /** One round of the newest change: the value that it would have accepted. */
  round(read: schema.Value): schema.Value {
    return this.steps[this.steps.length - 1](read).unwrapOr(FIRST);
  }
  end(outcome: registerStep.Outcome): void {
    this.ends[this.ends.length - 1](outcome);
  }
}

function sceneOf(): { clock: sim.SimWorld; register: Register; queue: stepQueue.StepQueue } {
  const clock = new sim.SimWorld(1);
  const register = new Register();
  return { clock, register, queue: new stepQueue.StepQueue(clock, register.propose.bind(register)) };
}

function start(zone: string): registerStep.Step {
  return (value) => result.ok(registerValue.withEvacuation(value, zone, true));
}

/** Denies where the zone is evacuated already. */
function only(zone: string): registerStep.Step {
  return (value) =>
    value.evacuations.includes(zone)
      ? result.err(new errors.RevisionConflictError(`${zone} is evacuated`, "read again"))
      : result.ok(registerValue.withEvacuation(value, zone, true));
}

function told(promise: Promise<registerStep.Outcome>): { outcome: string } {
  const seen = { outcome: "waiting" };
  void promise.then(
    (outcome) => (seen.outcome = outcome.isOk ? outcome.value.evacuations.join() : outcome.error.code),
    (cause: Error) => (seen.outcome = `threw ${cause.message}`),
  );
  return seen;
}

test("all waiting steps go in one change; each has its own outcome once that is chosen, a denial too", async () => {
  const { register, queue } = sceneOf();
  const all = [only("a"), only("a"), start("b")].map((step) => told(queue.change(step, 1000)));
  await sim.settle();
  expect(register.steps).toHaveLength(1);
  const chosen = register.round(FIRST);
  expect(chosen.evacuations).toEqual(["a", "b"]);
  await sim.settle();
  expect(all.map((item) => item.outcome)).toEqual(["waiting", "waiting", "waiting"]);
  register.end(result.ok(chosen));
  await sim.settle();
  expect(all.map((item) => item.outcome)).toEqual(["a,b", "race", "a,b"]);
});

test("a retry judges anew by the value that it reads, with those that came meanwhile", async () => {
  const { register, queue } = sceneOf();
  const denied = told(queue.change(only("a"), 1000));
  // Accepted somewhere, and never chosen.
  register.round(registerValue.withEvacuation(FIRST, "a", true));
  const late = told(queue.change(start("b"), 1000));
  const chosen = register.round(FIRST);
  register.end(result.ok(chosen));
  await sim.settle();
  expect([denied.outcome, late.outcome]).toEqual(["a,b", "a,b"]);
  expect(register.steps).toHaveLength(1);
});

test("who came after the last round waits for the next change", async () => {
  const { register, queue } = sceneOf();
  const first = told(queue.change(start("a"), 1000));
  const chosen = register.round(FIRST);
  const late = told(queue.change(start("b"), 1000));
  register.end(result.ok(chosen));
  await sim.settle();
  expect([first.outcome, late.outcome]).toEqual(["a", "waiting"]);
  expect(register.steps).toHaveLength(2);
  register.end(result.ok(register.round(chosen)));
  await sim.settle();
  expect(late.outcome).toBe("a,b");
});

test("a step that throws is its own caller's trouble", async () => {
  const { register, queue } = sceneOf();
  const broken = told(
    queue.change(() => {
      throw new Error("broken");
    }, 1000),
  );
  const whole = told(queue.change(start("a"), 1000));
  register.end(result.ok(register.round(FIRST)));
  await sim.settle();
  expect([broken.outcome, whole.outcome]).toEqual(["threw broken", "a"]);
});

test("each caller is answered at its own deadline; a failed change ends those that it began with", async () => {
  const { clock, register, queue } = sceneOf();
  const short = told(queue.change(start("a"), 500));
  const long = told(queue.change(start("b"), 2000));
  await clock.play(501);
  expect([short.outcome, long.outcome]).toEqual(["no_majority", "waiting"]);
  // It was answered: it does not come into a later round.
  expect(register.round(FIRST).evacuations).toEqual(["b"]);
  const late = told(queue.change(start("c"), 2000));
  await clock.play(1500);
  expect(long.outcome).toBe("no_majority");
  register.end(result.err(new errors.NoQuorumError("none", "again")));
  await sim.settle();
  expect([late.outcome, register.steps.length]).toEqual(["waiting", 2]);
});

test("a change of voters is the first and the last of its batch", async () => {
  const { register, queue } = sceneOf();
  const joint: registerStep.Step = (value) => result.ok(registerValue.withVoters(value, value.voters.slice(0, 2)));
  const all = [start("a"), joint, start("b")].map((step) => told(queue.change(step, 1000)));
  const first = register.round(FIRST);
  expect([first.evacuations, first.former]).toEqual([["a"], []]);
  register.end(result.ok(first));
  await sim.settle();
  expect(all.map((item) => item.outcome)).toEqual(["a", "waiting", "waiting"]);
  const second = register.round(first);
  expect([second.evacuations, second.voters.length, second.former.length]).toEqual([["a"], 2, 3]);
  register.end(result.ok(second));
  await sim.settle();
  expect(all.map((item) => item.outcome)).toEqual(["a", "a", "waiting"]);
  expect(register.round(second).evacuations).toEqual(["a", "b"]);
});

test("a batch listens for others, but not while an urgent step waits in it", async () => {
  const { register, queue } = sceneOf();
  void queue.change(start("a"), 1000);
  await sim.settle();
  expect(register.isPatient()).toBe(true);
  void queue.change(start("b"), 1000, true);
  expect(register.isPatient()).toBe(false);
  register.end(result.ok(register.round(FIRST)));
  await sim.settle();
  void queue.change(start("c"), 1000);
  await sim.settle();
  expect(register.isPatient()).toBe(true);
});
