// The choice of a runner by its weight (design 7.4) against a plain reference: whole sorts, and a whole hash for each runner.
import * as chains from "../../src/experiment/chain.js";
import * as measuringClock from "../../src/experiment/measuring-clock.js";
import * as runnerFleet from "../../src/runners/runner-fleet.js";
import type * as runnerEndpoint from "../../src/runners/runner-endpoint.js";
import type * as routePlan from "../../src/routing/route-plan.js";
import * as promptParts from "../../src/routing/prompt-parts.js";
import * as runnerPolicy from "../../src/router/policies/runner-policy.js";
import * as prefillTracker from "../../src/runners/prefill-tracker.js";
import * as textHash from "../../src/limits/text-hash.js";
import * as schema from "../../src/wire/schema.js";
import * as types from "../../src/wire/types.js";

test("a hash in two pieces is the hash of the whole", () => {
  const world = new measuringClock.SeededClock(1);
  for (let turn = 0; turn < 500; turn += 1) {
    const text = `${world.random()}|${world.random()}`.slice(0, Math.floor(world.random() * 40));
    const cut = Math.floor(world.random() * (text.length + 1));
    expect(textHash.finishHash(textHash.beginHash(text.slice(0, cut)), text.slice(cut))).toBe(textHash.hashText(text));
  }
});

/** Milliseconds of a good, speaking runner of a cell, as design 7.4 has them. */
function reference(
  plan: routePlan.RoutePlan,
  cell: runnerEndpoint.RunnerEndpoint[],
  place: number,
  known: prefillTracker.PrefillTracker,
): Map<runnerEndpoint.RunnerEndpoint, number> {
  const key = promptParts.promptKey(plan.sharedParts);
  const ranked = [...cell].sort((left, right) => textHash.hashText(`${key}|${right.id}`) - textHash.hashText(`${key}|${left.id}`));
  const found = new Map<runnerEndpoint.RunnerEndpoint, number>();
  for (const [rank, runner] of ranked.entries()) {
    let ms = place * 100 + (400 * runner.requestCount()) / runner.instance.capacity;
    if (plan.parts.length > 0) {
      const unread = known.uncachedTokens(runner.id, plan.parts, plan.prefixKeys);
      ms += known.backlogMs(runner.id, plan.now) + (2 * unread) / known.tokensPerMs + 70 * Math.min(rank, 3);
    }
    found.set(runner, ms);
  }
  return found;
}

/** The request of a turn: none, a long or a short shared part, and a part of its own. */
function planOf(turn: number, fleet: runnerFleet.RunnerFleet): routePlan.RoutePlan {
  const parts =
    turn % 4 === 0
      ? []
      : [
          { id: `b-${turn % 3}`, tokens: turn % 2 === 0 ? 3000 : 900 },
          { id: `o-${turn}`, tokens: 200 },
        ];
  const cells = [...new Set([...fleet.all()].map((runner) => runner.region))];
  return {
    requestId: types.small(`r-${turn}`),
    entry: chains.ENTRY,
    service: "s",
    parts,
    sharedParts: parts.slice(0, -1),
    sharedTokens: 0,
    prefixKeys: promptParts.prefixKeys(parts),
    attemptedRunners: new Set(),
    now: 1000,
    deadline: 9000,
    requestedTokens: { prompt: 0, maxOutput: 0 },
    rank: 1,
    isBatch: false,
    tenant: null,
    retryKey: 0,
    cells,
    candidates: [...fleet.all()],
  };
}

test.each([1, 2, 3, 4, 5, 6, 7, 8])("the order of runners is that of whole sorts, seed %d", (seed) => {
  const world = new measuringClock.SeededClock(seed);
  const known = new prefillTracker.PrefillTracker();
  const fleet = new runnerFleet.RunnerFleet(world, new Map());
  const listed: schema.Instance[] = [];
  for (let index = 0; index < 1 + seed * 7; index += 1) {
    listed.push({
      id: types.small(`i-${world.random()}`),
      service: "s",
      address: "127.0.0.1:1",
      zone: `z-${index % 3}`,
      capacity: 1000,
      isDraining: false,
      coldMs: 0,
      leavesMs: -1,
    });
  }
  fleet.applySnapshot(listed);
  for (const runner of fleet.all()) {
    // Well under the bound on usage, so that all are in the first group.
    runner.others = Math.floor(world.random() * 4);
    if (world.random() < 0.4)
      known.recordPrefill(
        runner.id,
        world.random() * 9000,
        promptParts.prefixKeys([{ id: `b-${Math.floor(world.random() * 3)}`, tokens: 0 }]),
        1000,
      );
  }
  for (let turn = 0; turn < 40; turn += 1) {
    const plan = planOf(turn, fleet);
    const ms = new Map<runnerEndpoint.RunnerEndpoint, number>();
    for (const [place, region] of plan.cells.entries()) {
      for (const item of reference(
        plan,
        plan.candidates.filter((runner) => runner.region === region),
        place,
        known,
      ))
        ms.set(...item);
    }
    const order = [...ms].sort((left, right) => left[1] - right[1] || (left[0].id < right[0].id ? -1 : 1)).map(([runner]) => runner.id);
    new runnerPolicy.RunnerPolicy(known).apply(plan);
    expect(plan.candidates.map((runner) => runner.id)).toEqual(order);
  }
});
