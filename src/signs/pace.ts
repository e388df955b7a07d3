// At most one frame a period: the first after a quiet while goes at once, what comes meanwhile goes together
// at the end of the period (design/usage 2.2).
import * as types from "../wire/types.js";

/** *ours* */
export const PERIOD_MS = 60;

export class Pace {
  private lastAt = -Infinity;
  private tick: types.Tick | null = null;

  constructor(
    private readonly world: types.World,
    private readonly run: () => void,
    private readonly periodMs = PERIOD_MS,
  ) {}

  ask(): void {
    if (this.tick) return;
    const wait = this.lastAt + this.periodMs - this.world.now();
    if (wait <= 0) this.go();
    else this.tick = this.world.after(wait, this.go.bind(this));
  }

  private go(): void {
    this.tick = null;
    this.lastAt = this.world.now();
    this.run();
  }

  stop(): void {
    this.tick?.stop();
    this.tick = null;
  }
}
