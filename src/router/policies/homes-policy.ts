/** Homes (design 7.3): whatever fails, only runners in the allowed regions remain, and of these the ones that are in use and not attempted yet. */
import type * as runnerFleet from "../../runners/runner-fleet.js";
import type * as routePlan from "../../routing/route-plan.js";
import type * as policyChain from "./policy-chain.js";
import type * as zoneRotation from "../../runners/zone-rotation.js";

/** No request is sent to a runner that shuts down so soon. */
const SHUTDOWN_SLACK_MS = 300;

/** An empty list allows all regions. */
function allows(homes: readonly string[], region: string): boolean {
  return homes.length === 0 || homes.includes(region);
}

/** The first policy of the chain: collects the candidates. */
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
      if (plan.now > runner.shutdownAt - SHUTDOWN_SLACK_MS) continue;
      if (!this.rotation.admits(runner.instance.zone, plan.requestId)) continue;
      plan.candidates.push(runner);
      regions.add(runner.region);
    }
    if (plan.candidates.length === 0) return { status: 503, cause: "no runner of the service is in use in its homes", retryAfterS: 0.4 };
    plan.cells = [...regions];
    return null;
  }
}
