/**
 * Runner selection (design 7.4): each candidate costs what the request would wait for there: the prefill backlog, the prefill
 * of its own uncached tokens, the load, another cell. Ties are broken by the affinity of the prompt.
 */
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
/** Costs in milliseconds: of each rank in the order of affinity, of each further cell, of a full load. */
const AFFINITY_RANK_MS = 70;
const AFFINITY_RANKS = 3;
const NEXT_CELL_MS = 100;
const LOAD_WEIGHT_MS = 400;
/** A prefill delays later requests of the runner, too, not only this one. */
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
    const overloaded: ScoredRunner[] = [];
    const suspect: ScoredRunner[] = [];
    const ejected: ScoredRunner[] = [];
    const { isRepeatable } = plan.entry;
    for (const [cellIndex, region] of plan.cells.entries()) {
      const cell = plan.candidates.filter((runner) => runner.region === region);
      const maxLoad = loadBound(cell);
      for (const scored of this.scoreCell(plan, cell, cellIndex)) {
        const health = runnerHealth.assessHealth(scored.runner, plan.now, isRepeatable, plan.requestId);
        if (health === "ejected") ejected.push(scored);
        else if (health === "suspect") suspect.push(scored);
        else if (isOverloaded(scored.runner, maxLoad, plan.now)) overloaded.push(scored);
        else good.push(scored);
      }
    }
    // Spread and not flatMap: this runs for each attempt, and flatMap copies thousands of runners several times slower.
    const ordered = [...good.sort(byCost), ...overloaded.sort(byCost), ...suspect.sort(byCost), ...ejected.sort(byCost)];
    plan.candidates = ordered.map((scored) => scored.runner);
    return null;
  }

  private scoreCell(plan: routePlan.RoutePlan, cell: runnerEndpoint.RunnerEndpoint[], cellIndex: number): ScoredRunner[] {
    const hasPrompt = plan.parts.length > 0;
    const ranks = hasPrompt ? affinityRanks(promptParts.promptKey(plan.sharedParts), cell) : null;
    return cell.map((runner) => {
      let ms =
        runnerHealth.penaltyMs(runner, plan.now, plan.entry.isRepeatable) +
        cellIndex * NEXT_CELL_MS +
        (LOAD_WEIGHT_MS * runner.requestCount()) / runner.instance.capacity;
      if (hasPrompt) {
        const uncachedTokens = this.prefills.uncachedTokens(runner.id, plan.parts, plan.prefixKeys);
        ms +=
          this.prefills.backlogMs(runner.id, plan.now) +
          (PREFILL_WEIGHT * uncachedTokens) / this.prefills.tokensPerMs +
          AFFINITY_RANK_MS * (ranks?.get(runner) ?? AFFINITY_RANKS);
      }
      return { runner, ms };
    });
  }
}

function byCost(left: ScoredRunner, right: ScoredRunner): number {
  return left.ms - right.ms || (left.runner.id < right.runner.id ? -1 : 1);
}

/** No runner gets much more than the mean load of its cell, so that one popular prompt does not fill it. */
function loadBound(cell: readonly runnerEndpoint.RunnerEndpoint[]): number {
  let sum = 0;
  for (const runner of cell) sum += runner.requestCount();
  return MAX_MEAN_LOAD_FACTOR * (sum / Math.max(1, cell.length)) + LOAD_SLACK;
}

function isOverloaded(runner: runnerEndpoint.RunnerEndpoint, bound: number, now: number): boolean {
  const usage = runner.requestCount();
  return usage >= runner.instance.capacity || usage > bound || now < runner.fullUntil || runner.kvUsedFraction > MAX_KV_CACHE_FRACTION;
}

/** The first ranks of the rendezvous order of a key; all other runners are alike. The key is hashed once, not for each runner. */
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
