/** Which requests a draining router still takes (design 7.11). */
import type * as types from "../wire/types.js";

/** All of them until `acceptUntil`, then those that must end before `exitAt`; both in milliseconds of the steady clock. */
export class DrainAcceptance {
  constructor(
    private readonly clock: types.Clock,
    private readonly acceptUntil: number,
    private readonly exitAt: number,
  ) {}

  /** `deadline`: of the request, in milliseconds of the steady clock. After it nothing is owed to its client. */
  accepts(deadline: number): boolean {
    return this.clock.now() < this.acceptUntil || deadline <= this.exitAt;
  }
}
