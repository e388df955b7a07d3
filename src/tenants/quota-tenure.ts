/**
 * Tenure over a slot of quotas (design/tenants 4.3). Unlike other bounds, quotas are asked for by nearly every request: a
 * change of the number of voters must not pause those that stay. They go on with the least of their old and new parts,
 * until whoever left has certainly stopped; so the sum over all slots is at no time above that of the old ones.
 */
import * as slotOwnership from "../limits/slot-ownership.js";
import type * as types from "../wire/types.js";

/**
 * An owner that is cut off grants on for so long, which is longer than regions usually lose each other; a limit
 * that was lowered meanwhile binds its routers only once they are in touch again. Another owner of the slot waits it out.
 */
export const FENCE_MS = 8000;

interface Former extends slotOwnership.SlotPosition {
  until: types.SteadyMs;
}

/** One for each life of a control node. */
export class QuotaTenure extends slotOwnership.SlotOwnership {
  private former: Former[] = [];
  /** Grows whenever places() may have changed. */
  version = 0;

  protected override keepsSlot(before: slotOwnership.SlotPosition, next: slotOwnership.SlotPosition): boolean {
    const goesOn = before.slot >= 0 && next.slot >= 0;
    if (goesOn && (before.slot !== next.slot || before.slots !== next.slots)) {
      const until = (this.clock.now() + this.terms.fenceMs + this.maxRemainingLeaseMs()) as types.SteadyMs;
      this.former.push({ slot: before.slot, slots: before.slots, until });
    }
    this.version += 1;
    return goesOn;
  }

  /**
   * A former life of this disk had opened the slot in that epoch: whoever held it before had stopped then. So this life
   * opens as soon as units of the former one are over; in the epoch after that one like one that stayed.
   */
  restore(disk: string, epoch: types.Epoch, place: slotOwnership.SlotPosition): void {
    if (disk !== this.disk || this.slot < 0) return;
    if (epoch === this.epoch) this.openEarly();
    else if (epoch + 1 === this.epoch && this.keepsSlot(place, { slot: this.slot, slots: this.slots })) this.openEarly();
  }

  /** Whether a former life may rely on this one: it is open, and nobody's former place binds any more. */
  isSettledIn(): boolean {
    return this.slot >= 0 && this.clock.now() >= this.openAt && this.places().length === 1;
  }

  /** The own place, and former ones that bind as well for now: of all parts the least may be granted. */
  places(): slotOwnership.SlotPosition[] {
    const now = this.clock.now();
    const binding = this.former.filter(({ until }) => until > now);
    if (binding.length !== this.former.length) this.version += 1;
    this.former = binding;
    return [{ slot: this.slot, slots: this.slots }, ...binding];
  }
}
