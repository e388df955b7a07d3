/** The owner of one slot of the system-wide limits: grants leases to routers and accounts for them (design/shares 3, 4). */
import * as leaseSchema from "../wire/lease-schema.js";
import * as types from "../wire/types.js";
import * as limitShares from "./limit-shares.js";
import * as tokenPool from "./token-pool.js";
import type * as slotOwnership from "./slot-ownership.js";

/** Durations of leases: a retry may wait for a failure; a send to a warming runner follows soon or is better used elsewhere. */
export const RETRY_LEASE_MS = 1800;
/** Duration of a lease on a warming runner, in milliseconds. */
export const WARM_UP_LEASE_MS = 1200;
/** A lease whose end is not reported this long after its expiry counts as fully used. */
const REPORT_TIMEOUT_MS = 2000;
const EXPIRY_INTERVAL_MS = 300;
/** Routers with different configurations request different rates: the lower one counts for this long. */
const LOWER_RATE_VALID_MS = 2000;
const WARM_UP_MEMORY_MS = 2000;

interface GrantedLease {
  router: string;
  pool: OwnedLimit;
  amount: number;
  reportDueAt: number;
}

interface OwnedLimit {
  pool: tokenPool.TokenPool;
  perS: number;
  perSAt: number;
}

/** The owner of one slot, at one control node. */
export class LeaseOwner {
  private ownershipRound = -1;
  private nextId = 1;
  private expiredAt = 0;
  private readonly leases = new Map<number, GrantedLease>();
  private readonly limits = new Map<string, OwnedLimit>();

  constructor(
    private readonly clock: types.Clock,
    readonly incarnation: string,
    private bounds: limitShares.Bounds,
    private readonly ownership: slotOwnership.SlotOwnership,
  ) {}

  /** Applies changed settings to all pools. */
  applyBounds(bounds: limitShares.Bounds): void {
    this.bounds = bounds;
    for (const [key, limit] of this.limits) this.resize(key, limit);
  }

  /** Replies to a router. `accepted`: the newest voter epoch on the own disk; null: this node is not confirmed now and grants nothing. */
  reply(ask: leaseSchema.LeaseRequest, accepted: types.Epoch | null): leaseSchema.LeaseReply {
    const now = this.clock.now();
    this.expireLeases(now);
    if (ask.life === this.incarnation) for (const done of ask.done) this.endLease(ask.router, done, now);
    const isGranting = accepted !== null && this.ownership.isGranting(accepted);
    const grants: leaseSchema.Grant[] = [];
    if (isGranting) for (const need of ask.needs) this.grant(ask.router, need, now, grants);
    return { life: this.incarnation, isGranting, grants };
  }

  private grant(router: string, need: leaseSchema.Need, now: number, grants: leaseSchema.Grant[]): void {
    const limit = this.limitFor(need, now);
    const amount = limit.pool.grant(router, need, now);
    if (amount <= 0) return;
    const id = this.nextId;
    this.nextId += 1;
    const lifeMs = need.kind === leaseSchema.SLOW_START ? WARM_UP_LEASE_MS : RETRY_LEASE_MS;
    this.leases.set(id, { router, pool: limit, amount, reportDueAt: now + lifeMs + REPORT_TIMEOUT_MS });
    grants.push({ id, kind: need.kind, key: need.key, amount, lifeMs });
  }

  private endLease(router: string, done: leaseSchema.Done, now: number): void {
    const lease = this.leases.get(done.id);
    if (!lease || lease.router !== router) return;
    this.leases.delete(done.id);
    lease.pool.pool.endLease(router, lease.amount, Math.min(lease.amount, Math.max(0, done.unused)), now);
  }

  private expireLeases(now: number): void {
    if (this.ownershipRound !== this.ownership.round) this.restart();
    if (now - this.expiredAt < EXPIRY_INTERVAL_MS) return;
    this.expiredAt = now;
    for (const [id, lease] of this.leases)
      if (now > lease.reportDueAt) this.endLease(lease.router, { id, unused: this.unreported(lease.amount) }, now);
    for (const [key, limit] of this.limits) if (limit.pool.isIdleAndFull(now)) this.limits.delete(key);
  }

  /** The slot has changed hands: outstanding leases are no longer accounted here; the ownership waits until they have expired. */
  private restart(): void {
    this.ownershipRound = this.ownership.round;
    this.leases.clear();
    this.limits.clear();
  }

  /** The units that count as unused of a lease whose end nobody reported: none. */
  protected unreported(_amount: number): number {
    return 0;
  }

  /** Since when the pool of a limit that was never requested has been refilling. */
  protected earnedSince(): number {
    return this.ownership.openAt;
  }

  private shareFor(key: string, perS: number): limitShares.LimitShare {
    const { slot, slots } = this.ownership;
    const name = key.slice(1);
    if (key.startsWith(String(leaseSchema.SLOW_START))) return limitShares.warmUpShare(this.bounds, slots, slot, name, perS);
    return limitShares.retryShare(this.bounds, slots, slot, name);
  }

  private resize(key: string, limit: OwnedLimit): void {
    limit.pool.resize(this.shareFor(key, limit.perS));
  }

  private limitFor(need: leaseSchema.Need, now: number): OwnedLimit {
    const key = `${need.kind}${need.key}`;
    let limit = this.limits.get(key);
    if (!limit) {
      const memoryMs = need.kind === leaseSchema.SLOW_START ? WARM_UP_MEMORY_MS : this.bounds.retry_window_s * 1000;
      limit = {
        pool: new tokenPool.TokenPool(this.shareFor(key, need.perS), this.earnedSince(), now, memoryMs),
        perS: need.perS,
        perSAt: now,
      };
      this.limits.set(key, limit);
    }
    if (need.perS < limit.perS || (need.perS > limit.perS && now - limit.perSAt > LOWER_RATE_VALID_MS)) {
      limit.perS = need.perS;
      this.resize(key, limit);
    }
    if (need.perS <= limit.perS) limit.perSAt = now;
    return limit;
  }
}
