/** Random histories of 3 nodes: callers, cuts, crashes, losses of power and of disks; nothing twice, nothing stale, nothing lost (design/tallies 2 to 6). */
import * as tallyHistories from "../support/tally-histories.js";

test("3 nodes: no history breaks a rule", () => tallyHistories.expectNoFaults(3));
