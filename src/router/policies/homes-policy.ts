// Homes: whatever fails, only runners in the allowed regions, in use and not tried yet, remain (design 7.3).
import type * as runnerFleet from "../../runners/runner-fleet.js";
import type * as routePlan from "../../routing/route-plan.js";
import type * as policyChain from "./policy-chain.js";
import type * as zoneRotation from "../../runners/zone-rotation.js";

const LEAVING_SLACK_MS = 300;

/** A list that names no region allows all. */
function allows(homes: readonly string[], region: string): boolean {
  return homes.length === 0 || homes.includes(region);
}

/** The first policy of the chain. */
export class HomesPolicy implements policyChain.Policy {
  readonly name = "homes";
  constructor(
    private readonly fleet: runnerFleet.RunnerFleet,
    private readonly rotation: zoneRotation.ZoneRotation,
  ) {}

  apply(plan: routePlan.RoutePlan): routePlan.Rejection | null {
    const { homes } = plan.entry;
    const tenantHomes = plan.tenant?.homes ?? [];
    const regions = new Set<string>();
    for (const runner of this.fleet.ofService(plan.service)) {
      if (!allows(homes, runner.region) || !allows(tenantHomes, runner.region)) continue;
      if (runner.status !== "ready" || plan.attemptedRunners.has(runner.id)) continue;
      if (plan.now > runner.shutdownAt - LEAVING_SLACK_MS) continue;
      if (!this.rotation.admits(runner.instance.zone, plan.requestId)) continue;
      plan.candidates.push(runner);
      regions.add(runner.region);
    }
    if (plan.candidates.length === 0) return { status: 503, cause: "no runner of the service is in use in its homes", retryAfterS: 0.4 };
    plan.cells = [...regions];
    return null;
  }
}
