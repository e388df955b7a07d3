// Runner selection (design 7.4): each runner is weighed by what the request would wait for there: readings
// ahead of it, parts of its prompt to read, its batch, the way to another cell. Ties go by the prompt's key.
import * as shares from "../../limits/shares.js";
import type * as runnerEndpoint from "../../runners/runner-endpoint.js";
import * as routePlan from "../../routing/route-plan.js";
import type * as prefillTracker from "../../runners/prefill-tracker.js";
import * as runnerHealth from "../../runners/runner-health.js";

const SLACK = 4;
const OVER_MEAN = 1.5;
const FULL_MEMORY = 0.92;
/** A prompt of so many unread tokens is a long reading; it holds up every stream of its runner. */
export const LONG_TOKENS = 2000;
/** Weights in milliseconds. */
const RANK_MS = 70;
const MAX_RANK = 3;
const NEXT_CELL_MS = 100;
const BATCH_MS = 400;
/** Reading again costs the runner and whoever comes after, not only this request. */
const READ_WEIGHT = 2;

interface Weighed {
  runner: runnerEndpoint.RunnerEndpoint;
  ms: number;
}

/** Orders the candidates by what they would cost the request. */
export class RunnerPolicy implements routePlan.Policy {
  readonly name = "runner";
  constructor(private readonly known: prefillTracker.PrefillTracker) {}

  apply(plan: routePlan.RoutePlan): routePlan.Rejection | null {
    const good: Weighed[] = [];
    const over: Weighed[] = [];
    const suspect: Weighed[] = [];
    const ejected: Weighed[] = [];
    const { isRepeatable } = plan.entry;
    for (const [place, region] of plan.cells.entries()) {
      const cell = plan.candidates.filter(isHere);
      function isHere(runner: runnerEndpoint.RunnerEndpoint): boolean {
        return runner.region === region;
      }
      const bound = boundOf(cell);
      for (const weighed of this.weigh(plan, cell, place)) {
        const standing = runnerHealth.assessHealth(weighed.runner, plan.now, isRepeatable, plan.requestId);
        if (standing === "ejected") ejected.push(weighed);
        else if (standing === "suspect") suspect.push(weighed);
        else if (isOver(weighed.runner, bound, plan.now)) over.push(weighed);
        else good.push(weighed);
      }
    }
    plan.candidates = [...good.sort(byMs), ...over.sort(byMs), ...suspect.sort(byMs), ...ejected.sort(byMs)].map(runnerOf);
    return null;
  }

  private weigh(plan: routePlan.RoutePlan, cell: runnerEndpoint.RunnerEndpoint[], place: number): Weighed[] {
    const { known } = this;
    const hasPrompt = plan.parts.length > 0;
    const ranks = hasPrompt ? firstByKey(routePlan.promptKey(plan.shared), cell) : null;
    return cell.map(weighed);
    function weighed(runner: runnerEndpoint.RunnerEndpoint): Weighed {
      let ms =
        runnerHealth.penaltyMs(runner, plan.now, plan.entry.isRepeatable) +
        place * NEXT_CELL_MS +
        (BATCH_MS * runner.requestCount()) / runner.instance.capacity;
      if (hasPrompt) {
        const unread = known.unread(runner.id, plan.parts, plan.keys);
        ms += known.backlogMs(runner.id, plan.now) + (READ_WEIGHT * unread) / known.rate + RANK_MS * (ranks?.get(runner) ?? MAX_RANK);
      }
      return { runner, ms };
    }
  }
}

function byMs(left: Weighed, right: Weighed): number {
  return left.ms - right.ms || (left.runner.id < right.runner.id ? -1 : 1);
}

function runnerOf(item: Weighed): runnerEndpoint.RunnerEndpoint {
  return item.runner;
}

/** No runner takes much more than its cell's mean, so that one hot key does not fill it. */
function boundOf(cell: readonly runnerEndpoint.RunnerEndpoint[]): number {
  let sum = 0;
  for (const runner of cell) sum += runner.requestCount();
  return OVER_MEAN * (sum / Math.max(1, cell.length)) + SLACK;
}

function isOver(runner: runnerEndpoint.RunnerEndpoint, bound: number, now: number): boolean {
  const usage = runner.requestCount();
  return usage >= runner.instance.capacity || usage > bound || now < runner.fullUntil || runner.kvUsedFraction > FULL_MEMORY;
}

/** The first places of the key's order; all others are alike. The key is hashed once, not for each runner. */
function firstByKey(key: string, cell: readonly runnerEndpoint.RunnerEndpoint[]): ReadonlyMap<runnerEndpoint.RunnerEndpoint, number> {
  const start = shares.begun(`${key}|`);
  const first: runnerEndpoint.RunnerEndpoint[] = [];
  const scores: number[] = [];
  for (const runner of cell) {
    const score = shares.ended(start, runner.id);
    let at = first.length;
    while (at > 0 && score > scores[at - 1]) at -= 1;
    if (at >= MAX_RANK) continue;
    first.splice(at, 0, runner);
    scores.splice(at, 0, score);
    first.length = scores.length = Math.min(first.length, MAX_RANK);
  }
  const ranks = new Map<runnerEndpoint.RunnerEndpoint, number>();
  for (const [rank, runner] of first.entries()) ranks.set(runner, rank);
  return ranks;
}
