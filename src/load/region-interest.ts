/** The regions whose load reports a router follows (design/usage 4.1): its own, and those it used lately. */
import * as types from "../wire/types.js";

/** A region counts as used for so long after a request. */
export const RETENTION_MS = 10_000;

/** The regions that one router is interested in. */
export class RegionInterest {
  private readonly lastUsedAt = new Map<string, types.SteadyMs>();

  constructor(
    private readonly clock: types.Clock,
    private readonly ownRegion: string,
  ) {}

  /** A request was sent there, or would have been sent there first. */
  recordUse(region: string): void {
    this.lastUsedAt.set(region, this.clock.now());
  }

  /** The own region, then those used within the retention time; drops the others. */
  regions(): string[] {
    const now = this.clock.now();
    const found = [this.ownRegion];
    for (const [region, at] of this.lastUsedAt) {
      if (now - at >= RETENTION_MS) this.lastUsedAt.delete(region);
      else if (region !== this.ownRegion) found.push(region);
    }
    return found;
  }
}
