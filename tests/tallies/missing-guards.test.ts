/** The random histories are strict enough: each guard that is taken out shows (design/tallies 2 to 6). */
import type * as tallyGuards from "../support/tally-guards.js";
import * as tallyHistories from "../support/tally-histories.js";

// "copies" takes longer than all others and stands in a file of its own, so that it runs beside them.
test.each<tallyGuards.Guard>(["dedupe", "memory", "life", "sync", "wait_after_loss"])(
  "histories show that a guard is missing: %s",
  (guard) => tallyHistories.expectGuardIsMissed(guard),
);
