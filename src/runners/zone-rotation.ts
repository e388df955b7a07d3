/**
 * Zones taken out of rotation and back by percentage steps (design 7.5): an evacuated zone is drained fast, well within the
 * bound; failback is slow, since caches and runners of the zone may have to warm up.
 */
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

/** The zones that are evacuated, or come back; all others are in rotation. */
export class ZoneRotation {
  private readonly zones = new Map<string, ZoneState>();
  constructor(private readonly clock: types.Clock) {}

  /** The evacuated zones of a configuration; `isFirst`: at the start of the router, without a drain. Returns the zones that come back. */
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

  /** The percentage of its traffic that the zone gets now. */
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

  /** Whether the zone may run the request; the same for all attempts of a request at all routers. */
  admits(zone: string, requestId: types.RequestId): boolean {
    return isWithinPercent(this.percentOf(zone), requestId);
  }
}

/** The percentage of its traffic that a zone or cell gets back after so many milliseconds. */
export function failbackPercent(passedMs: number): number {
  return FAILBACK_STEPS[Math.floor(passedMs / FAILBACK_STEP_MS)] ?? 100;
}

/** Whether a request is in this percentage of all, by the hash of its id. */
export function isWithinPercent(percent: number, requestId: types.RequestId): boolean {
  return percent >= 100 || (percent > 0 && textHash.hashText(requestId) % 100 < percent);
}
