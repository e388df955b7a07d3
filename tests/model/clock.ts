// The clock of the model: timers in a heap, random numbers from a seed, promises settled between two timers.
import * as types from "../../src/wire/types.js";

interface Timer {
  at: number;
  order: number;
  run: () => void;
  isStopped: boolean;
}

/** A world for many nodes. Two clocks with one seed and the same calls play the same history. */
export class ModelClock implements types.Clock {
  private readonly heap: Timer[] = [];
  private order = 0;
  private timeMs = 0;
  private state: number;

  constructor(seed: number) {
    this.state = Math.imul(seed ^ 0x9e3779b9, 0x85ebca6b) >>> 0 || 1;
  }

  now(): types.SteadyMs {
    return types.small(this.timeMs);
  }

  /** A number in [0, 1); xorshift, so a history depends on nothing but its seed. */
  random(): number {
    this.state ^= this.state << 13;
    this.state >>>= 0;
    this.state ^= this.state >>> 17;
    this.state ^= this.state << 5;
    this.state >>>= 0;
    return this.state / 4294967296;
  }

  schedule(ms: number, run: () => void): types.Timer {
    const timer: Timer = { at: this.timeMs + Math.max(0, ms), order: (this.order += 1), run, isStopped: false };
    this.push(timer);
    return {
      stop(): void {
        timer.isStopped = true;
      },
    };
  }

  wait(ms: number): Promise<void> {
    const start = this.schedule.bind(this, ms);
    return new Promise(function waiting(resolve) {
      start(resolve);
    });
  }

  /** Runs all timers due within `ms`. */
  async play(ms: number): Promise<void> {
    const until = this.timeMs + ms;
    await settle();
    for (let timer = this.pop(until); timer; timer = this.pop(until)) {
      this.timeMs = timer.at;
      timer.run();
      await settle();
    }
    this.timeMs = until;
  }

  private push(timer: Timer): void {
    const { heap } = this;
    let index = heap.push(timer) - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!isBefore(timer, heap[parent])) break;
      heap[index] = heap[parent];
      index = parent;
    }
    heap[index] = timer;
  }

  private pop(until: number): Timer | null {
    const { heap } = this;
    while (heap.length > 0 && heap[0].at <= until) {
      const first = heap[0];
      const last = heap.pop() as Timer;
      if (heap.length > 0) this.sink(last);
      if (!first.isStopped) return first;
    }
    return null;
  }

  private sink(timer: Timer): void {
    const { heap } = this;
    let index = 0;
    for (;;) {
      let child = 2 * index + 1;
      if (child >= heap.length) break;
      if (child + 1 < heap.length && isBefore(heap[child + 1], heap[child])) child += 1;
      if (!isBefore(heap[child], timer)) break;
      heap[index] = heap[child];
      index = child;
    }
    heap[index] = timer;
  }
}

function isBefore(left: Timer, right: Timer): boolean {
  return left.at < right.at || (left.at === right.at && left.order < right.order);
}

function settle(): Promise<void> {
  return new Promise(function wait(resolve) {
    setImmediate(resolve);
  });
}
