// The longest recent gap of a runner counts, and decays (design/admission 12).
import * as interTokenGaps from "../../src/admission/inter-token-gaps.js";
import * as types from "../../src/wire/types.js";

test("the longest recent gap counts, and half as much after its half-life", () => {
  const made = new interTokenGaps.InterTokenGaps();
  const id: types.RunnerId = types.small("i-1");
  made.recordGap(id, 1, 0);
  made.recordGap(id, 0.2, 10);
  expect([made.isNearLimit(id, 100), made.isNearLimit(id, 600)]).toEqual([true, false]);
  made.retainOnly(new Set<string>());
  expect(made.isNearLimit(id, 0)).toBe(false);
});
