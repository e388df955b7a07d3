// Cell selection (design 7.3): deterministic by the key of the kept prompt where reading it again is dear,
// else priority order: the own region, then the others in one fixed order.
import * as shares from "../../shares/shares.js";
import type * as fleets from "../fleet.js";
import * as plans from "../plan.js";

/** From so many shared tokens on, the request goes to the data. */
export const DETERMINISTIC_TOKENS = 1000;
/** A cell with fewer of its runners in good status than this is unavailable. */
export const THRESHOLD = 0.34;

export interface CellCount {
  all: number;
  good: number;
}

export function countCells(candidates: readonly fleets.Runner[], now: number): Map<string, CellCount> {
  const cells = new Map<string, CellCount>();
  for (const runner of candidates) {
    const cell = cells.get(runner.region) ?? { all: 0, good: 0 };
    cell.all += 1;
    if (!runner.isDoubtful(now)) cell.good += 1;
    cells.set(runner.region, cell);
  }
  return cells;
}

/** Weighted rendezvous: each cell's share of keys follows its runners, and a lost cell moves only its own keys. */
export function rankByKey(key: string, weights: ReadonlyMap<string, number>): string[] {
  const scored: [string, number][] = [];
  for (const [name, weight] of weights) {
    const point = (shares.hash(`${key}|${name}`) + 1) / 4294967297;
    scored.push([name, -weight / Math.log(point)]);
  }
  scored.sort(byScore);
  return scored.map(nameOf);
}

function byScore(left: [string, number], right: [string, number]): number {
  return right[1] - left[1];
}

function nameOf(item: [string, number]): string {
  return item[0];
}

export class CellPolicy implements plans.Policy {
  readonly name = "cells";
  constructor(private readonly ownRegion: string) {}

  apply(plan: plans.Plan): plans.Denial | null {
    const counts = countCells(plan.candidates, plan.now);
    const order = plan.sharedTokens >= DETERMINISTIC_TOKENS ? this.byKey(plan, counts) : this.byPriority(counts);
    const available = order.filter(isAvailable);
    function isAvailable(region: string): boolean {
      const cell = counts.get(region)!;
      return cell.good >= cell.all * THRESHOLD && cell.good > 0;
    }
    const rest = order.filter(isRest);
    function isRest(region: string): boolean {
      return !available.includes(region);
    }
    plan.cells = [...available, ...rest];
    return null;
  }

  private byKey(plan: plans.Plan, counts: ReadonlyMap<string, CellCount>): string[] {
    const weights = new Map<string, number>();
    for (const [region, cell] of counts) weights.set(region, cell.all);
    return rankByKey(plans.keyOf(plan.shared), weights);
  }

  private byPriority(counts: ReadonlyMap<string, CellCount>): string[] {
    const own = this.ownRegion;
    return [...counts.keys()].sort(byRank);
    function byRank(left: string, right: string): number {
      if ((left === own) !== (right === own)) return left === own ? -1 : 1;
      return counts.get(right)!.all - counts.get(left)!.all || (left < right ? -1 : 1);
    }
  }
}
