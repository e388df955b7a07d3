/** Random histories with short eras (design/tallies 6): ids are forgotten while callers still repeat their adds. */
import * as tallyGuards from "../support/tally-guards.js";
import * as tallyHistories from "../support/tally-histories.js";
import * as tallyStorm from "../support/tally-storm.js";

test("no history breaks a rule where eras end every four seconds", async () => {
  for (let seed = 1; seed <= tallyHistories.SEEDS; seed += 1) {
    const storm = new tallyStorm.TallyStorm({ seed, nodes: 3 + (seed % 3), repeatsWithinMs: 3000 });
    expect([seed, await tallyGuards.withEras(4000, () => storm.play())]).toEqual([seed, []]);
  }
});
