/** The chain of routing policies, in a fixed order with one interface (design 7.2). */
import type * as routePlan from "../../routing/route-plan.js";

/** One link of the chain. It changes the plan in place. */
export interface Policy {
  readonly name: string;
  /** Narrows or orders the plan's cells and candidates; returns a rejection to end the chain. */
  apply(plan: routePlan.RoutePlan): routePlan.Rejection | null;
}

/** Applies the policies in order, up to the first that rejects the request; null: the plan's candidates are in order of preference. */
export function runPolicies(policies: readonly Policy[], plan: routePlan.RoutePlan): routePlan.Rejection | null {
  for (const policy of policies) {
    const rejection = policy.apply(plan);
    if (rejection) return rejection;
  }
  return null;
}
