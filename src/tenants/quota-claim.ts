/** A request that waits for a unit of its tenant's quota, and what became of it (design/tenants 4.4). */
import type * as types from "../wire/types.js";
import type * as quotaSources from "./quota-sources.js";

/** One unit of a tenant's quota; nobody may use it after its time, on the router's own clock. */
export interface Unit {
  /** The owner that granted it. */
  source: quotaSources.Source;
  /** Of its grant. */
  id: number;
  until: types.SteadyMs;
}

/** `exhausted`: each owner in reach said that the quota is spent; `unreached`: no owner that grants replied. */
export type Verdict = { kind: "granted"; unit: Unit } | { kind: "exhausted"; waitMs: number } | { kind: "unreached" };

/** One request's claim on one unit. */
export class Claim {
  private isOver = false;
  /** Lives of the owners that were asked for it. */
  readonly asked = new Set<string>();
  /** Asks that no reply came to yet. */
  pending = 0;
  /** The shortest wait that an owner told, in milliseconds; Infinity where none did. */
  waitMs = Infinity;

  constructor(
    readonly tenant: string,
    private readonly tell: (verdict: Verdict) => void,
  ) {}

  get isWaiting(): boolean {
    return !this.isOver;
  }

  /** Told once. */
  settle(verdict: Verdict): void {
    if (this.isOver) return;
    this.isOver = true;
    this.tell(verdict);
  }

  /** Its request is over: nothing is told any more. */
  cancel(): void {
    this.isOver = true;
  }
}
