// What this process spends: processor time, memory, the loop's delay, descriptors (design 9.1).
import * as fs from "node:fs";
import * as perf from "node:perf_hooks";

export interface Vitals {
  /** Processor time since the process began, user and system together. */
  cpuMs: number;
  memoryMb: number;
  heapMb: number;
  /** How late the loop ran since these figures were asked for the last time; zeros when that is long ago. */
  loopP50Ms: number;
  loopP99Ms: number;
  loopWorstMs: number;
  descriptors: number;
}

const RESOLUTION_MS = 10;
const MEGA = 1024 * 1024;
const REST_MS = 60_000;
let delay: perf.IntervalHistogram | null = null;
let resting: NodeJS.Timeout | null = null;

/** The loop is watched from an asking on for a minute: nodes that nobody asks don't pay for it. */
export function vitals(): Vitals {
  const cpu = process.cpuUsage();
  const memory = process.memoryUsage();
  const before = delay;
  if (!delay) {
    delay = perf.monitorEventLoopDelay({ resolution: RESOLUTION_MS });
    delay.enable();
  }
  const made = {
    cpuMs: (cpu.user + cpu.system) / 1000,
    memoryMb: memory.rss / MEGA,
    heapMb: memory.heapUsed / MEGA,
    loopP50Ms: before ? lateMs(before.percentile(50)) : 0,
    loopP99Ms: before ? lateMs(before.percentile(99)) : 0,
    loopWorstMs: before && before.count > 0 ? lateMs(before.max) : 0,
    descriptors: openDescriptors(),
  };
  delay.reset();
  if (resting) clearTimeout(resting);
  resting = setTimeout(rest, REST_MS).unref();
  return made;
}

function rest(): void {
  delay?.disable();
  delay = null;
}

/** The histogram holds the whole time between its ticks. */
function lateMs(nanoseconds: number): number {
  return Math.max(0, nanoseconds / 1e6 - RESOLUTION_MS);
}

/** Zero where the machine does not tell. */
function openDescriptors(): number {
  try {
    return fs.readdirSync("/proc/self/fd").length;
  } catch {
    return 0;
  }
}
