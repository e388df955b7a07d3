/**
 * Admission of batch items (design/batch 6): an item goes only where a slot is free, no request is queued, no stream is
 * near the limit of its gaps, and most of the cell stays free for other requests. Applies also with the setting
 * `admission` off.
 */
import type * as runnerEndpoint from "../runners/runner-endpoint.js";
import type * as routePlan from "../routing/route-plan.js";
import * as log from "../runtime/log.js";
import type * as cellLeases from "./cell-leases.js";
import type * as interTokenGaps from "./inter-token-gaps.js";
import type * as prediction from "./prediction.js";
import * as cellCapacity from "./cell-capacity.js";
import * as runnerSlowdown from "./runner-slowdown.js";
import * as admissionDecision from "./admission-decision.js";

/** Of a cell's slots, the fraction from which no batch item is admitted; somewhat over what control nodes fill. */
const MAX_USED_FRACTION = 0.8;
/** When the control node may send the item again. */
const RETRY_AFTER_S = 1;

/** What is known of the runners; implemented by `Admission`. */
export interface Knowledge {
  readonly cellLeases: cellLeases.CellLeases;
  readonly interTokenGaps: interTokenGaps.InterTokenGaps;
  predict(
    plan: routePlan.RoutePlan,
    runner: runnerEndpoint.RunnerEndpoint,
    slow: runnerSlowdown.Slowdown,
    waitFactor: number,
  ): prediction.Prediction;
}

function hasSpareCapacity(known: Knowledge, plan: routePlan.RoutePlan, region: string): boolean {
  const runners = plan.candidates.filter((runner) => runner.region === region);
  return cellCapacity.isUsedBelow(known.cellLeases.capacityNow(runners, plan.now), MAX_USED_FRACTION);
}

/** Null admits the item, with its runner moved to the front. */
export function decideBatchItem(known: Knowledge, plan: routePlan.RoutePlan): routePlan.Rejection | null {
  const hasSpareByRegion = new Map<string, boolean>();
  for (const runner of plan.candidates) {
    const { region } = runner;
    if (!hasSpareByRegion.has(region)) hasSpareByRegion.set(region, hasSpareCapacity(known, plan, region));
    if (!hasSpareByRegion.get(region) || runner.isSuspect(plan.now) || known.interTokenGaps.isNearLimit(runner.id, plan.now)) continue;
    const predicted = known.predict(plan, runner, runnerSlowdown.NO_SLOWDOWN, 1);
    if (predicted.hasFreeSlot && !predicted.neverFits && predicted.completionMs <= plan.deadline - plan.now)
      return admissionDecision.admitAt(plan, runner);
  }
  log.count("admission.batch_denied");
  return { status: 503, cause: "there is no room to spare for an item of a batch", retryAfterS: RETRY_AFTER_S };
}
