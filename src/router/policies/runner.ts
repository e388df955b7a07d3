// Runner selection (design 7.4): each runner is weighed by what the request would wait for there: readings
// ahead of it, parts of its prompt to read, its batch, the way to another cell. Ties go by the prompt's key.
import * as shares from "../../shares/shares.js";
import type * as fleets from "../fleet.js";
import * as plans from "../plan.js";
import type * as readings from "../readings.js";
import * as standings from "../standing.js";

const SLACK = 4;
const OVER_MEAN = 1.5;
const FULL_MEMORY = 0.92;
/** A prompt of so many unread tokens is a long reading; it holds up every stream of its runner. */
export const LONG_TOKENS = 2000;
/** The part of a cell's runners that long readings prefer; short requests prefer the others. */
const LONG_SHARE = 0.6;
/** Weights in milliseconds. */
const OTHER_KIND_MS = 120;
const RANK_MS = 25;
const MOST_RANK = 3;
const NEXT_CELL_MS = 100;
const BATCH_MS = 400;
/** Reading again costs the runner and whoever comes after, not only this request. */
const READ_WEIGHT = 2;

interface Weighed {
  runner: fleets.Runner;
  ms: number;
}

export class RunnerPolicy implements plans.Policy {
  readonly name = "runner";
  constructor(private readonly known: readings.Readings) {}

  apply(plan: plans.Plan): plans.Denial | null {
    const good: Weighed[] = [];
    const over: Weighed[] = [];
    const doubtful: Weighed[] = [];
    const ejected: Weighed[] = [];
    const { isRepeatable } = plan.entry;
    for (const [place, region] of plan.cells.entries()) {
      const cell = plan.candidates.filter(isHere);
      function isHere(runner: fleets.Runner): boolean {
        return runner.region === region;
      }
      const bound = boundOf(cell);
      for (const weighed of this.weigh(plan, cell, place)) {
        const standing = standings.standingOf(weighed.runner, plan.now, isRepeatable, plan.requestId);
        if (standing === "ejected") ejected.push(weighed);
        else if (standing === "doubtful") doubtful.push(weighed);
        else if (isOver(weighed.runner, bound, plan.now)) over.push(weighed);
        else good.push(weighed);
      }
    }
    plan.candidates = [...good.sort(byMs), ...over.sort(byMs), ...doubtful.sort(byMs), ...ejected.sort(byMs)].map(runnerOf);
    return null;
  }

  private weigh(plan: plans.Plan, cell: fleets.Runner[], place: number): Weighed[] {
    const { known } = this;
    const hasPrompt = plan.parts.length > 0;
    const ranked = hasPrompt ? byKey(plans.keyOf(plan.shared), cell) : cell;
    const long = hasPrompt ? longRunners(cell) : null;
    return ranked.map(weighed);
    function weighed(runner: fleets.Runner, rank: number): Weighed {
      let ms = standings.penaltyMs(runner, plan.now, plan.entry.isRepeatable) + place * NEXT_CELL_MS + (BATCH_MS * runner.usage()) / runner.instance.capacity;
      if (hasPrompt) {
        const unread = known.unread(runner.id, plan.parts, plan.keys);
        ms += known.backlogMs(runner.id, plan.now) + (READ_WEIGHT * unread) / known.rate + RANK_MS * Math.min(rank, MOST_RANK);
        if (long && long.has(runner) !== unread >= LONG_TOKENS) ms += OTHER_KIND_MS;
      }
      return { runner, ms };
    }
  }
}

function byMs(left: Weighed, right: Weighed): number {
  return left.ms - right.ms || (left.runner.id < right.runner.id ? -1 : 1);
}

function runnerOf(item: Weighed): fleets.Runner {
  return item.runner;
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

function byKey(key: string, cell: readonly fleets.Runner[]): fleets.Runner[] {
  const scores = new Map<fleets.Runner, number>();
  for (const runner of cell) scores.set(runner, shares.hash(`${key}|${runner.id}`));
  return [...cell].sort(byScore);
  function byScore(left: fleets.Runner, right: fleets.Runner): number {
    return scores.get(right)! - scores.get(left)!;
  }
}

/** Every router splits a cell alike, by a fixed order of its runners; a cell of one is not split. */
function longRunners(cell: readonly fleets.Runner[]): ReadonlySet<fleets.Runner> | null {
  if (cell.length < 2) return null;
  const count = Math.min(cell.length - 1, Math.max(1, Math.round(cell.length * LONG_SHARE)));
  return new Set([...cell].sort(byMark).slice(0, count));
}

function byMark(left: fleets.Runner, right: fleets.Runner): number {
  return left.mark - right.mark;
}
