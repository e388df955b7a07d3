/** Requests the leases that this router needs from the control nodes it has links to (design/shares 4). */
import * as calls from "../wire/calls.js";
import * as leaseSchema from "../wire/lease-schema.js";
import * as types from "../wire/types.js";
import type * as controlNode from "../feed/control-node.js";
import type * as dialer from "../feed/dialer.js";
import type * as leasedLimits from "../limits/leased-limits.js";

/** Without needs, an owner is polled this often for whether it grants. */
const IDLE_REQUEST_INTERVAL_MS = 900;
const REQUEST_INTERVAL_MS = 300;
const REPLY_TIMEOUT_MS = 1800;

interface LeaseSource {
  isGranting: boolean;
  requestedAt: number;
}

/** The part of a need that one of the owners is asked for: urgent retries are rounded up, the remainder of all else rotates. */
export function splitNeed(need: leaseSchema.Need, index: number, ownerCount: number, round: number): leaseSchema.Need | null {
  const base = Math.floor(need.wanted / ownerCount);
  const remainder = need.wanted % ownerCount;
  const isNext = (index + round) % ownerCount < remainder;
  const wanted = base + (isNext || (need.isHot && need.kind === leaseSchema.RETRY_BUDGET && remainder > 0) ? 1 : 0);
  return wanted > 0 ? { ...need, wanted } : null;
}

/** One for each router. */
export class LimitBorrower {
  private readonly sources = new Map<string, LeaseSource>();
  private roundNumber = 0;
  private requestedAt = -Infinity;

  constructor(
    private readonly clock: types.Clock,
    private readonly incarnation: string,
    private readonly dial: dialer.Dialer,
    private readonly limits: leasedLimits.LeasedLimits,
  ) {}

  /** Called often: requests at once when a lease was missing, otherwise once an interval. */
  runPeriodically(): void {
    const now = this.clock.now();
    if (now - this.requestedAt < REQUEST_INTERVAL_MS && !this.limits.leases.isShort) return;
    this.requestedAt = now;
    this.roundNumber += 1;
    const needs = this.limits.leases.needs();
    const controls = [...this.dial.controls.values()];
    const incarnations = new Set(controls.map(incarnationOf));
    for (const incarnation of this.sources.keys()) if (!incarnations.has(incarnation)) this.sources.delete(incarnation);
    this.limits.leases.retainOwners(incarnations);
    const owners = controls.filter((control) => this.isOwner(control)).sort(byAddress);
    for (const control of controls) {
      const index = owners.indexOf(control);
      const own: leaseSchema.Need[] = [];
      for (const need of needs) {
        const part = index < 0 ? null : splitNeed(need, index, owners.length, this.roundNumber);
        if (part) own.push(part);
      }
      this.requestFrom(control, own, now);
    }
  }

  /** A control node that was not asked yet may be an owner. */
  private isOwner(control: controlNode.ControlNode): boolean {
    return this.sources.get(control.node.life)?.isGranting ?? true;
  }

  private requestFrom(control: controlNode.ControlNode, needs: leaseSchema.Need[], now: number): void {
    const { life } = control.node;
    const done = this.limits.leases.takeEnded(life);
    const source = this.sources.get(life) ?? { isGranting: true, requestedAt: -Infinity };
    if (needs.length === 0 && done.length === 0 && now - source.requestedAt < IDLE_REQUEST_INTERVAL_MS) return;
    source.requestedAt = now;
    this.sources.set(life, source);
    const request = { router: this.incarnation, life, needs, done };
    void control.link.call(calls.lease, request, REPLY_TIMEOUT_MS).then((reply) => {
      source.isGranting = reply?.isGranting ?? false;
      if (reply) this.limits.grant(reply, now);
    });
  }
}

function incarnationOf(control: controlNode.ControlNode): string {
  return control.node.life;
}

function byAddress(left: controlNode.ControlNode, right: controlNode.ControlNode): number {
  return left.address < right.address ? -1 : 1;
}
