// The real steady clock, chance and ticks (design 1.4): the time of day decides nothing.
import { performance } from "node:perf_hooks";
import * as types from "./types.js";

class NodeTick implements types.Tick {
  constructor(private readonly handle: NodeJS.Timeout) {}
  stop(): void {
    clearTimeout(this.handle);
  }
}

/** The clock and timers of the process. */
export class RealWorld implements types.World {
  now(): types.SteadyMs {
    return types.small(performance.now());
  }
  random(): number {
    return Math.random();
  }
  after(ms: number, run: () => void): types.Tick {
    return new NodeTick(setTimeout(run, ms));
  }
}

/** Runs `turn` at once and again and again, `ms` apart, until stopped. */
export function every(world: types.World, ms: number, turn: () => void): types.Tick {
  let tick = world.after(0, again);
  let stopped = false;
  function again(): void {
    if (stopped) return;
    tick = world.after(ms, again);
    turn();
  }
  return {
    stop(): void {
      stopped = true;
      tick.stop();
    },
  };
}

/** Resolves after so many milliseconds. */
export function sleep(world: types.World, ms: number): Promise<void> {
  return new Promise(function wait(resolve) {
    world.after(ms, resolve);
  });
}

/** Whether the work ended within `ms` milliseconds; a rejection of it passes through. No timer outlives the call. */
export async function endsWithin(world: types.World, ms: number, work: Promise<unknown>): Promise<boolean> {
  let timer: types.Tick | undefined;
  const elapsed = new Promise<boolean>(function wait(resolve) {
    timer = world.after(ms, () => resolve(false));
  });
  try {
    return await Promise.race([work.then(() => true), elapsed]);
  } finally {
    timer?.stop();
  }
}
