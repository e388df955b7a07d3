// Runner selection within the cells: where the prompt is kept, bounded by real usage (design 7.4). Long
// readings hold up every stream of their runner, so the two kinds prefer runners of their own.
import * as shares from "../../shares/shares.js";
import type * as fleets from "../fleet.js";
import * as plans from "../plan.js";

const SLACK = 4;
const OVER_MEAN = 1.5;
const FULL_MEMORY = 0.92;
/** A prompt of so many tokens is a long reading. */
export const LONG_TOKENS = 2000;
/** The part of a cell's runners that long readings prefer. */
const LONG_SHARE = 0.6;

export class RunnerPolicy implements plans.Policy {
  readonly name = "runner";

  apply(plan: plans.Plan): plans.Denial | null {
    const isKept = plan.shared.length > 0;
    const key = isKept ? plans.keyOf(plan.shared) : "";
    const good: fleets.Runner[] = [];
    const over: fleets.Runner[] = [];
    const doubtful: fleets.Runner[] = [];
    for (const region of plan.cells) {
      const cell = plan.candidates.filter(isHere);
      function isHere(runner: fleets.Runner): boolean {
        return runner.region === region;
      }
      const ranked = isKept ? byKind(byKey(key, cell), plan.tokens >= LONG_TOKENS) : byUsage(cell);
      const bound = boundOf(cell);
      for (const runner of ranked) {
        if (runner.isDoubtful(plan.now)) doubtful.push(runner);
        else if (isOver(runner, bound, plan.now)) over.push(runner);
        else good.push(runner);
      }
    }
    over.sort(byShare);
    doubtful.sort(byShare);
    plan.candidates = [...good, ...over, ...doubtful];
    return null;
  }
}

/** No runner takes much more than its cell's mean, so that one hot key does not fill it. */
function boundOf(cell: readonly fleets.Runner[]): number {
  let sum = 0;
  for (const runner of cell) sum += runner.usage();
  return OVER_MEAN * (sum / Math.max(1, cell.length)) + SLACK;
}

function isOver(runner: fleets.Runner, bound: number, now: number): boolean {
  const usage = runner.usage();
  return usage >= runner.instance.capacity || usage > bound || now < runner.fullUntil || runner.kvShare > FULL_MEMORY;
}

function byKey(key: string, cell: fleets.Runner[]): fleets.Runner[] {
  const scores = new Map<fleets.Runner, number>();
  for (const runner of cell) scores.set(runner, shares.hash(`${key}|${runner.id}`));
  return cell.sort(byScore);
  function byScore(left: fleets.Runner, right: fleets.Runner): number {
    return scores.get(right)! - scores.get(left)!;
  }
}

/** Every router splits a cell alike: by a fixed order of its runners. The other kind's runners come last. */
function byKind(ranked: fleets.Runner[], isLong: boolean): fleets.Runner[] {
  if (ranked.length < 2) return ranked;
  const order = [...ranked].sort(byMark);
  const count = Math.min(ranked.length - 1, Math.max(1, Math.round(ranked.length * LONG_SHARE)));
  const long = new Set(order.slice(0, count));
  return [...ranked.filter(isOwn), ...ranked.filter(isOther)];
  function isOwn(runner: fleets.Runner): boolean {
    return long.has(runner) === isLong;
  }
  function isOther(runner: fleets.Runner): boolean {
    return long.has(runner) !== isLong;
  }
}

function byMark(left: fleets.Runner, right: fleets.Runner): number {
  return left.mark - right.mark;
}

function byUsage(cell: fleets.Runner[]): fleets.Runner[] {
  return cell.sort(byShare);
}

function byShare(left: fleets.Runner, right: fleets.Runner): number {
  return left.usage() / left.instance.capacity - right.usage() / right.instance.capacity || (left.id < right.id ? -1 : 1);
}
