// Hints of a frame are bounded (design/usage 2.2).
import * as hintBatch from "../../src/hints/hint-batch.js";
import * as hints from "../sim/hints.js";

test("keeps the newest entries within its bound, and counts those dropped", () => {
  const before = hints.counterValue("signs.dropped");
  const batch = new hintBatch.HintBatch();
  for (let index = 0; index < hintBatch.MAX_ENTRIES + 10; index += 1) batch.addPrefill({ runner: index, unread: 1, keys: [] });
  const frame = batch.drain();
  expect([frame.readings.length, frame.readings[0].runner, hints.counterValue("signs.dropped") - before]).toEqual([
    hintBatch.MAX_ENTRIES,
    10,
    10,
  ]);
  expect(batch.isEmpty).toBe(true);
  batch.addPrefill({ runner: 1, unread: 5, keys: [1, 2] });
  batch.addPrefill({ runner: 1, unread: 6, keys: [2, 3] });
  expect(batch.drain().readings).toEqual([{ runner: 1, unread: 11, keys: [1, 2, 3] }]);
});
