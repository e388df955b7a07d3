// Random histories of the register: a share for every run of the tests; `npm run model` plays many more.
import * as check from "./check.js";

const SEEDS = 60;

test(`the histories of ${SEEDS} seeds are linearizable, and the core decides once the faults have ended`, async function seeds() {
  for (let seed = 1; seed <= SEEDS; seed += 1) expect(await check.checkSeed(seed, "none", false)).toBeNull();
});
