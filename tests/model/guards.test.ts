// Each guard of the register taken out: the model must see it missing, in a history that passes with the guard in place.
import * as check from "./check.js";
import type * as mutations from "./mutations.js";

/** Seeds tried from the one given; after a change of the sources another of them may be the first to show it. */
const MAX_SEEDS = 400;

test.each<[mutations.Guard, number]>([
  ["settle_unchosen", 1101],
  ["empty_joiner_blocks", 42],
  ["forget_promise", 4],
  ["wipe_keeps_identity", 352],
  ["any_quorum", 1],
  ["short_write_counts", 510],
  ["forget_orders", 1],
])(
  "random histories show that a guard is missing: %s",
  async function guard(missing, from) {
    let isSeen = false;
    for (let seed = from; seed < from + MAX_SEEDS && !isSeen; seed += 1) isSeen = await check.isSeen(seed, missing);
    expect(isSeen).toBe(true);
  },
  120_000,
);
