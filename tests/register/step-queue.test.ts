// The queue of steps in front of the proposer (design/hardening/2-orders): outcomes, retries, deadlines.
import * as result from "true-myth/result";
import * as stepQueue from "../../src/register/step-queue.js";
import type * as registerStep from "../../src/register/register-step.js";
import * as registerValue from "../../src/register/register-value.js";
import * as errors from "../../src/runtime/errors.js";
import * as schema from "../../src/wire/schema.js";
import * as simulatedClock from "../sim/simulated-clock.js";

const FIRST = registerValue.initialValue(["a:1", "b:1", "c:1"]);

/** In place of the proposer: a test decides which value is read and when the outcome is known. */
class ProposerStub {
  readonly steps: registerStep.Step[] = [];
  private readonly ends: ((outcome: registerStep.Outcome) => void)[] = [];
  isPatient = (): boolean => false;
  propose(step: registerStep.Step, _timeoutMs: number, isPatient: () => boolean): Promise<registerStep.Outcome> {
    this.steps.push(step);
    this.isPatient = isPatient;
    return new Promise((resolve) => this.ends.push(resolve));
  }
  /** One ballot of the newest change: the value that it would propose. */
  runBallot(read: schema.Value): schema.Value {
    return this.steps[this.steps.length - 1](read).unwrapOr(FIRST);
  }
  end(outcome: registerStep.Outcome): void {
    this.ends[this.ends.length - 1](outcome);
  }
}

function setUp(): { clock: simulatedClock.SimulatedClock; proposer: ProposerStub; queue: stepQueue.StepQueue } {
  const clock = new simulatedClock.SimulatedClock(1);
  const proposer = new ProposerStub();
  return { clock, proposer, queue: new stepQueue.StepQueue(clock, proposer.propose.bind(proposer)) };
}

function startEvacuation(zone: string): registerStep.Step {
  return (value) => result.ok(registerValue.withEvacuation(value, zone, true));
}

/** Rejects where the zone is evacuated already. */
function startEvacuationOnce(zone: string): registerStep.Step {
  return (value) =>
    value.evacuations.includes(zone)
      ? result.err(new errors.RevisionConflictError(`${zone} is evacuated`, "read again"))
      : result.ok(registerValue.withEvacuation(value, zone, true));
}

/** The outcome so far, as text. */
function observe(promise: Promise<registerStep.Outcome>): { outcome: string } {
  const seen = { outcome: "pending" };
  void promise.then(
    (outcome) => (seen.outcome = outcome.isOk ? outcome.value.evacuations.join() : outcome.error.code),
    (cause: Error) => (seen.outcome = `threw ${cause.message}`),
  );
  return seen;
}

describe("step queue", () => {
  test("all pending steps go in one change; each has its own outcome once that is chosen, a rejection too", async () => {
    const { proposer, queue } = setUp();
    const all = [startEvacuationOnce("a"), startEvacuationOnce("a"), startEvacuation("b")].map((step) => observe(queue.change(step, 1000)));
    await simulatedClock.settle();
    expect(proposer.steps).toHaveLength(1);
    const chosen = proposer.runBallot(FIRST);
    expect(chosen.evacuations).toEqual(["a", "b"]);
    await simulatedClock.settle();
    expect(all.map((item) => item.outcome)).toEqual(["pending", "pending", "pending"]);
    proposer.end(result.ok(chosen));
    await simulatedClock.settle();
    expect(all.map((item) => item.outcome)).toEqual(["a,b", "race", "a,b"]);
  });

  test("a retry applies all steps again to the value that it reads, with those added meanwhile", async () => {
    const { proposer, queue } = setUp();
    const rejected = observe(queue.change(startEvacuationOnce("a"), 1000));
    // Accepted somewhere, and never chosen.
    proposer.runBallot(registerValue.withEvacuation(FIRST, "a", true));
    const late = observe(queue.change(startEvacuation("b"), 1000));
    const chosen = proposer.runBallot(FIRST);
    proposer.end(result.ok(chosen));
    await simulatedClock.settle();
    expect([rejected.outcome, late.outcome]).toEqual(["a,b", "a,b"]);
    expect(proposer.steps).toHaveLength(1);
  });

  test("a step added after the last ballot waits for the next change", async () => {
    const { proposer, queue } = setUp();
    const first = observe(queue.change(startEvacuation("a"), 1000));
    const chosen = proposer.runBallot(FIRST);
    const late = observe(queue.change(startEvacuation("b"), 1000));
    proposer.end(result.ok(chosen));
    await simulatedClock.settle();
    expect([first.outcome, late.outcome]).toEqual(["a", "pending"]);
    expect(proposer.steps).toHaveLength(2);
    proposer.end(result.ok(proposer.runBallot(chosen)));
    await simulatedClock.settle();
    expect(late.outcome).toBe("a,b");
  });

  test("a step that throws rejects its own caller's promise alone", async () => {
    const { proposer, queue } = setUp();
    const broken = observe(
      queue.change(() => {
        throw new Error("broken");
      }, 1000),
    );
    const other = observe(queue.change(startEvacuation("a"), 1000));
    proposer.end(result.ok(proposer.runBallot(FIRST)));
    await simulatedClock.settle();
    expect([broken.outcome, other.outcome]).toEqual(["threw broken", "a"]);
  });

  test("each caller is answered at its own deadline; a failed change ends the steps that it began with", async () => {
    const { clock, proposer, queue } = setUp();
    const short = observe(queue.change(startEvacuation("a"), 500));
    const long = observe(queue.change(startEvacuation("b"), 2000));
    await clock.play(501);
    expect([short.outcome, long.outcome]).toEqual(["no_majority", "pending"]);
    // It was answered, so no later ballot contains it.
    expect(proposer.runBallot(FIRST).evacuations).toEqual(["b"]);
    const late = observe(queue.change(startEvacuation("c"), 2000));
    await clock.play(1500);
    expect(long.outcome).toBe("no_majority");
    proposer.end(result.err(new errors.NoQuorumError("none", "again")));
    await simulatedClock.settle();
    expect([late.outcome, proposer.steps.length]).toEqual(["pending", 2]);
  });

  test("a change of voters is the first and the last of its batch", async () => {
    const { proposer, queue } = setUp();
    const joint: registerStep.Step = (value) => result.ok(registerValue.withVoters(value, value.voters.slice(0, 2)));
    const all = [startEvacuation("a"), joint, startEvacuation("b")].map((step) => observe(queue.change(step, 1000)));
    const first = proposer.runBallot(FIRST);
    expect([first.evacuations, first.former]).toEqual([["a"], []]);
    proposer.end(result.ok(first));
    await simulatedClock.settle();
    expect(all.map((item) => item.outcome)).toEqual(["a", "pending", "pending"]);
    const second = proposer.runBallot(first);
    expect([second.evacuations, second.voters.length, second.former.length]).toEqual([["a"], 2, 3]);
    proposer.end(result.ok(second));
    await simulatedClock.settle();
    expect(all.map((item) => item.outcome)).toEqual(["a", "a", "pending"]);
    expect(proposer.runBallot(second).evacuations).toEqual(["a", "b"]);
  });

  test("a change waits for other proposers, but not while an urgent step is pending", async () => {
    const { proposer, queue } = setUp();
    void queue.change(startEvacuation("a"), 1000);
    await simulatedClock.settle();
    expect(proposer.isPatient()).toBe(true);
    void queue.change(startEvacuation("b"), 1000, true);
    expect(proposer.isPatient()).toBe(false);
    proposer.end(result.ok(proposer.runBallot(FIRST)));
    await simulatedClock.settle();
    void queue.change(startEvacuation("c"), 1000);
    await simulatedClock.settle();
    expect(proposer.isPatient()).toBe(true);
  });
});
