/**
 * The machine's steady clock, the same in all of its processes, for measuring between them alone; and a world with
 * random numbers by seed (design/experiment 3).
 */
import * as timers from "../runtime/timers.js";

const NANOSECONDS = 1_000_000n;
const STEP = 0x6d2b79f5;

/** Milliseconds since the machine started, to the microsecond. */
export function machineMs(): number {
  const now = process.hrtime.bigint();
  return Number(now / NANOSECONDS) + Number(now % NANOSECONDS) / 1e6;
}

/** Real time, and Mulberry32 in place of the system's random numbers. */
export class SeededClock extends timers.SystemClock {
  constructor(private seed: number) {
    super();
  }

  override random(): number {
    this.seed = (this.seed + STEP) | 0;
    let mixed = Math.imul(this.seed ^ (this.seed >>> 15), 1 | this.seed);
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4294967296;
  }
}
