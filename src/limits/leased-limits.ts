/**
 * A router's side of the system-wide limits (design/shares 3.6, 4): its own ratio of retries is earned by its own requests, all
 * else is leased from the owners of the limits. A process that is new or partitioned has no leases.
 */
import * as leaseSchema from "../wire/lease-schema.js";
import * as types from "../wire/types.js";
import * as routerLeases from "./router-leases.js";
import type * as limitShares from "./limit-shares.js";

/** An owner that granted counts as granting for this long. */
const GRANTING_VALID_MS = 3000;
/** Half of the ratio is used, so that a process that restarts within a window can spend its share again. */
const OWN_RETRY_RATIO = 0.5;
const MAX_RETURNABLE = 256;

interface RetryWindow {
  requests: number[];
  retries: number[];
  /** The lease from which each retry in flight was taken, the newest last; null: the own ratio. */
  taken: (routerLeases.Lease | null)[];
}

/** The system-wide limits as one router may use them. */
export class LeasedLimits {
  private routerCount = 1;
  private grantedAt = -Infinity;
  private readonly windows = new Map<string, RetryWindow>();
  readonly leases: routerLeases.RouterLeases;

  constructor(
    private readonly clock: types.Clock,
    private bounds: limitShares.Bounds,
  ) {
    this.leases = new routerLeases.RouterLeases(clock);
  }

  /** How many routers there are: each keeps to its share of the connections (design 7.6). */
  setRouterCount(members: number): void {
    this.routerCount = Math.max(1, members);
  }

  applyBounds(bounds: limitShares.Bounds): void {
    this.bounds = bounds;
  }

  get routers(): number {
    return this.routerCount;
  }

  /** Whether an owner was granting lately. */
  isValid(): boolean {
    return this.clock.now() - this.grantedAt < GRANTING_VALID_MS;
  }

  /** Takes the grants of a reply; sentAt: when the request was sent, on the own clock. */
  grant(reply: leaseSchema.LeaseReply, sentAt: number): void {
    if (reply.isGranting) this.grantedAt = this.clock.now();
    this.leases.addGrants(reply, sentAt);
  }

  private windowOf(service: string): RetryWindow {
    let window = this.windows.get(service);
    if (!window) {
      window = { requests: [], retries: [], taken: [] };
      this.windows.set(service, window);
    }
    const from = this.clock.now() - this.bounds.retry_window_s * 1000;
    while (window.requests.length > 0 && window.requests[0] < from) window.requests.shift();
    while (window.retries.length > 0 && window.retries[0] < from) window.retries.shift();
    return window;
  }

  countRequest(service: string): void {
    this.windowOf(service).requests.push(this.clock.now());
    this.leases.keepStandby(service, this.bounds.retry_window_s * 1000);
  }

  private hasOwnRetry(window: RetryWindow): boolean {
    return window.retries.length + 1 <= OWN_RETRY_RATIO * this.bounds.retry_ratio * window.requests.length;
  }

  /** Whether a retry is available now; one that is not is recorded as demand. */
  canRetry(service: string): boolean {
    if (this.hasOwnRetry(this.windowOf(service)) || this.leases.has(leaseSchema.RETRY_BUDGET, service)) return true;
    this.leases.recordDemand(leaseSchema.RETRY_BUDGET, service, 0);
    this.leases.isShort = true;
    return false;
  }

  /** Takes one retry, from the own ratio first; false when there is none. */
  takeRetry(service: string): boolean {
    const window = this.windowOf(service);
    if (this.hasOwnRetry(window)) {
      window.retries.push(this.clock.now());
      this.recordTaken(window, null);
      return true;
    }
    this.leases.recordDemand(leaseSchema.RETRY_BUDGET, service, 0);
    const lease = this.leases.takeUnit(leaseSchema.RETRY_BUDGET, service);
    if (lease) this.recordTaken(window, lease);
    return lease !== null;
  }

  private recordTaken(window: RetryWindow, from: routerLeases.Lease | null): void {
    window.taken.push(from);
    if (window.taken.length > MAX_RETURNABLE) window.taken.shift();
  }

  /** Returns a retry that was never sent, as no connection came up, to where it was taken from. */
  returnRetry(service: string): void {
    const window = this.windowOf(service);
    const from = window.taken.pop();
    if (from) this.leases.giveBack(from);
    else if (from === null) window.retries.pop();
  }

  /** Takes one send to a warming runner; false when no lease on it is left. */
  takeWarmUpSend(runner: string, perS: number): boolean {
    this.leases.recordDemand(leaseSchema.SLOW_START, runner, perS);
    return this.leases.takeUnit(leaseSchema.SLOW_START, runner) !== null;
  }

  /** Seconds until such a send may be available again, if all routers demand it alike. */
  warmUpWaitS(perS: number): number {
    const burst = (this.bounds.warmup_overshoot - 1) * perS + this.bounds.warmup_tolerance;
    return perS > 0 ? Math.min(this.routerCount, Math.max(1, Math.floor(burst))) / perS : 1;
  }
}
