/** One owner of all bounds for the routers of a simulated day (design/shares 3, design 11.2). */
import * as registerValue from "../register/register-value.js";
import * as leaseSchema from "../wire/lease-schema.js";
import * as types from "../wire/types.js";
import * as leaseOwner from "../limits/lease-owner.js";
import type * as leasedLimits from "../limits/leased-limits.js";
import type * as limitShares from "../limits/limit-shares.js";
import * as slotOwnership from "../limits/slot-ownership.js";

const INCARNATION = "whatif";
const ADDRESS = "127.0.0.1:9";

/** Grants leases at once, with no link and no voter between. */
export class SimulatedLeaseOwner {
  private readonly owner: leaseOwner.LeaseOwner;

  constructor(
    private readonly clock: types.Clock,
    bounds: limitShares.Bounds,
  ) {
    const tenure = new slotOwnership.SlotOwnership(clock);
    tenure.applyValue(registerValue.initialValue([ADDRESS]), registerValue.initialDisk(ADDRESS));
    this.owner = new leaseOwner.LeaseOwner(clock, INCARNATION, bounds, tenure);
  }

  /** Sends a router's lease request to the owner and applies the reply, both without delay. */
  renewLeases(router: string, limits: leasedLimits.LeasedLimits): void {
    const request: leaseSchema.LeaseRequest = {
      router,
      life: INCARNATION,
      needs: limits.leases.needs(),
      done: limits.leases.takeEnded(INCARNATION),
    };
    limits.grant(this.owner.reply(request, types.FIRST_EPOCH), this.clock.now());
  }
}
