// A router's side of the bounds of the whole system (design/shares 3.6, 4): its own ratio of further tries is earned
// by its own requests, all else is leased from owners. A process that is new or cut off has no leases.
import * as leaseSchema from "../wire/lease-schema.js";
import * as types from "../wire/types.js";
import * as holdings from "./holdings.js";
import type * as parts from "./parts.js";

export { begun, ended, hash } from "./hash.js";
/** The figures that bounds are made from. */
export type Bounds = parts.Bounds;

/** Owners that said so lately count as granting for so long. */
const VALID_MS = 3000;
/** Half of the ratio is used, so that a process that starts anew within a window can spend its part again. */
const DEALT = 0.5;
const MAX_BACK = 256;

interface Window {
  requests: number[];
  repeats: number[];
  /** What each try still out was taken from, the newest last; null: the own ratio. */
  taken: (holdings.Lease | null)[];
}

/** One router's part in all bounds. */
export class Shares {
  private members = 1;
  private grantedAt = -Infinity;
  private readonly windows = new Map<string, Window>();
  readonly held: holdings.Holdings;

  constructor(
    private readonly clock: types.Clock,
    private bounds: Bounds,
  ) {
    this.held = new holdings.Holdings(clock);
  }

  /** How many routers there are: each keeps to its part of the connections (design 7.6). */
  deal(members: number): void {
    this.members = Math.max(1, members);
  }

  resettle(bounds: Bounds): void {
    this.bounds = bounds;
  }

  get routers(): number {
    return this.members;
  }

  /** Whether an owner was granting lately. */
  isValid(): boolean {
    return this.clock.now() - this.grantedAt < VALID_MS;
  }

  /** sentAt: when the ask was sent, on the own clock. */
  grant(reply: leaseSchema.LeaseReply, sentAt: number): void {
    if (reply.isGranting) this.grantedAt = this.clock.now();
    this.held.grant(reply, sentAt);
  }

  private windowOf(service: string): Window {
    let window = this.windows.get(service);
    if (!window) {
      window = { requests: [], repeats: [], taken: [] };
      this.windows.set(service, window);
    }
    const from = this.clock.now() - this.bounds.retry_window_s * 1000;
    while (window.requests.length > 0 && window.requests[0] < from) window.requests.shift();
    while (window.repeats.length > 0 && window.repeats[0] < from) window.repeats.shift();
    return window;
  }

  countRequest(service: string): void {
    this.windowOf(service).requests.push(this.clock.now());
    this.held.stand(service, this.bounds.retry_window_s * 1000);
  }

  private hasOwn(window: Window): boolean {
    return window.repeats.length + 1 <= DEALT * this.bounds.retry_ratio * window.requests.length;
  }

  /** Whether a further try could be taken now; one that could not is wanted. */
  canRepeat(service: string): boolean {
    if (this.hasOwn(this.windowOf(service)) || this.held.has(leaseSchema.TRIES, service)) return true;
    this.held.want(leaseSchema.TRIES, service, 0);
    this.held.isShort = true;
    return false;
  }

  /** Takes one further try, of the own ratio first; false when there is none. */
  takeRepeat(service: string): boolean {
    const window = this.windowOf(service);
    if (this.hasOwn(window)) {
      window.repeats.push(this.clock.now());
      this.took(window, null);
      return true;
    }
    this.held.want(leaseSchema.TRIES, service, 0);
    const lease = this.held.take(leaseSchema.TRIES, service);
    if (lease) this.took(window, lease);
    return lease !== null;
  }

  private took(window: Window, from: holdings.Lease | null): void {
    window.taken.push(from);
    if (window.taken.length > MAX_BACK) window.taken.shift();
  }

  /** A try that was taken and never left, as no connection came up, goes back to where it was taken from. */
  returnRetry(service: string): void {
    const window = this.windowOf(service);
    const from = window.taken.pop();
    if (from) this.held.giveBack(from);
    else if (from === null) window.repeats.pop();
  }

  /** Takes one send to a cold runner; false when none is held for it. */
  takeCold(runner: string, perS: number): boolean {
    this.held.want(leaseSchema.COLD, runner, perS);
    return this.held.take(leaseSchema.COLD, runner) !== null;
  }

  /** How long until one may be had again, when all routers want it alike. */
  coldWaitS(perS: number): number {
    const room = (this.bounds.warmup_overshoot - 1) * perS + this.bounds.warmup_tolerance;
    return perS > 0 ? Math.min(this.members, Math.max(1, Math.floor(room))) / perS : 1;
  }
}
