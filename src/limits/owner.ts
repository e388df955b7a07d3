// The owner of one slot of all bounds: takes asks, gives leases, counts what is out (design/shares 3, 4).
import * as leaseSchema from "../wire/lease-schema.js";
import * as types from "../wire/types.js";
import * as parts from "./parts.js";
import * as pool from "./pool.js";
import type * as tenure from "./tenure.js";

/** Lives of leases (*ours*): tries may wait for a failure, sends to a cold runner soon follow or are better used elsewhere. */
export const TRIES_MS = 1800;
/** The life of a lease on a cold runner, in milliseconds. */
export const COLD_MS = 1200;
/** A lease whose end is not reported by then was used whole. */
const REPORT_MS = 2000;
const SWEEP_MS = 300;
/** Routers whose configurations differ name different rates: the lower one counts for so long. */
const LOWER_MS = 2000;
const COLD_MEMORY_MS = 2000;

interface Lease {
  router: string;
  pool: Holding;
  amount: number;
  lostAt: number;
}

interface Holding {
  pool: pool.Pool;
  perS: number;
  perSAt: number;
}

/** The owner of one slot, at one control node. */
export class LeaseOwner {
  private round = -1;
  private nextId = 1;
  private sweptAt = 0;
  private readonly leases = new Map<number, Lease>();
  private readonly holdings = new Map<string, Holding>();

  constructor(
    private readonly clock: types.Clock,
    readonly life: string,
    private bounds: parts.Bounds,
    private readonly tenure: tenure.Tenure,
  ) {}

  resettle(bounds: parts.Bounds): void {
    this.bounds = bounds;
    for (const [key, holding] of this.holdings) this.resize(key, holding);
  }

  /** accepted: the newest voter epoch on the own disk; null: this node is not confirmed now, and grants nothing. */
  reply(ask: leaseSchema.LeaseAsk, accepted: types.Epoch | null): leaseSchema.LeaseReply {
    const now = this.clock.now();
    this.sweep(now);
    if (ask.life === this.life) for (const done of ask.done) this.settle(ask.router, done, now);
    const isGranting = accepted !== null && this.tenure.isGranting(accepted);
    const grants: leaseSchema.Grant[] = [];
    if (isGranting) for (const need of ask.needs) this.grant(ask.router, need, now, grants);
    return { life: this.life, isGranting, grants };
  }

  private grant(router: string, need: leaseSchema.Need, now: number, grants: leaseSchema.Grant[]): void {
    const holding = this.holdingOf(need, now);
    const amount = holding.pool.take(router, need, now);
    if (amount <= 0) return;
    const id = this.nextId;
    this.nextId += 1;
    const lifeMs = need.kind === leaseSchema.COLD ? COLD_MS : TRIES_MS;
    this.leases.set(id, { router, pool: holding, amount, lostAt: now + lifeMs + REPORT_MS });
    grants.push({ id, kind: need.kind, key: need.key, amount, lifeMs });
  }

  private settle(router: string, done: leaseSchema.Done, now: number): void {
    const lease = this.leases.get(done.id);
    if (!lease || lease.router !== router) return;
    this.leases.delete(done.id);
    lease.pool.pool.settle(router, lease.amount, Math.min(lease.amount, Math.max(0, done.unused)), now);
  }

  private sweep(now: number): void {
    if (this.round !== this.tenure.round) this.restart();
    if (now - this.sweptAt < SWEEP_MS) return;
    this.sweptAt = now;
    for (const [id, lease] of this.leases)
      if (now > lease.lostAt) this.settle(lease.router, { id, unused: this.unreported(lease.amount) }, now);
    for (const [key, holding] of this.holdings) if (holding.pool.isSpare(now)) this.holdings.delete(key);
  }

  /** Another tenure: what is out is no longer counted here; the wait for its end is the tenure's. */
  private restart(): void {
    this.round = this.tenure.round;
    this.leases.clear();
    this.holdings.clear();
  }

  /** What counts as unused of a lease whose end nobody reported: nothing. */
  protected unreported(_amount: number): number {
    return 0;
  }

  /** Since when a bound that was never asked for has been earning. */
  protected earnedSince(): number {
    return this.tenure.openAt;
  }

  private partOf(key: string, perS: number): parts.Part {
    const { slot, slots } = this.tenure;
    const name = key.slice(1);
    if (key.startsWith(String(leaseSchema.COLD))) return parts.coldPart(this.bounds, slots, slot, name, perS);
    return parts.triesPart(this.bounds, slots, slot, name);
  }

  private resize(key: string, holding: Holding): void {
    holding.pool.resize(this.partOf(key, holding.perS));
  }

  private holdingOf(need: leaseSchema.Need, now: number): Holding {
    const key = `${need.kind}${need.key}`;
    let holding = this.holdings.get(key);
    if (!holding) {
      const memoryMs = need.kind === leaseSchema.COLD ? COLD_MEMORY_MS : this.bounds.retry_window_s * 1000;
      holding = { pool: new pool.Pool(this.partOf(key, need.perS), this.earnedSince(), now, memoryMs), perS: need.perS, perSAt: now };
      this.holdings.set(key, holding);
    }
    if (need.perS < holding.perS || (need.perS > holding.perS && now - holding.perSAt > LOWER_MS)) {
      holding.perS = need.perS;
      this.resize(key, holding);
    }
    if (need.perS <= holding.perS) holding.perSAt = now;
    return holding;
  }
}
