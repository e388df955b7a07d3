/** The process's steady clock, random numbers and timers (design 1.4); nothing is decided by the time of day. */
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

/** Calls `run` on the next turn of the event loop and every `ms` milliseconds after it, until the timer is stopped. */
export function runPeriodically(clock: types.Clock, ms: number, run: () => void): types.Timer {
  let isStopped = false;
  function onTimer(): void {
    if (isStopped) return;
    timer = clock.schedule(ms, onTimer);
    run();
  }
  let timer = clock.schedule(0, onTimer);
  return {
    stop(): void {
      isStopped = true;
      timer.stop();
    },
  };
}

/** Resolves after so many milliseconds. */
export function sleep(clock: types.Clock, ms: number): Promise<void> {
  return new Promise((resolve) => {
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
