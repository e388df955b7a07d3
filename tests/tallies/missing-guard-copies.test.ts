/** Random histories show it where adds are acknowledged by one disk (design/tallies 2). */
import * as tallyHistories from "../support/tally-histories.js";

test("histories show that a guard is missing: copies", () => tallyHistories.expectGuardIsMissed("copies"));
