/** One owner of all bounds for the routers of a simulated day (design/shares 3, design 11.2). */
import * as registerValue from "../register/register-value.js";
import * as leaseSchema from "../wire/lease-schema.js";
import * as types from "../wire/types.js";
import * as owner from "../limits/owner.js";
import type * as shares from "../limits/shares.js";
import * as tenures from "../limits/tenure.js";

const LIFE = "whatif";
const ADDRESS = "127.0.0.1:9";

/** Grants leases at once, with no link and no voter between. */
export class SoleOwner {
  private readonly owner: owner.LeaseOwner;

  constructor(
    private readonly clock: types.Clock,
    bounds: shares.Bounds,
  ) {
    const tenure = new tenures.Tenure(clock);
    tenure.take(registerValue.initialValue([ADDRESS]), registerValue.initialDisk(ADDRESS));
    this.owner = new owner.LeaseOwner(clock, LIFE, bounds, tenure);
  }

  /** What a router's turn of asking comes to, without a way between. */
  serve(router: string, share: shares.Shares): void {
    const ask: leaseSchema.LeaseAsk = { router, life: LIFE, needs: share.held.needs(), done: share.held.done(LIFE) };
    share.grant(this.owner.reply(ask, types.FIRST_EPOCH), this.clock.now());
  }
}
