/** Simulated time that jumps from one scheduled event to the next, and random numbers by seed (design 11.2). */
import * as types from "../wire/types.js";

interface ScheduledEvent {
  at: number;
  order: number;
  run: (() => void) | null;
}

/** A `World` whose events run in order of time, then of scheduling; the same seed gives the same run. */
export class PlannedClock implements types.Clock {
  private currentMs = 0;
  private order = 0;
  private readonly heap: ScheduledEvent[] = [];
  private randomState: number;

  constructor(seed: number) {
    this.randomState = seed >>> 0 || 1;
  }

  /** Simulated milliseconds. */
  now(): types.SteadyMs {
    return types.small(this.currentMs);
  }

  /** Mulberry32, from 0 up to 1. */
  random(): number {
    let value = (this.randomState = (this.randomState + 0x6d2b79f5) >>> 0);
    value = Math.imul(value ^ (value >>> 15), value | 1);
    value ^= value + Math.imul(value ^ (value >>> 7), value | 61);
    return ((value ^ (value >>> 14)) >>> 0) / 4294967296;
  }

  /** Schedules a run; one that is stopped is skipped. */
  schedule(ms: number, run: () => void): types.Timer {
    const item: ScheduledEvent = { at: this.currentMs + Math.max(0, ms), order: (this.order += 1), run };
    this.heap.push(item);
    this.siftUp(this.heap.length - 1);
    return {
      stop(): void {
        item.run = null;
      },
    };
  }

  /** Runs all events up to this time, those included that they schedule. */
  play(untilMs: number): void {
    for (let next = this.heap[0]; next && next.at <= untilMs; next = this.heap[0]) {
      this.pop();
      this.currentMs = next.at;
      next.run?.();
    }
    this.currentMs = untilMs;
  }

  private isBefore(left: number, right: number): boolean {
    const [a, b] = [this.heap[left], this.heap[right]];
    return a.at < b.at || (a.at === b.at && a.order < b.order);
  }

  private swap(left: number, right: number): void {
    const item = this.heap[left];
    this.heap[left] = this.heap[right]!;
    this.heap[right] = item;
  }

  private siftUp(index: number): void {
    for (let at = index; at > 0;) {
      const parent = (at - 1) >> 1;
      if (!this.isBefore(at, parent)) return;
      this.swap(at, parent);
      at = parent;
    }
  }

  private pop(): void {
    this.swap(0, this.heap.length - 1);
    this.heap.pop();
    for (let at = 0; ;) {
      const left = 2 * at + 1;
      if (left >= this.heap.length) return;
      const child = left + 1 < this.heap.length && this.isBefore(left + 1, left) ? left + 1 : left;
      if (!this.isBefore(child, at)) return;
      this.swap(child, at);
      at = child;
    }
  }
}
