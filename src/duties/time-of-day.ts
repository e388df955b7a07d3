/**
 * The time of day that the control nodes agree on (design/duties 4). Clocks of machines may jump by seconds; here the median of
 * several machines' clocks counts, carried on by the own steady clock in between.
 */
import type * as types from "../wire/types.js";

/** A sample of another node's clock counts for so long, in milliseconds. */
const SAMPLE_TTL_MS = 10_000;
/** With fewer clocks one that jumps can't be outvoted: then the last agreed time is carried on. */
const MIN_SAMPLES = 3;
/** The last agreed time is carried on for so long without enough samples, in milliseconds. */
const CARRY_MS = 120_000;

interface Sample {
  /** Time of day less the own steady clock, in milliseconds. */
  offsetMs: number;
  takenAt: number;
}

/** One node's view; all times of day are milliseconds since the start of 1970. */
export class TimeOfDay {
  private readonly samples = new Map<string, Sample>();
  private agreedOffsetMs: number | null = null;
  private agreedAt = Number.NEGATIVE_INFINITY;

  /** `wallClock`: this machine's own time of day. */
  constructor(
    private readonly clock: types.Clock,
    private readonly wallClock: () => number,
  ) {}

  /** The own machine's clock, unchecked. */
  own(): number {
    return this.wallClock();
  }

  /** Another node's own clock showed `timeOfDayMs` now. */
  recordSample(node: string, timeOfDayMs: number): void {
    const now = this.clock.now();
    this.samples.set(node, { offsetMs: timeOfDayMs - now, takenAt: now });
  }

  /** A node that has the samples of several says what is agreed; it counts until the own samples suffice. */
  adopt(timeOfDayMs: number): void {
    const now = this.clock.now();
    this.agreedOffsetMs = timeOfDayMs - now;
    this.agreedAt = now;
  }

  /** The agreed time of day now. */
  now(): number {
    const now = this.clock.now();
    const offsets = [this.wallClock() - now];
    for (const [node, { offsetMs, takenAt }] of this.samples) {
      if (now - takenAt > SAMPLE_TTL_MS) this.samples.delete(node);
      else offsets.push(offsetMs);
    }
    const isCarried = this.agreedOffsetMs !== null && now - this.agreedAt < CARRY_MS;
    if (offsets.length >= MIN_SAMPLES || !isCarried) this.agree(medianOf(offsets), now);
    return now + this.agreedOffsetMs!;
  }

  private agree(offsetMs: number, now: number): void {
    this.agreedOffsetMs = offsetMs;
    this.agreedAt = now;
  }
}

/** The lower of the two middle ones where their number is even. */
function medianOf(values: number[]): number {
  const sorted = values.sort((left, right) => left - right);
  return sorted[Math.floor((sorted.length - 1) / 2)];
}
