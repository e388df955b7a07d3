/**
 * The two outcomes of an admission decision (design/admission 1): admitted, with the runner to attempt first, or
 * rejected with a time to retry after.
 */
import type * as runnerEndpoint from "../runners/runner-endpoint.js";
import type * as routePlan from "../routing/route-plan.js";
import * as log from "../runtime/log.js";

const MIN_RETRY_AFTER_S = 0.2;
/** Clients honour a retry time of up to this part of the time that they have left. */
const MAX_RETRY_FRACTION = 1 / 3;
const MIN_JITTER = 0.6;

/** Admits the request at a runner: it is moved to the front, the others keep their order. */
export function admitAt(plan: routePlan.RoutePlan, runner: runnerEndpoint.RunnerEndpoint): null {
  if (plan.candidates[0] === runner) return null;
  plan.candidates = [runner, ...plan.candidates.filter((candidate) => candidate !== runner)];
  log.count("admission.moved");
  return null;
}

/**
 * Rejects the request until the excess load has been worked off. The retry time is jittered, so that requests
 * rejected together do not return together.
 * @param excessMs by how much the request would miss its deadline or latency target
 * @param random 0 to 1
 */
export function reject(plan: routePlan.RoutePlan, excessMs: number, random: number): routePlan.Rejection {
  const waitMs = Math.min(Math.max(0, plan.deadline - plan.now) * MAX_RETRY_FRACTION, Math.max(MIN_RETRY_AFTER_S * 1000, excessMs));
  const jitter = MIN_JITTER + (1 - MIN_JITTER) * random;
  return {
    status: 503,
    cause: "the fleet has no room for this request in its time; come back as told",
    retryAfterS: (waitMs * jitter) / 1000,
  };
}
