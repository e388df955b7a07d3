// The real steady clock, chance and ticks (design 1.4): the time of day decides nothing.
import { performance } from "node:perf_hooks";
import * as types from "../wire/types.js";

class NodeTimer implements types.Timer {
  constructor(private readonly handle: NodeJS.Timeout) {}
  stop(): void {
    clearTimeout(this.handle);
  }
}

/** The clock and timers of the process. */
export class SystemClock implements types.Clock {
  now(): types.SteadyMs {
    return types.small(performance.now());
  }
  random(): number {
    return Math.random();
  }
  schedule(ms: number, run: () => void): types.Timer {
    return new NodeTimer(setTimeout(run, ms));
  }
}

/** Runs `turn` at once and again and again, `ms` apart, until stopped. */
export function runPeriodically(clock: types.Clock, ms: number, turn: () => void): types.Timer {
  function again(): void {
    if (stopped) return;
    tick = clock.schedule(ms, again);
    turn();
  }
  let tick = clock.schedule(0, again);
  let stopped = false;
  return {
    stop(): void {
      stopped = true;
      tick.stop();
    },
  };
}

/** Resolves after so many milliseconds. */
export function sleep(clock: types.Clock, ms: number): Promise<void> {
  return new Promise(function wait(resolve) {
    clock.schedule(ms, resolve);
  });
}

/** Whether the work ended within `ms` milliseconds; a rejection of it passes through. No timer outlives the call. */
export async function endsWithin(clock: types.Clock, ms: number, work: Promise<unknown>): Promise<boolean> {
  let timer: types.Timer | undefined;
  const elapsed = new Promise<boolean>(function wait(resolve) {
    timer = clock.schedule(ms, () => resolve(false));
  });
  try {
    return await Promise.race([work.then(() => true), elapsed]);
  } finally {
    timer?.stop();
  }
}
