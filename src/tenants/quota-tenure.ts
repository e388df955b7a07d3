/**
 * Tenure over a slot of quotas (design/tenants 4.3). Unlike other bounds, quotas are asked for by nearly every request: a
 * change of the number of voters must not pause those that stay. They go on with the least of their old and new parts,
 * until whoever left has certainly stopped; so the sum over all slots is at no time above that of the old ones.
 */
import * as tenures from "../shares/tenure.js";
import type * as types from "../wire/types.js";

interface Former extends tenures.Place {
  until: types.SteadyMs;
}

/** One for each life of a control node. */
export class QuotaTenure extends tenures.Tenure {
  private former: Former[] = [];
  /** Grows whenever places() may have changed. */
  version = 0;

  constructor(
    world: types.World,
    private readonly quotaTerms: tenures.Terms,
  ) {
    super(world, quotaTerms);
  }

  protected override isKept(before: tenures.Place, next: tenures.Place): boolean {
    const isKept = before.slot >= 0 && next.slot >= 0;
    if (isKept && (before.slot !== next.slot || before.slots !== next.slots)) {
      const until = (this.world.now() + this.quotaTerms.fenceMs + this.restMs()) as types.SteadyMs;
      this.former.push({ slot: before.slot, slots: before.slots, until });
    }
    this.version += 1;
    return isKept;
  }

  /** The own place, and former ones that bind as well for now: of all parts the least may be granted. */
  places(): tenures.Place[] {
    const now = this.world.now();
    const binding = this.former.filter(({ until }) => until > now);
    if (binding.length !== this.former.length) this.version += 1;
    this.former = binding;
    return [{ slot: this.slot, slots: this.slots }, ...binding];
  }
}
