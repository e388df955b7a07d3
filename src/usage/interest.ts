// Which regions' details a router follows (design/usage 4.1): its own, and those it used lately.
import * as types from "../wire/types.js";

/** *ours* */
export const RETENTION_MS = 10_000;

export class Interest {
  private readonly lastUsedAt = new Map<string, types.SteadyMs>();

  constructor(
    private readonly world: types.World,
    private readonly ownRegion: string,
  ) {}

  /** A request went there, or would have gone there first. */
  recordUse(region: string): void {
    this.lastUsedAt.set(region, this.world.now());
  }

  regions(): string[] {
    const now = this.world.now();
    const found = [this.ownRegion];
    for (const [region, at] of this.lastUsedAt) {
      if (now - at >= RETENTION_MS) this.lastUsedAt.delete(region);
      else if (region !== this.ownRegion) found.push(region);
    }
    return found;
  }

  has(region: string): boolean {
    if (region === this.ownRegion) return true;
    const at = this.lastUsedAt.get(region);
    return at !== undefined && this.world.now() - at < RETENTION_MS;
  }
}
