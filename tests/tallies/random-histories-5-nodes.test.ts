/** Random histories of 5 nodes: callers, cuts, crashes, losses of power and of disks; nothing twice, nothing stale, nothing lost (design/tallies 2 to 6). */
import * as tallyHistories from "../support/tally-histories.js";

test("5 nodes: no history breaks a rule", () => tallyHistories.expectNoFaults(5));
