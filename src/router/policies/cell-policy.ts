/**
 * Cell selection (design 7.3): by rendezvous hashing of the shared prompt where another prefill is expensive; otherwise in
 * priority order: the router's own region, then the others by size.
 */
import * as textHash from "../../limits/text-hash.js";
import * as loadSummary from "../../load/load-summary.js";
import type * as runnerEndpoint from "../../runners/runner-endpoint.js";
import type * as routePlan from "../../routing/route-plan.js";
import type * as policyChain from "./policy-chain.js";
import * as promptParts from "../../routing/prompt-parts.js";
import * as zoneRotation from "../../runners/zone-rotation.js";

/** From so many shared tokens on, a request goes to the cell that has its prompt cached. */
export const DETERMINISTIC_TOKENS = 1000;
/** A cell with a smaller fraction of good runners is unavailable. */
export const MIN_GOOD_FRACTION = 0.34;

/** A cell that was unavailable for less than this is back at once. */
const SHORT_ABSENCE_MS = 1000;
/** So many of the highest ranked cells are likely to get the request: the router follows their load in detail (design/usage 4.1). */
const RANKED_CELLS = 2;

/** The number of runners of a cell, and of the good ones among them. */
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

/** Maps a hash to a number between 0 and 1, both excluded. */
const HASH_RANGE_PLUS_ONE = 4294967297;

interface CellState {
  isAvailable: boolean;
  since: number;
}

/** The state after a change: only a cell that was unavailable for long comes back by steps. */
function transition(state: CellState, isAvailable: boolean, now: number): CellState {
  if (isAvailable && now - state.since < SHORT_ABSENCE_MS) return { isAvailable, since: -Infinity };
  return { isAvailable, since: now };
}

/** Weighted rendezvous hashing: the keys are distributed by the cells' weights, and a lost cell moves only its own keys. */
export function rankByKey(key: string, weights: ReadonlyMap<string, number>): string[] {
  const scored: [string, number][] = [];
  for (const [name, weight] of weights) {
    const point = (textHash.hashText(`${key}|${name}`) + 1) / HASH_RANGE_PLUS_ONE;
    scored.push([name, -weight / Math.log(point)]);
  }
  scored.sort((left, right) => right[1] - left[1]);
  return scored.map(([name]) => name);
}

/** Orders the cells of a request. */
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
    const available = order.filter((region) => this.isAvailable(plan, counts, region));
    const unavailable = order.filter((region) => !available.includes(region));
    plan.cells = [...available, ...unavailable];
    if (plan.sharedTokens >= DETERMINISTIC_TOKENS)
      for (const region of plan.cells.slice(0, RANKED_CELLS)) this.summaries.requestDetails(region);
    return null;
  }

  /** A cell with too few good runners is unavailable; after a long absence it comes back by percentage steps. */
  private isAvailable(plan: routePlan.RoutePlan, counts: ReadonlyMap<string, CellCount>, region: string): boolean {
    const cell = counts.get(region)!;
    const isGood = cell.good >= cell.all * MIN_GOOD_FRACTION && cell.good > 0;
    const key = `${plan.service}|${region}`;
    const state = this.states.get(key) ?? { isAvailable: true, since: -Infinity };
    if (state.isAvailable !== isGood) this.states.set(key, transition(state, isGood, plan.now));
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
    return [...counts.keys()].sort((left, right) => {
      if ((left === own) !== (right === own)) return left === own ? -1 : 1;
      return counts.get(right)!.all - counts.get(left)!.all || (left < right ? -1 : 1);
    });
  }
}
