/**
 * The units of one limit at its owner, and which router gets them: max-min fairness over what each got lately (design/shares
 * 3, 5). Level + outstanding never exceeds the burst.
 */
import * as leaseSchema from "../wire/lease-schema.js";
import type * as limitShares from "./limit-shares.js";

const CLAIM_VALID_MS = 700;
const FAIR_LEVEL_VALID_MS = 100;
/** Standby leases are granted only from the units above this fraction of the burst. */
const STANDBY_RESERVE_RATIO = 0.5;

interface Claim {
  wanted: number;
  isHot: boolean;
  at: number;
  got: number;
  gotAt: number;
  leased: number;
}

/** The token pool of one limit at one owner. */
export class TokenPool {
  private level: number;
  private at: number;
  private outstanding = 0;
  private fairLevel = 0;
  private fairLevelAt = -Infinity;
  readonly claims = new Map<string, Claim>();

  /** earnedSince: refill counts from then on, with nothing there at first. memoryMs: how long a grant counts against its router. */
  constructor(
    private part: limitShares.LimitShare,
    earnedSince: number,
    now: number,
    private readonly memoryMs: number,
  ) {
    this.level = 0;
    this.at = Math.min(earnedSince, now);
    this.refill(now);
  }

  resize(part: limitShares.LimitShare): void {
    this.part = part;
  }

  private refill(now: number): void {
    const most = Math.max(0, this.part.burst - this.outstanding);
    this.level = Math.min(most, this.level + (now - this.at) * this.part.perMs);
    this.at = now;
  }

  /** Whether it is idle and full, so that a new pool made later would be the same. */
  isIdleAndFull(now: number): boolean {
    this.refill(now);
    for (const [router, claim] of this.claims) if (now - claim.at > 2 * this.memoryMs) this.claims.delete(router);
    return this.outstanding === 0 && this.level >= this.part.burst && this.claims.size === 0;
  }

  /** Grants units to a router by its need; returns how many. */
  grant(router: string, need: leaseSchema.Need, now: number): number {
    this.refill(now);
    const claim = this.claimOf(router, now);
    claim.wanted = need.wanted;
    claim.isHot = need.isHot;
    claim.at = now;
    const amount = Math.max(
      0,
      Math.min(need.wanted, Math.floor(this.level + 1e-9), need.isHot ? this.fairAmount(claim, now) : this.standbyAmount(claim)),
    );
    this.level -= amount;
    this.outstanding += amount;
    claim.leased += amount;
    claim.got += amount;
    claim.wanted -= amount;
    return amount;
  }

  /** Ends a lease: unused units return to the pool, the rest was used. */
  endLease(router: string, amount: number, unused: number, now: number): void {
    this.refill(now);
    this.outstanding -= amount;
    this.level += unused;
    const claim = this.claims.get(router);
    if (!claim) return;
    claim.leased -= amount;
    claim.got = Math.max(0, claim.got - unused);
  }

  private claimOf(router: string, now: number): Claim {
    let claim = this.claims.get(router);
    if (!claim) {
      claim = { wanted: 0, isHot: false, at: now, got: 0, gotAt: now, leased: 0 };
      this.claims.set(router, claim);
    }
    this.decay(claim, now);
    return claim;
  }

  private decay(claim: Claim, now: number): void {
    claim.got *= Math.exp((claim.gotAt - now) / this.memoryMs);
    claim.gotAt = now;
  }

  private standbyAmount(claim: Claim): number {
    if (claim.leased > 0 || this.level - 1 < this.part.burst * STANDBY_RESERVE_RATIO) return 0;
    return 1;
  }

  private fairAmount(claim: Claim, now: number): number {
    if (now - this.fairLevelAt >= FAIR_LEVEL_VALID_MS) {
      this.fairLevel = this.waterLevel(now);
      this.fairLevelAt = now;
    }
    // A claim that is new since the fair level was computed is as low as any.
    return Math.ceil(Math.max(this.fairLevel, 1e-6) - claim.got - 1e-9);
  }

  /** The height to which the level fills the claims, each starting at what it got lately (water-filling, max-min). */
  private waterLevel(now: number): number {
    const steps: { at: number; slope: number }[] = [];
    for (const claim of this.claims.values()) {
      if (!claim.isHot || now - claim.at > CLAIM_VALID_MS || claim.wanted <= 0) continue;
      this.decay(claim, now);
      steps.push({ at: claim.got, slope: 1 }, { at: claim.got + claim.wanted, slope: -1 });
    }
    steps.sort((left, right) => left.at - right.at);
    let left = this.level;
    let open = 0;
    let height = steps[0]?.at ?? 0;
    for (const step of steps) {
      const cost = open * (step.at - height);
      if (open > 0 && cost >= left) return height + left / open;
      left -= cost;
      height = step.at;
      open += step.slope;
    }
    return Infinity;
  }
}
