// Zones in and out of rotation by percentage steps (design 7.5): drain goes down at once in steps well inside
// the bound; failback goes up slowly, since what comes back may be cold.
import * as textHash from "../limits/text-hash.js";
import * as types from "../wire/types.js";

const DRAIN_DURATION_MS = 800;
const DRAIN_STEPS = 4;
const FAILBACK_STEPS = [10, 25, 50, 75];
const FAILBACK_STEP_MS = 500;

type State = "in" | "draining" | "out" | "failback";

interface ZoneState {
  state: State;
  since: number;
}

/** Zones out of use, and those that come back. */
export class ZoneRotation {
  private readonly zones = new Map<string, ZoneState>();
  constructor(private readonly clock: types.Clock) {}

  /** The zones under evacuation as the register has them; the ones just taken back are returned. */
  applyEvacuations(evacuated: readonly string[], isFirst: boolean): string[] {
    const back: string[] = [];
    for (const zone of evacuated) {
      const state = this.zones.get(zone)?.state;
      if (state !== "out" && state !== "draining") this.transition(zone, isFirst ? "out" : "draining");
    }
    for (const [zone, item] of this.zones) {
      if (evacuated.includes(zone) || item.state === "in" || item.state === "failback") continue;
      this.transition(zone, "failback");
      back.push(zone);
    }
    return back;
  }

  private transition(zone: string, state: State): void {
    this.zones.set(zone, { state, since: this.clock.now() });
  }

  percentOf(zone: string): number {
    const item = this.zones.get(zone);
    if (!item || item.state === "in") return 100;
    if (item.state === "out") return 0;
    const passed = this.clock.now() - item.since;
    if (item.state === "draining") {
      const step = Math.floor((passed / DRAIN_DURATION_MS) * DRAIN_STEPS) + 1;
      if (step >= DRAIN_STEPS) this.transition(zone, "out");
      return Math.max(0, 100 - (100 / DRAIN_STEPS) * step);
    }
    const percent = failbackPercent(passed);
    if (percent >= 100) this.transition(zone, "in");
    return percent;
  }

  /** One request keeps its side of the step whatever router and try it comes by. */
  admits(zone: string, requestId: types.RequestId): boolean {
    const percent = this.percentOf(zone);
    return isWithinPercent(percent, requestId);
  }
}

/** How much of its traffic comes back to what has been back for so long. */
export function failbackPercent(passedMs: number): number {
  return FAILBACK_STEPS[Math.floor(passedMs / FAILBACK_STEP_MS)] ?? 100;
}

/** Whether the request is among the first so many in a hundred, by its id. */
export function isWithinPercent(percent: number, requestId: types.RequestId): boolean {
  return percent >= 100 || (percent > 0 && textHash.hashText(requestId) % 100 < percent);
}
