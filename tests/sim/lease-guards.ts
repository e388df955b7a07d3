/** Owners and tenures of leases with at most one guard broken on purpose. */
import * as leaseOwner from "../../src/limits/lease-owner.js";
import type * as limitShares from "../../src/limits/limit-shares.js";
import * as slotOwnership from "../../src/limits/slot-ownership.js";
import * as simulatedClock from "./simulated-clock.js";

/** A guard that a test may break on purpose, to see the checker fail. */
export type Broken = "none" | "full_bucket" | "no_fence" | "unreported_comes_back";

export class SimTenure extends slotOwnership.SlotOwnership {
  constructor(
    clock: simulatedClock.SimulatedClock,
    private readonly broken: Broken,
  ) {
    super(clock);
  }
  protected override hasMajority(slots: number, isOwnCounted: boolean): boolean {
    return this.broken === "no_fence" || super.hasMajority(slots, isOwnCounted);
  }
}

export class SimOwner extends leaseOwner.LeaseOwner {
  constructor(
    clock: simulatedClock.SimulatedClock,
    life: string,
    bounds: limitShares.Bounds,
    tenure: slotOwnership.SlotOwnership,
    private readonly broken: Broken,
  ) {
    super(clock, life, bounds, tenure);
  }
  protected override earnedSince(): number {
    return this.broken === "full_bucket" ? -1e9 : super.earnedSince();
  }
  protected override unreported(amount: number): number {
    return this.broken === "unreported_comes_back" ? amount : super.unreported(amount);
  }
}
