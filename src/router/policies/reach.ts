/**
 * A request whose runners all stand in regions out of reach is denied at once, with a time to come back, instead of
 * waiting for one connection after the other (design 7.3). The evidence is this router's own: connections that stayed out
 * since anything of the region was heard. One request in a while goes on and tries; a control node that is heard ends it, too.
 */
import * as verdicts from "../../admission/verdict.js";
import * as log from "../../startup/log.js";
import * as outages from "../../tenants/outage.js";
import type * as types from "../../wire/types.js";
import type * as plans from "../plan.js";
import type * as fleets from "../runners/fleet.js";

/** Pause between two requests that try a region out of reach. */
const TRIAL_MS = 3000;
/** A cut is expected to last as long again as it has lasted; what a client may wait bounds it further. */
const RETURN = { leastMs: 1000, mostMs: 10_000 };

/** Comes after the homes policy, which names the regions. */
export class ReachPolicy implements plans.Policy {
  readonly name = "reach";
  private triedAt = -Infinity;
  private readonly outage: outages.Outage;

  constructor(
    private readonly world: types.World,
    private readonly fleet: Pick<fleets.Fleet, "isOutOfReach">,
  ) {
    this.outage = new outages.Outage(world, RETURN);
  }

  apply(plan: plans.Plan): plans.Rejection | null {
    // What was sent may run: it goes on looking for as long as it has time.
    if (plan.sends > 0 || !plan.cells.every((region) => this.fleet.isOutOfReach(region))) return null;
    const outageMs = this.outage.met();
    if (plan.tried.size === 0 && plan.now - this.triedAt >= TRIAL_MS) {
      this.triedAt = plan.now;
      return null;
    }
    log.count("router.out_of_reach");
    const cause = "all regions that may run this request are out of reach; come back as told";
    return { status: 503, cause, retryAfterS: verdicts.returnS(plan, outageMs, this.world.random()) };
  }
}
