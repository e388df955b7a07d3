// Cell selection (design 7.3): deterministic by the key of the kept prompt where reading it again is dear,
// else priority order: the own region, then the others in one fixed order.
import * as textHash from "../../limits/text-hash.js";
import * as loadSummary from "../../load/load-summary.js";
import type * as runnerEndpoint from "../../runners/runner-endpoint.js";
import type * as routePlan from "../../routing/route-plan.js";
import type * as policyChain from "./policy-chain.js";
import * as promptParts from "../../routing/prompt-parts.js";
import * as zoneRotation from "../../runners/zone-rotation.js";

/** From so many shared tokens on, the request goes to the data. */
export const DETERMINISTIC_TOKENS = 1000;
/** A cell with fewer of its runners in good status than this is unavailable. */
export const MIN_GOOD_FRACTION = 0.34;

const SHORT_ABSENCE_MS = 1000;
/** Cells of the key's order that a request may well be sent to (*ours*): these are followed in detail (design/usage 4.1). */
const RANKED_CELLS = 2;

/** Runners of a cell, and those in good status. */
export interface CellCount {
  all: number;
  good: number;
}

/** Counts the candidates by region. */
export function countCells(candidates: readonly runnerEndpoint.RunnerEndpoint[], now: number): Map<string, CellCount> {
  const cells = new Map<string, CellCount>();
  for (const runner of candidates) {
    const cell = cells.get(runner.region) ?? { all: 0, good: 0 };
    cell.all += 1;
    if (!runner.isSuspect(now)) cell.good += 1;
    cells.set(runner.region, cell);
  }
  return cells;
}

interface CellState {
  isIn: boolean;
  since: number;
}

/** A short doubt is no absence: only who was away for longer comes back by steps. */
function transition(state: CellState, isIn: boolean, now: number): CellState {
  if (isIn && now - state.since < SHORT_ABSENCE_MS) return { isIn, since: -Infinity };
  return { isIn, since: now };
}

/** Weighted rendezvous: each cell's share of keys follows its runners, and a lost cell moves only its own keys. */
export function rankByKey(key: string, weights: ReadonlyMap<string, number>): string[] {
  const scored: [string, number][] = [];
  for (const [name, weight] of weights) {
    const point = (textHash.hashText(`${key}|${name}`) + 1) / 4294967297;
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

/** Orders the regions of a request. */
export class CellPolicy implements policyChain.Policy {
  readonly name = "cells";
  private readonly states = new Map<string, CellState>();
  constructor(
    private readonly ownRegion: string,
    private readonly summaries = new loadSummary.LoadSummaries(),
  ) {}

  apply(plan: routePlan.RoutePlan): routePlan.Rejection | null {
    const counts = countCells(plan.candidates, plan.now);
    for (const [region, cell] of counts) {
      const summary = this.summaries.summaryOf(region, plan.service);
      if (summary) cell.good = Math.min(cell.good, Math.round((cell.all * summary.good) / Math.max(1, summary.total)));
    }
    const order = plan.sharedTokens >= DETERMINISTIC_TOKENS ? this.byKey(plan, counts) : this.byPriority(counts);
    const available = order.filter(this.isAvailable.bind(this, plan, counts));
    const rest = order.filter(isRest);
    function isRest(region: string): boolean {
      return !available.includes(region);
    }
    plan.cells = [...available, ...rest];
    if (plan.sharedTokens >= DETERMINISTIC_TOKENS)
      for (const region of plan.cells.slice(0, RANKED_CELLS)) this.summaries.requestDetails(region);
    return null;
  }

  /** Past the threshold a cell is unavailable; after a while away it comes back by percentage steps. */
  private isAvailable(plan: routePlan.RoutePlan, counts: ReadonlyMap<string, CellCount>, region: string): boolean {
    const cell = counts.get(region)!;
    const isGood = cell.good >= cell.all * MIN_GOOD_FRACTION && cell.good > 0;
    const key = `${plan.service}|${region}`;
    const state = this.states.get(key) ?? { isIn: true, since: -Infinity };
    if (state.isIn !== isGood) this.states.set(key, transition(state, isGood, plan.now));
    const { since } = this.states.get(key) ?? state;
    return isGood && zoneRotation.isWithinPercent(zoneRotation.failbackPercent(plan.now - since), plan.requestId);
  }

  private byKey(plan: routePlan.RoutePlan, counts: ReadonlyMap<string, CellCount>): string[] {
    const weights = new Map<string, number>();
    for (const [region, cell] of counts) weights.set(region, cell.all);
    return rankByKey(promptParts.promptKey(plan.sharedParts), weights);
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
