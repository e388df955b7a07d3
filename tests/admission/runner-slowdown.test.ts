// Slowdowns rise fast and decay slowly (design/admission 3).
import * as runnerSlowdown from "../../src/admission/runner-slowdown.js";
import * as types from "../../src/wire/types.js";

test("a slowdown rises with one response, or before it when it is overdue, and decays slowly", () => {
  const slow = new runnerSlowdown.RunnerSlowdowns();
  const id: types.RunnerId = types.small("i-1");
  const one = { sentAt: 0, predictedMs: 100 };
  slow.requestSent(id, one);
  expect(slow.slowdownOf(id, 100).first).toBe(1);
  expect(slow.slowdownOf(id, 900).first).toBe(5);
  slow.responseStarted(id, one, 900);
  expect(slow.slowdownOf(id, 900).first).toBeGreaterThan(3);
  expect(slow.slowdownOf(id, 900).stream).toBeGreaterThan(3);
  for (let count = 0; count < 3; count += 1) {
    const next = { sentAt: 1000, predictedMs: 100 };
    slow.requestSent(id, next);
    slow.responseStarted(id, next, 1100);
  }
  expect(slow.slowdownOf(id, 1100).first).toBeGreaterThan(1.5);
});
