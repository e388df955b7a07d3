/** A request's claim on a unit of its tenant's quota, and its outcome (design/tenants 4.4). */
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

/** `exhausted`: each reachable owner replied that the quota is spent; `unreached`: no owner that grants replied. */
export type ClaimOutcome = { kind: "granted"; unit: Unit } | { kind: "exhausted"; waitMs: number } | { kind: "unreached" };

/** One request's claim on one unit. */
export class Claim {
  private isResolved = false;
  /** Incarnations of the owners that it was requested from. */
  readonly requestedOwners = new Set<string>();
  /** Requests without a reply yet. */
  pendingReplies = 0;
  /** The shortest wait that an owner replied, in milliseconds; Infinity where none did. */
  waitMs = Infinity;

  constructor(
    readonly tenant: string,
    private readonly notify: (verdict: ClaimOutcome) => void,
  ) {}

  get isPending(): boolean {
    return !this.isResolved;
  }

  /** Notifies the request of its outcome, once. */
  resolve(verdict: ClaimOutcome): void {
    if (this.isResolved) return;
    this.isResolved = true;
    this.notify(verdict);
  }

  /** Its request has ended: it is not notified any more. */
  cancel(): void {
    this.isResolved = true;
  }
}
