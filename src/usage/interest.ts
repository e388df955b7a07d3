// Which regions' details a router follows (design/usage 4.1): its own, and those it used lately.
import * as types from "../wire/types.js";

/** *ours* */
export const KEPT_MS = 10_000;

export class Interest {
  private readonly usedAt = new Map<string, types.SteadyMs>();

  constructor(
    private readonly world: types.World,
    private readonly ownRegion: string,
  ) {}

  /** A request went there, or would have gone there first. */
  use(region: string): void {
    this.usedAt.set(region, this.world.now());
  }

  regions(): string[] {
    const now = this.world.now();
    const found = [this.ownRegion];
    for (const [region, at] of this.usedAt) {
      if (now - at >= KEPT_MS) this.usedAt.delete(region);
      else if (region !== this.ownRegion) found.push(region);
    }
    return found;
  }

  has(region: string): boolean {
    if (region === this.ownRegion) return true;
    const at = this.usedAt.get(region);
    return at !== undefined && this.world.now() - at < KEPT_MS;
  }
}
