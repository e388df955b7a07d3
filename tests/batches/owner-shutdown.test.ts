/**
 * An owner of batches that shuts down finishes the attempts that it has in flight.
 *
 * Found after routers and control nodes had given up requests in the same way (tests/router/graceful-shutdown.test.ts).
 * Order of events: a control node owns the batches, an item of it runs at a runner and may not run twice; the node gets
 * SIGTERM and ends a moment later, the router cancels the item with the connection that ends, and the next owner has to
 * count it as failed, since it may have run.
 * Cause: the end of the node waited for its vote only, not for its attempts.
 */
import type * as batchAttempt from "../../src/batch/batch-attempt.js";
import * as batchOwner from "../../src/batch/batch-owner.js";
import * as steps from "../../src/batch/steps.js";
import * as tables from "../../src/batch/table.js";
import * as registerValue from "../../src/register/register-value.js";
import * as result from "true-myth/result";
import * as simulatedClock from "../sim/simulated-clock.js";

const PLAIN = { route: "once", count: 1, finishWithinMs: 0, homes: [], reservedBytes: 1, projected: null };

test("an owner that shuts down waits until its attempts are recorded, and begins no others", async () => {
  const clock = new simulatedClock.SimulatedClock();
  let value = registerValue.initialValue(["a:1"]);
  for (const key of ["one", "two"]) {
    const submitted = steps.submit(tables.tableOf(value), { ...PLAIN, key, digest: key, isRepeatable: false });
    value = tables.withTable(value, submitted.unwrapOr(null)!);
  }
  let isLeaving = false;
  const answers: ((answer: batchAttempt.AttemptAnswer) => void)[] = [];
  const recorded: number[] = [];
  const owner = new batchOwner.BatchOwner({
    clock,
    incarnation: "life",
    register: {
      get chosen() {
        return value;
      },
      submitOrder: (step) => {
        const outcome = step(value);
        if (outcome.isOk) value = outcome.value;
        return Promise.resolve(outcome.isOk ? result.ok(value) : result.err(outcome.error));
      },
    },
    replicas: { put: (key) => Promise.resolve(recorded.push(key.item) > 0), find: () => Promise.resolve({ kind: "unknown" }) },
    isConfirmed: () => !isLeaving,
    isConnected: () => true,
    rank: () => 0,
    serviceOf: () => "s",
    capacitiesOf: () => [{ region: "r", slots: 2, used: 0, waiting: 0, prefillTokensPerMs: Infinity }],
    prefillTokensOf: () => 0,
    longestMs: () => 1500,
    send: () => new Promise((resolve) => answers.push(resolve)),
    onAttemptEnded: () => undefined,
  });
  for (let turn = 0; turn < 200 && answers.length === 0; turn += 1) {
    owner.runPeriodically();
    await clock.play(100);
  }
  expect(owner.inFlightCount).toBe(1);
  isLeaving = true;
  let isFinished = false;
  void owner.finishInFlight().then(() => (isFinished = true));
  await clock.play(500);
  expect(isFinished).toBe(false);
  answers[0]({ kind: "answered", answer: { status: 200, contentType: "", seal: "seal", body: Buffer.from("done") } });
  for (let turn = 0; turn < 10; turn += 1) {
    owner.runPeriodically();
    await clock.play(100);
  }
  expect([isFinished, recorded, answers.length]).toEqual([true, [0], 1]);
});
