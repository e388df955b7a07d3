/**
 * Whether there is room to spare for an item of a batch (design/batch 6): it goes only where a place is free, nobody
 * waits, no stream is held up, and most of the cell stays free for others. Also with the setting `admission` off.
 */
import type * as runnerEndpoint from "../runners/runner-endpoint.js";
import type * as routePlan from "../routing/route-plan.js";
import * as log from "../runtime/log.js";
import type * as cellLeases from "./cell-leases.js";
import type * as interTokenGaps from "./inter-token-gaps.js";
import type * as prediction from "./prediction.js";
import type * as cellCapacity from "./cell-capacity.js";
import * as runnerSlowdown from "./runner-slowdown.js";
import * as admissionDecision from "./admission-decision.js";

/** A cell with more of its places taken has none to spare; somewhat over what control nodes fill it to (*ours*). */
const FULL_SHARE = 0.8;
/** When the control node may try again. */
const RETRY_S = 1;

/** What is known of the runners; the router's `Admission` is it. */
export interface Knowledge {
  readonly cells: cellLeases.CellLeases;
  readonly interTokenGaps: interTokenGaps.InterTokenGaps;
  predict(
    plan: routePlan.RoutePlan,
    runner: runnerEndpoint.RunnerEndpoint,
    slow: runnerSlowdown.Slowdown,
    waitFactor: number,
  ): prediction.Prediction;
}

/** Null lets the item in, its runner put first. */
export function decideBatchItem(known: Knowledge, plan: routePlan.RoutePlan): routePlan.Rejection | null {
  const rooms = new Map<string, boolean>();
  for (const runner of plan.candidates) {
    if (!rooms.has(runner.region)) rooms.set(runner.region, hasRoom(known, plan, runner.region));
    if (!rooms.get(runner.region) || runner.isSuspect(plan.now) || known.interTokenGaps.isNearLimit(runner.id, plan.now)) continue;
    const predicted = known.predict(plan, runner, runnerSlowdown.NO_SLOWDOWN, 1);
    if (predicted.hasFreeSlot && !predicted.neverFits && predicted.completionMs <= plan.deadline - plan.now)
      return admissionDecision.admitAt(plan, runner);
  }
  log.count("admission.batch_denied");
  return { status: 503, cause: "there is no room to spare for an item of a batch", retryAfterS: RETRY_S };
}

function hasRoom(known: Knowledge, plan: routePlan.RoutePlan, region: string): boolean {
  const room: cellCapacity.CellCapacity = known.cells.capacityNow(
    plan.candidates.filter((runner) => runner.region === region),
    plan.now,
  );
  return room.waiting === 0 && room.places - room.freePlaces < FULL_SHARE * room.places;
}
