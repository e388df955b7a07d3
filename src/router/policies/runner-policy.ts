// Runner selection (design 7.4): each runner is weighed by what the request would wait for there: readings
// ahead of it, parts of its prompt to read, its batch, the way to another cell. Ties go by the prompt's key.
import * as textHash from "../../limits/text-hash.js";
import type * as runnerEndpoint from "../../runners/runner-endpoint.js";
import type * as routePlan from "../../routing/route-plan.js";
import type * as policyChain from "./policy-chain.js";
import * as promptParts from "../../routing/prompt-parts.js";
import type * as prefillTracker from "../../runners/prefill-tracker.js";
import * as runnerHealth from "../../runners/runner-health.js";

const LOAD_SLACK = 4;
const MAX_MEAN_LOAD_FACTOR = 1.5;
const MAX_KV_CACHE_FRACTION = 0.92;
/** A prompt of so many unread tokens is a long reading; it holds up every stream of its runner. */
export const LONG_TOKENS = 2000;
/** Weights in milliseconds. */
const AFFINITY_RANK_MS = 70;
const AFFINITY_RANKS = 3;
const NEXT_CELL_MS = 100;
const LOAD_WEIGHT_MS = 400;
/** Reading again costs the runner and whoever comes after, not only this request. */
const PREFILL_WEIGHT = 2;

interface ScoredRunner {
  runner: runnerEndpoint.RunnerEndpoint;
  ms: number;
}

/** Orders the candidates by what they would cost the request. */
export class RunnerPolicy implements policyChain.Policy {
  readonly name = "runner";
  constructor(private readonly prefills: prefillTracker.PrefillTracker) {}

  apply(plan: routePlan.RoutePlan): routePlan.Rejection | null {
    const good: ScoredRunner[] = [];
    const over: ScoredRunner[] = [];
    const suspect: ScoredRunner[] = [];
    const ejected: ScoredRunner[] = [];
    const { isRepeatable } = plan.entry;
    for (const [cellIndex, region] of plan.cells.entries()) {
      const cell = plan.candidates.filter(isHere);
      function isHere(runner: runnerEndpoint.RunnerEndpoint): boolean {
        return runner.region === region;
      }
      const bound = loadBound(cell);
      for (const scored of this.scoreCell(plan, cell, cellIndex)) {
        const standing = runnerHealth.assessHealth(scored.runner, plan.now, isRepeatable, plan.requestId);
        if (standing === "ejected") ejected.push(scored);
        else if (standing === "suspect") suspect.push(scored);
        else if (isOverloaded(scored.runner, bound, plan.now)) over.push(scored);
        else good.push(scored);
      }
    }
    plan.candidates = [...good.sort(byMs), ...over.sort(byMs), ...suspect.sort(byMs), ...ejected.sort(byMs)].map(runnerOf);
    return null;
  }

  private scoreCell(plan: routePlan.RoutePlan, cell: runnerEndpoint.RunnerEndpoint[], cellIndex: number): ScoredRunner[] {
    const { prefills: known } = this;
    const hasPrompt = plan.parts.length > 0;
    const ranks = hasPrompt ? affinityRanks(promptParts.promptKey(plan.sharedParts), cell) : null;
    return cell.map(scored);
    function scored(runner: runnerEndpoint.RunnerEndpoint): ScoredRunner {
      let ms =
        runnerHealth.penaltyMs(runner, plan.now, plan.entry.isRepeatable) +
        cellIndex * NEXT_CELL_MS +
        (LOAD_WEIGHT_MS * runner.requestCount()) / runner.instance.capacity;
      if (hasPrompt) {
        const unread = known.uncachedTokens(runner.id, plan.parts, plan.prefixKeys);
        ms +=
          known.backlogMs(runner.id, plan.now) +
          (PREFILL_WEIGHT * unread) / known.tokensPerMs +
          AFFINITY_RANK_MS * (ranks?.get(runner) ?? AFFINITY_RANKS);
      }
      return { runner, ms };
    }
  }
}

function byMs(left: ScoredRunner, right: ScoredRunner): number {
  return left.ms - right.ms || (left.runner.id < right.runner.id ? -1 : 1);
}

function runnerOf(item: ScoredRunner): runnerEndpoint.RunnerEndpoint {
  return item.runner;
}

/** No runner takes much more than its cell's mean, so that one hot key does not fill it. */
function loadBound(cell: readonly runnerEndpoint.RunnerEndpoint[]): number {
  let sum = 0;
  for (const runner of cell) sum += runner.requestCount();
  return MAX_MEAN_LOAD_FACTOR * (sum / Math.max(1, cell.length)) + LOAD_SLACK;
}

function isOverloaded(runner: runnerEndpoint.RunnerEndpoint, bound: number, now: number): boolean {
  const usage = runner.requestCount();
  return usage >= runner.instance.capacity || usage > bound || now < runner.fullUntil || runner.kvUsedFraction > MAX_KV_CACHE_FRACTION;
}

/** The first places of the key's order; all others are alike. The key is hashed once, not for each runner. */
function affinityRanks(key: string, cell: readonly runnerEndpoint.RunnerEndpoint[]): ReadonlyMap<runnerEndpoint.RunnerEndpoint, number> {
  const start = textHash.beginHash(`${key}|`);
  const first: runnerEndpoint.RunnerEndpoint[] = [];
  const scores: number[] = [];
  for (const runner of cell) {
    const score = textHash.finishHash(start, runner.id);
    let at = first.length;
    while (at > 0 && score > scores[at - 1]) at -= 1;
    if (at >= AFFINITY_RANKS) continue;
    first.splice(at, 0, runner);
    scores.splice(at, 0, score);
    first.length = scores.length = Math.min(first.length, AFFINITY_RANKS);
  }
  const ranks = new Map<runnerEndpoint.RunnerEndpoint, number>();
  for (const [rank, runner] of first.entries()) ranks.set(runner, rank);
  return ranks;
}
