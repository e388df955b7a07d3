/** What this process spends: processor time, memory, the loop's delay, descriptors (design 9.1). */
import * as fs from "node:fs";
import * as perf from "node:perf_hooks";

/** Shown by `status` under these names. */
export interface Vitals {
  /** Processor time since the process began, user and system together. */
  cpuMs: number;
  /** Resident memory, and the part that is heap in use. */
  memoryMb: number;
  heapMb: number;
  /** How late the loop ran since these figures were asked for the last time; zeros when that is long ago. */
  loopP50Ms: number;
  loopP99Ms: number;
  loopWorstMs: number;
  /** Open file descriptors; 0 where the machine does not say. */
  descriptors: number;
}

const RESOLUTION_MS = 10;
const MEGA = 1024 * 1024;
const MEASURE_FOR_MS = 60_000;
let loopDelay: perf.IntervalHistogram | null = null;
let idleTimer: NodeJS.Timeout | null = null;

/** The loop is watched from an asking on for a minute: nodes that nobody asks don't pay for it. */
export function vitals(): Vitals {
  const cpu = process.cpuUsage();
  const memory = process.memoryUsage();
  const previousDelay = loopDelay;
  if (!loopDelay) {
    loopDelay = perf.monitorEventLoopDelay({ resolution: RESOLUTION_MS });
    loopDelay.enable();
  }
  const measured = {
    cpuMs: (cpu.user + cpu.system) / 1000,
    memoryMb: memory.rss / MEGA,
    heapMb: memory.heapUsed / MEGA,
    loopP50Ms: previousDelay ? lateMs(previousDelay.percentile(50)) : 0,
    loopP99Ms: previousDelay ? lateMs(previousDelay.percentile(99)) : 0,
    loopWorstMs: previousDelay && previousDelay.count > 0 ? lateMs(previousDelay.max) : 0,
    descriptors: openDescriptors(),
  };
  loopDelay.reset();
  if (idleTimer) clearTimeout(idleTimer);
  idleTimer = setTimeout(stopMeasuring, MEASURE_FOR_MS).unref();
  return measured;
}

function stopMeasuring(): void {
  loopDelay?.disable();
  loopDelay = null;
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
