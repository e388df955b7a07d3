// The owner of one slot of all bounds: takes asks, gives leases, counts what is out (design/shares 3, 4).
import * as leaseSchema from "../wire/lease-schema.js";
import * as types from "../wire/types.js";
import * as limitShares from "./limit-shares.js";
import * as tokenPool from "./token-pool.js";
import type * as slotOwnership from "./slot-ownership.js";

/** Lives of leases (*ours*): tries may wait for a failure, sends to a cold runner soon follow or are better used elsewhere. */
export const RETRY_LEASE_MS = 1800;
/** The life of a lease on a cold runner, in milliseconds. */
export const WARM_UP_LEASE_MS = 1200;
/** A lease whose end is not reported by then was used whole. */
const REPORT_TIMEOUT_MS = 2000;
const EXPIRY_INTERVAL_MS = 300;
/** Routers whose configurations differ name different rates: the lower one counts for so long. */
const LOWER_RATE_VALID_MS = 2000;
const WARM_UP_MEMORY_MS = 2000;

interface GrantedLease {
  router: string;
  pool: OwnedLimit;
  amount: number;
  lostAt: number;
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
  private sweptAt = 0;
  private readonly leases = new Map<number, GrantedLease>();
  private readonly limits = new Map<string, OwnedLimit>();

  constructor(
    private readonly clock: types.Clock,
    readonly incarnation: string,
    private bounds: limitShares.Bounds,
    private readonly tenure: slotOwnership.SlotOwnership,
  ) {}

  applyBounds(bounds: limitShares.Bounds): void {
    this.bounds = bounds;
    for (const [key, holding] of this.limits) this.resize(key, holding);
  }

  /** accepted: the newest voter epoch on the own disk; null: this node is not confirmed now, and grants nothing. */
  reply(ask: leaseSchema.LeaseAsk, accepted: types.Epoch | null): leaseSchema.LeaseReply {
    const now = this.clock.now();
    this.expireLeases(now);
    if (ask.life === this.incarnation) for (const done of ask.done) this.endLease(ask.router, done, now);
    const isGranting = accepted !== null && this.tenure.isGranting(accepted);
    const grants: leaseSchema.Grant[] = [];
    if (isGranting) for (const need of ask.needs) this.grant(ask.router, need, now, grants);
    return { life: this.incarnation, isGranting, grants };
  }

  private grant(router: string, need: leaseSchema.Need, now: number, grants: leaseSchema.Grant[]): void {
    const holding = this.limitFor(need, now);
    const amount = holding.pool.grant(router, need, now);
    if (amount <= 0) return;
    const id = this.nextId;
    this.nextId += 1;
    const lifeMs = need.kind === leaseSchema.COLD ? WARM_UP_LEASE_MS : RETRY_LEASE_MS;
    this.leases.set(id, { router, pool: holding, amount, lostAt: now + lifeMs + REPORT_TIMEOUT_MS });
    grants.push({ id, kind: need.kind, key: need.key, amount, lifeMs });
  }

  private endLease(router: string, done: leaseSchema.Done, now: number): void {
    const lease = this.leases.get(done.id);
    if (!lease || lease.router !== router) return;
    this.leases.delete(done.id);
    lease.pool.pool.endLease(router, lease.amount, Math.min(lease.amount, Math.max(0, done.unused)), now);
  }

  private expireLeases(now: number): void {
    if (this.ownershipRound !== this.tenure.round) this.restart();
    if (now - this.sweptAt < EXPIRY_INTERVAL_MS) return;
    this.sweptAt = now;
    for (const [id, lease] of this.leases)
      if (now > lease.lostAt) this.endLease(lease.router, { id, unused: this.unreported(lease.amount) }, now);
    for (const [key, holding] of this.limits) if (holding.pool.isIdleAndFull(now)) this.limits.delete(key);
  }

  /** Another tenure: what is out is no longer counted here; the wait for its end is the tenure's. */
  private restart(): void {
    this.ownershipRound = this.tenure.round;
    this.leases.clear();
    this.limits.clear();
  }

  /** What counts as unused of a lease whose end nobody reported: nothing. */
  protected unreported(_amount: number): number {
    return 0;
  }

  /** Since when a bound that was never asked for has been earning. */
  protected earnedSince(): number {
    return this.tenure.openAt;
  }

  private shareFor(key: string, perS: number): limitShares.LimitShare {
    const { slot, slots } = this.tenure;
    const name = key.slice(1);
    if (key.startsWith(String(leaseSchema.COLD))) return limitShares.warmUpShare(this.bounds, slots, slot, name, perS);
    return limitShares.retryShare(this.bounds, slots, slot, name);
  }

  private resize(key: string, holding: OwnedLimit): void {
    holding.pool.resize(this.shareFor(key, holding.perS));
  }

  private limitFor(need: leaseSchema.Need, now: number): OwnedLimit {
    const key = `${need.kind}${need.key}`;
    let holding = this.limits.get(key);
    if (!holding) {
      const memoryMs = need.kind === leaseSchema.COLD ? WARM_UP_MEMORY_MS : this.bounds.retry_window_s * 1000;
      holding = {
        pool: new tokenPool.TokenPool(this.shareFor(key, need.perS), this.earnedSince(), now, memoryMs),
        perS: need.perS,
        perSAt: now,
      };
      this.limits.set(key, holding);
    }
    if (need.perS < holding.perS || (need.perS > holding.perS && now - holding.perSAt > LOWER_RATE_VALID_MS)) {
      holding.perS = need.perS;
      this.resize(key, holding);
    }
    if (need.perS <= holding.perS) holding.perSAt = now;
    return holding;
  }
}
