/** Cells of a batch day (design/batch 12): interactive requests as counts, a second at a time. */
import * as loads from "../forecast/loads.js";
import type * as types from "../wire/types.js";
import type * as batchScenario from "./batch-scenario.js";

const SECOND_MS = 1000;
const DAY_HOURS = 24;
/** Autocorrelation of the load's random deviation from one second to the next: it lasts for about an hour. */
const DEVIATION_AUTOCORRELATION = 0.9995;

/** A draw of the standard normal distribution (Box and Muller). */
export function normal(clock: types.Clock): number {
  return Math.sqrt(-2 * Math.log(1 - clock.random())) * Math.cos(2 * Math.PI * clock.random());
}

/** One region's runners of the one service. */
export class ModelCell {
  /** Interactive requests that end in each of the coming seconds. */
  private readonly endings: number[] = [];
  private deviation = 0;
  /** Requests and batch items that hold a place now. */
  interactive = 0;
  batchItems = 0;
  /** Both together, as reported last. */
  reportedUse = 0;
  /** Interactive requests that came since they were told last. */
  arrivals = 0;

  constructor(
    readonly region: batchScenario.BatchRegion,
    private readonly scenario: Pick<batchScenario.BatchScenario, "held_ms" | "noise">,
    private readonly clock: types.Clock,
  ) {}

  /** Requests a second by the hour of the day and the random deviation. */
  private rate(): number {
    const { low_per_s: low, peak_per_s: peak, peak_at_h: peakAt } = this.region;
    const phase = (this.clock.now() / loads.DAY_MS - peakAt / DAY_HOURS) * 2 * Math.PI;
    return (low + ((peak - low) * (1 + Math.cos(phase))) / 2) * Math.exp(this.deviation);
  }

  /** Arrivals and ends of one second. */
  simulateSecond(): void {
    const { held_ms: heldMs, noise } = this.scenario;
    this.deviation =
      DEVIATION_AUTOCORRELATION * this.deviation + noise * Math.sqrt(1 - DEVIATION_AUTOCORRELATION ** 2) * normal(this.clock);
    const mean = this.rate();
    const arrivals = Math.max(0, Math.round(mean + Math.sqrt(mean) * normal(this.clock)));
    this.interactive += arrivals - (this.endings.shift() ?? 0);
    const seconds = Math.max(1, Math.round(heldMs / SECOND_MS));
    while (this.endings.length < seconds) this.endings.push(0);
    this.endings[seconds - 1] += arrivals;
    this.arrivals += arrivals;
  }
}
