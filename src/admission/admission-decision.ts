/** The two ends of a judgment (design/admission 1): in, at that runner first, or denied with a time to come back. */
import type * as runnerEndpoint from "../runners/runner-endpoint.js";
import type * as routePlan from "../routing/route-plan.js";
import * as log from "../runtime/log.js";

const MIN_RETRY_S = 0.2;
/** Clients honour up to this part of the time they have left. */
const HONOURED_SHARE = 1 / 3;
const MIN_JITTER = 0.6;

/** The policy of the runner keeps its order, but for the one that serves in time. */
export function admitAt(plan: routePlan.RoutePlan, runner: runnerEndpoint.RunnerEndpoint): null {
  if (plan.candidates[0] === runner) return null;
  plan.candidates = [runner, ...plan.candidates.filter(isOther)];
  log.count("admission.moved");
  return null;
  function isOther(item: runnerEndpoint.RunnerEndpoint): boolean {
    return item !== runner;
  }
}

/**
 * It fits once the excess has been worked off; chance (`random`, 0 to 1) keeps those denied together from returning
 * together.
 */
export function reject(plan: routePlan.RoutePlan, excessMs: number, random: number): routePlan.Rejection {
  const waitMs = Math.min(Math.max(0, plan.deadline - plan.now) * HONOURED_SHARE, Math.max(MIN_RETRY_S * 1000, excessMs));
  const jitter = MIN_JITTER + (1 - MIN_JITTER) * random;
  return {
    status: 503,
    cause: "the fleet has no room for this request in its time; come back as told",
    retryAfterS: (waitMs * jitter) / 1000,
  };
}
