/**
 * The leases of one router and its demand for more (design/shares 4): each lease expires on the router's own steady clock,
 * counted from when the request was sent, and is reported to its owner with the unused units.
 */
import * as leaseSchema from "../wire/lease-schema.js";
import * as types from "../wire/types.js";

const DEMAND_WINDOW_MS = 1500;
const WARM_UP_DEMAND_WINDOW_MS = 1000;
/** A lease that expires sooner does not count as available when needs are reported. */
const EXPIRING_MS = 600;
/** Sends to a warming runner are requested for this fraction of a second ahead. */
const WARM_UP_LOOKAHEAD_S = 0.3;
const MAX_REQUESTED_UNITS = 64;
const MAX_WARM_UP_UNITS = 4;
/** Warming runners for which a router requests leases at once; those demanded last come first. */
const MAX_WARM_UP_RUNNERS = 16;

/** A lease as its holder accounts for it. */
export interface Lease {
  id: number;
  ownerIncarnation: string;
  kind: leaseSchema.Kind;
  key: string;
  unitsLeft: number;
  expiresAt: number;
}

interface Demand {
  kind: leaseSchema.Kind;
  key: string;
  perS: number;
  requestedAt: number[];
  standbyUntil: number;
}

/** The leases that one router holds. */
export class RouterLeases {
  private readonly leases = new Map<string, Lease[]>();
  private readonly ended = new Map<string, leaseSchema.Done[]>();
  private readonly demands = new Map<string, Demand>();
  /** Whether something was demanded and not available since needs were reported last. */
  isShort = false;

  constructor(private readonly clock: types.Clock) {}

  /** Records a demand, whether it can be met or not. */
  recordDemand(kind: leaseSchema.Kind, key: string, perS: number): void {
    const demand = this.demandOf(kind, key, perS);
    demand.requestedAt.push(this.clock.now());
    if (demand.requestedAt.length > 2 * MAX_REQUESTED_UNITS) demand.requestedAt.shift();
  }

  /** Keeps one unit ready for a demand that may come soon, while the owners have plenty. */
  keepStandby(key: string, forMs: number): void {
    this.demandOf(leaseSchema.RETRY_BUDGET, key, 0).standbyUntil = this.clock.now() + forMs;
  }

  private demandOf(kind: leaseSchema.Kind, key: string, perS: number): Demand {
    const name = `${kind}${key}`;
    const demand = this.demands.get(name) ?? { kind, key, perS, requestedAt: [], standbyUntil: 0 };
    demand.perS = perS;
    // The one demanded last stands last.
    if (kind === leaseSchema.SLOW_START) this.demands.delete(name);
    this.demands.set(name, demand);
    return demand;
  }

  private openLeases(kind: leaseSchema.Kind, key: string): Lease[] {
    const name = `${kind}${key}`;
    const now = this.clock.now();
    const all = this.leases.get(name);
    if (!all) return [];
    const open: Lease[] = [];
    for (const lease of all) {
      if (lease.unitsLeft > 0 && lease.expiresAt > now) open.push(lease);
      else this.end(lease);
    }
    if (open.length > 0) this.leases.set(name, open);
    else this.leases.delete(name);
    return open;
  }

  private end(lease: Lease): void {
    const done = this.ended.get(lease.ownerIncarnation) ?? [];
    done.push({ id: lease.id, unused: lease.unitsLeft });
    this.ended.set(lease.ownerIncarnation, done);
    lease.ownerIncarnation = "";
    // Capacity of a warming runner is scarce: the end of this lease is reported to its owner at once.
    if (lease.kind === leaseSchema.SLOW_START) this.isShort = true;
  }

  has(kind: leaseSchema.Kind, key: string): boolean {
    return this.openLeases(kind, key).length > 0;
  }

  /** Takes one unit of the lease that expires first; null when there is none. */
  takeUnit(kind: leaseSchema.Kind, key: string): Lease | null {
    let first: Lease | null = null;
    for (const lease of this.openLeases(kind, key)) if (!first || lease.expiresAt < first.expiresAt) first = lease;
    if (first) first.unitsLeft -= 1;
    else this.isShort = true;
    return first;
  }

  /** Returns an unused unit; without effect once the end of the lease was reported. */
  giveBack(lease: Lease): void {
    if (lease.ownerIncarnation !== "") lease.unitsLeft += 1;
  }

  private availableUnits(demand: Demand, now: number): number {
    let held = 0;
    for (const lease of this.openLeases(demand.kind, demand.key))
      if (lease.expiresAt > now + EXPIRING_MS / (demand.kind === leaseSchema.SLOW_START ? 4 : 1)) held += lease.unitsLeft;
    return held;
  }

  /** What is demanded beyond the available units. */
  needs(): leaseSchema.Need[] {
    const now = this.clock.now();
    this.isShort = false;
    const needs: leaseSchema.Need[] = [];
    const cold: leaseSchema.Need[] = [];
    for (const [name, demand] of this.demands) {
      const isCold = demand.kind === leaseSchema.SLOW_START;
      const since = now - (isCold ? WARM_UP_DEMAND_WINDOW_MS : DEMAND_WINDOW_MS);
      while (demand.requestedAt.length > 0 && demand.requestedAt[0] < since) demand.requestedAt.shift();
      const isHot = demand.requestedAt.length > 0;
      const wanted = isHot
        ? isCold
          ? Math.min(MAX_WARM_UP_UNITS, Math.ceil(demand.requestedAt.length * WARM_UP_LOOKAHEAD_S))
          : Math.min(MAX_REQUESTED_UNITS, demand.requestedAt.length)
        : demand.standbyUntil > now
          ? 1
          : 0;
      const more = wanted - this.availableUnits(demand, now);
      if (wanted === 0) this.demands.delete(name);
      if (more > 0) (isCold ? cold : needs).push({ kind: demand.kind, key: demand.key, perS: demand.perS, wanted: more, isHot });
    }
    return [...needs, ...cold.slice(-MAX_WARM_UP_RUNNERS)];
  }

  /** The ended leases of that owner's incarnation, to be reported once. */
  takeEnded(ownerIncarnation: string): leaseSchema.Done[] {
    for (const [name, all] of this.leases) {
      const lease = all[0];
      if (lease && !this.demands.has(name)) this.openLeases(lease.kind, lease.key);
    }
    const done = this.ended.get(ownerIncarnation) ?? [];
    this.ended.delete(ownerIncarnation);
    return done;
  }

  /** Drops the ended leases of owners that are gone: these units count as used. */
  retainOwners(lives: ReadonlySet<string>): void {
    for (const life of this.ended.keys()) if (!lives.has(life)) this.ended.delete(life);
  }

  /** Adds the grants of a reply; sentAt: when the request was sent, on the own clock. */
  addGrants(reply: leaseSchema.LeaseReply, sentAt: number): void {
    const now = this.clock.now();
    for (const { id, kind, key, amount, lifeMs } of reply.grants) {
      const lease: Lease = { id, ownerIncarnation: reply.life, kind, key, unitsLeft: amount, expiresAt: sentAt + lifeMs };
      if (lease.expiresAt <= now) this.end(lease);
      else this.leases.set(`${kind}${key}`, [...(this.leases.get(`${kind}${key}`) ?? []), lease]);
    }
  }
}
