/** What one slot's owner holds of one tenant's quota: a token bucket whose refill never runs twice (design/tenants 4.3). */
import type * as quotaPart from "./quota-part.js";

/** A unit may come back unused for so long after its grant, in ms: its life, and the way of the report. */
export const RETURN_MS = 700;
/** Rounding of sums of fractions must not withhold a whole unit. */
const EPSILON = 1e-9;
/** Denials of so long are what a waiting router competes with, in milliseconds. */
const CONTENTION_MS = 1000;
/** Of those that were denied lately, one in so many asks again for each unit that comes in. */
const ASKERS_A_UNIT = 4;
const MAX_CONTENDED_WAIT_MS = 1000;

interface Granted {
  at: number;
  units: number;
}

/**
 * Invariant: level + what may still come back <= burst. So what is used within any window, whatever comes back in it, is
 * at most the burst and the refill of the window.
 */
export class QuotaBucket {
  private level: number;
  /** Grants that may still come back by their ids, the oldest first. */
  private readonly out = new Map<number, Granted>();
  private outUnits = 0;
  private denials = 0;
  private deniedAt: number;

  /** at: when the slot's owner began, with what its part starts with; ms of the own clock. */
  constructor(
    private part: quotaPart.QuotaPart,
    private at: number,
    now: number,
  ) {
    this.level = part.start;
    this.deniedAt = now;
    this.refill(now);
  }

  /** Another limit is in force: what was earned under the former one is kept, up to the new burst. */
  resize(part: quotaPart.QuotaPart, now: number): void {
    this.refill(now);
    this.part = part;
    this.refill(now);
  }

  private refill(now: number): void {
    for (const [id, { at, units }] of this.out) {
      if (at >= now - RETURN_MS) break;
      this.out.delete(id);
      this.outUnits -= units;
    }
    const most = Math.max(0, this.part.burst - this.outUnits);
    this.level = Math.min(most, this.level + Math.max(0, now - this.at) * this.part.perMs);
    this.at = Math.max(this.at, now);
  }

  /** How many of the wanted units are granted now, under an id that is used once. */
  take(wanted: number, id: number, now: number): number {
    this.refill(now);
    const units = Math.max(0, Math.min(wanted, Math.floor(this.level + EPSILON)));
    if (units > 0) {
      this.level -= units;
      this.out.set(id, { at: now, units });
      this.outUnits += units;
    }
    if (units < wanted) this.deny(wanted - units, now);
    return units;
  }

  private deny(units: number, now: number): void {
    this.denials = this.denials * Math.exp((this.deniedAt - now) / CONTENTION_MS) + units;
    this.deniedAt = now;
  }

  /** A unit of that grant was not used; it comes back unless the grant is too old. */
  giveBack(id: number, now: number): void {
    this.refill(now);
    const granted = this.out.get(id);
    if (!granted || granted.units === 0) return;
    granted.units -= 1;
    this.outUnits -= 1;
    this.level += 1;
  }

  /** Milliseconds until it is worth to ask again: until a unit is there, longer the more were denied one lately. */
  waitMs(now: number): number {
    this.refill(now);
    if (this.level + EPSILON >= 1) return 0;
    const { burst, perMs } = this.part;
    if (perMs <= 0 || burst < 1) return Infinity;
    const contendedMs = Math.min(MAX_CONTENDED_WAIT_MS, this.denials / ASKERS_A_UNIT / perMs);
    return Math.ceil(Math.max((1 - this.level) / perMs, contendedMs));
  }

  /** Full: one that is made anew later would be the same. */
  isSpare(now: number): boolean {
    this.refill(now);
    return this.outUnits === 0 && this.level >= this.part.burst;
  }
}
