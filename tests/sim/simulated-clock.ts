/** A clock with timers and seeded random numbers that a test advances by hand. */
import * as types from "../../src/wire/types.js";
import * as timers from "../../src/runtime/timers.js";

interface ScheduledEvent {
  at: number;
  order: number;
  run: () => void;
  isStopped: boolean;
}

export class SimulatedClock implements types.Clock {
  private currentMs = 0;
  private order = 0;
  private planned: ScheduledEvent[] = [];
  private seed: number;

  constructor(seed = 1) {
    this.seed = seed >>> 0 || 1;
  }

  now(): types.SteadyMs {
    return types.small(this.currentMs);
  }

  random(): number {
    this.seed ^= this.seed << 13;
    this.seed >>>= 0;
    this.seed ^= this.seed >>> 17;
    this.seed ^= this.seed << 5;
    this.seed >>>= 0;
    return this.seed / 4294967296;
  }

  schedule(ms: number, run: () => void): types.Timer {
    const item: ScheduledEvent = { at: this.currentMs + Math.max(0, ms), order: (this.order += 1), run, isStopped: false };
    this.planned.push(item);
    return {
      stop(): void {
        item.isStopped = true;
      },
    };
  }

  skip(ms: number): void {
    this.currentMs += ms;
  }

  /** Plays what is planned up to `ms` from now; promises settle between the ticks. */
  async play(ms: number): Promise<void> {
    const until = this.currentMs + ms;
    for (;;) {
      await settle();
      this.planned = this.planned.filter(isOpen);
      this.planned.sort(byTime);
      const next = this.planned[0];
      if (!next || next.at > until) break;
      this.planned.shift();
      this.currentMs = Math.max(this.currentMs, next.at);
      next.run();
    }
    this.currentMs = until;
  }
}

function isOpen(item: ScheduledEvent): boolean {
  return !item.isStopped;
}

function byTime(left: ScheduledEvent, right: ScheduledEvent): number {
  return left.at - right.at || left.order - right.order;
}

export function settle(): Promise<void> {
  return new Promise(function wait(resolve) {
    setImmediate(resolve);
  });
}

/** The real clock, set ahead by hand. */
export class SkewedClock extends timers.SystemClock {
  aheadMs = 0;
  override now(): types.SteadyMs {
    return types.small(super.now() + this.aheadMs);
  }
}
