// Owners of batches under faults: no item is answered twice, none that must not run twice does, and all end (design/batch 7).
import * as history from "./history.js";

const SEEDS = 60;

test("random histories of owners that crash, freeze and are cut off", async () => {
  const failed: string[] = [];
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    const verdict = await new history.BatchHistory(seed, "none").play();
    if (verdict) failed.push(`seed ${seed}: ${verdict}`);
  }
  expect(failed).toEqual([]);
});

test.each<[history.Guard, RegExp]>([
  ["fence", /ran twice|answered twice|taken back|without a record/],
  ["proof", /ran twice/],
  ["durable_answer", /without a record/],
])(
  "the checker sees that a guard is missing: %s",
  async (guard, expected) => {
    let seen: string | null = null;
    for (let seed = 1; seed <= SEEDS && !seen; seed += 1) {
      const verdict = await new history.BatchHistory(seed, guard).play();
      if (verdict && expected.test(verdict)) seen = verdict;
    }
    expect(seen).toMatch(expected);
  },
  120_000,
);
