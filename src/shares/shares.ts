// Bounds of the whole system, dealt out as shares that expire on the steady clock (design 8.1). A process
// that is new or cut off has none.
import * as types from "../wire/types.js";

const VALID_MS = 3000;
/** Half of a bound is dealt, so that a process that starts anew within a window can spend its share again. */
const DEALT = 0.5;

export interface Bounds {
  retry_ratio: number;
  retry_window_s: number;
  retry_extra: number;
  warmup_overshoot: number;
  warmup_tolerance: number;
}

const MOST_BUCKETS = 2000;

interface Window {
  requests: number[];
  repeats: number[];
}

interface Bucket {
  tokens: number;
  at: number;
}

export class Shares {
  private index = 0;
  private members = 1;
  private dealtAt = -1e9;
  private readonly windows = new Map<string, Window>();
  private readonly buckets = new Map<string, Bucket>();

  constructor(private readonly world: types.World, private bounds: Bounds) {}

  deal(index: number, members: number): void {
    this.index = index;
    this.members = Math.max(1, members);
    this.dealtAt = this.world.now();
  }

  resettle(bounds: Bounds): void {
    this.bounds = bounds;
  }

  get routers(): number {
    return this.members;
  }

  isValid(): boolean {
    return this.world.now() - this.dealtAt < VALID_MS;
  }

  private windowOf(service: string): Window {
    let window = this.windows.get(service);
    if (!window) {
      window = { requests: [], repeats: [] };
      this.windows.set(service, window);
    }
    const from = this.world.now() - this.bounds.retry_window_s * 1000;
    while (window.requests.length > 0 && window.requests[0]! < from) window.requests.shift();
    while (window.repeats.length > 0 && window.repeats[0]! < from) window.repeats.shift();
    return window;
  }

  countRequest(service: string): void {
    this.windowOf(service).requests.push(this.world.now());
  }

  /** Takes one repeat out of the share; false when it is spent. */
  takeRepeat(service: string): boolean {
    const window = this.windowOf(service);
    const extra = this.isValid() ? this.bounds.retry_extra / this.members : 0;
    const most = DEALT * (this.bounds.retry_ratio * window.requests.length + extra);
    if (window.repeats.length + 1 > most) return false;
    window.repeats.push(this.world.now());
    return true;
  }

  /** The newest repeat taken was never sent. */
  giveBack(service: string): void {
    this.windowOf(service).repeats.pop();
  }

  /**
   * Takes one send to a cold runner. At most `holders` routers hold a share of one runner, each a bucket of
   * one and its part of the rate: their sum over any second is holders + rate, within the bound.
   */
  takeCold(runner: string, perS: number): boolean {
    if (!this.isValid()) return false;
    const holders = this.holders(perS);
    if ((this.index + hash(runner)) % this.members >= holders) return false;
    const rate = perS / holders / 1000;
    const now = this.world.now();
    const bucket = this.buckets.get(runner) ?? { tokens: 1, at: now };
    bucket.tokens = Math.min(1, bucket.tokens + (now - bucket.at) * rate);
    bucket.at = now;
    this.buckets.set(runner, bucket);
    for (const oldest of this.buckets.keys()) {
      if (this.buckets.size <= MOST_BUCKETS) break;
      this.buckets.delete(oldest);
    }
    if (bucket.tokens < 1) return false;
    bucket.tokens -= 1;
    return true;
  }

  private holders(perS: number): number {
    const room = (this.bounds.warmup_overshoot - 1) * perS + this.bounds.warmup_tolerance;
    return Math.min(this.members, Math.max(1, Math.floor(room)));
  }

  /** How long until this router's bucket of a cold runner holds one again. */
  coldWaitS(perS: number): number {
    return perS > 0 ? this.holders(perS) / perS : 1;
  }
}

/** FNV-1a: small, and the same in every process. */
export function hash(text: string): number {
  let value = 0x811c9dc5;
  for (let index = 0; index < text.length; index += 1) {
    value ^= text.charCodeAt(index);
    value = Math.imul(value, 0x01000193);
  }
  value ^= value >>> 15;
  value = Math.imul(value, 0x2c1b3c6d);
  value ^= value >>> 13;
  return value >>> 0;
}
