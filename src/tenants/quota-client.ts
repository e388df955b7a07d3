/**
 * A router's side of quotas (design/tenants 4.4): a request of a tenant with a limit waits for a unit, which it asks of
 * the own region's owner first and of the others when that one's part is spent or when it is silent. Units that come too
 * late for their request, or whose request was denied after all, serve the tenant's next one or go back.
 */
import * as calls from "../wire/calls.js";
import type * as tenantSchema from "../wire/tenant-schema.js";
import * as types from "../wire/types.js";
import * as log from "../runtime/log.js";
import * as quotaClaim from "./quota-claim.js";
import * as quotaSources from "./quota-sources.js";

/** A unit lives so long from when it was asked for; the owner counts it as used from its grant. */
export const UNIT_MS = 300;
/** An owner that has not replied after this and thrice its usual way is not waited for alone. */
const PATIENCE_MS = 25;
const TRIPS = 3;
/** The longest wait for a reply before another owner is asked beside. */
const MAX_PATIENCE_MS = 200;
/** Without asks for units, the owners' word on the configuration is asked for so often. */
const WORD_MS = 300;

/** Hears what an owner said of the configuration. */
export type OnWord = (epoch: types.Epoch, sentAt: types.SteadyMs) => void;

/** One for each router. */
export class QuotaClient {
  /** Units at hand by tenant. */
  private readonly held = new Map<string, quotaClaim.Unit[]>();
  private wordAt = -Infinity;
  private turns = 0;

  constructor(
    private readonly clock: types.Clock,
    private readonly owners: quotaSources.Sources,
    private readonly onWord: OnWord,
  ) {}

  /** Asks for one unit; `tell` may be called before this returns. */
  take(tenant: string, tell: (verdict: quotaClaim.Verdict) => void): quotaClaim.Claim {
    const claim = new quotaClaim.Claim(tenant, tell);
    const unit = this.takeHeld(tenant);
    if (unit) claim.settle({ kind: "granted", unit });
    else this.askNext(claim);
    return claim;
  }

  /** A unit whose request was never sent: it serves the tenant's next one, or goes back to its owner. */
  hold(tenant: string, unit: quotaClaim.Unit): void {
    const held = this.held.get(tenant);
    if (held) held.push(unit);
    else this.held.set(tenant, [unit]);
  }

  private takeHeld(tenant: string): quotaClaim.Unit | null {
    const held = this.held.get(tenant);
    if (!held) return null;
    const now = this.clock.now();
    const at = held.findIndex((unit) => unit.until > now);
    if (at < 0) return null;
    const [unit] = held.splice(at, 1);
    if (held.length === 0) this.held.delete(tenant);
    return unit;
  }

  /** The next owner that may have a unit; without one, the claim waits for replies that are out, or ends. */
  private askNext(claim: quotaClaim.Claim): void {
    let shortestMs = claim.waitMs;
    for (const source of this.owners.ordered()) {
      if (claim.asked.has(source.life) || source.isResting()) continue;
      const spentMs = source.spentMs(claim.tenant);
      if (spentMs === 0) {
        this.ask(claim, source);
        return;
      }
      shortestMs = Math.min(shortestMs, spentMs);
    }
    if (claim.pending > 0) return;
    if (Number.isFinite(shortestMs)) claim.settle({ kind: "exhausted", waitMs: shortestMs });
    else claim.settle({ kind: "unreached" });
  }

  private ask(claim: quotaClaim.Claim, source: quotaSources.Source): void {
    const { tenant } = claim;
    claim.asked.add(source.life);
    claim.pending += 1;
    const patienceMs = Math.min(MAX_PATIENCE_MS, PATIENCE_MS + TRIPS * source.control.roundTripMs);
    const tick = this.clock.schedule(patienceMs, () => this.late(claim, source));
    void this.call(source, [{ tenant, wanted: 1, unused: source.takeUnused(tenant) }]).then((reply) => {
      tick.stop();
      claim.pending -= 1;
      this.replied(claim, source, reply);
    });
  }

  /** Another owner is asked beside; the late one's reply still counts. */
  private late(claim: quotaClaim.Claim, source: quotaSources.Source): void {
    log.count("quota.owner_late");
    source.isLate = true;
    if (claim.isWaiting) this.askNext(claim);
  }

  private replied(claim: quotaClaim.Claim, source: quotaSources.Source, reply: Replied | null): void {
    const { tenant } = claim;
    const given = reply?.given[0];
    if (given && given.amount > 0) {
      const unit = { source, id: given.id, until: reply.until };
      if (reply.isLate) source.returnUnused(tenant, unit.id);
      else if (claim.isWaiting) claim.settle({ kind: "granted", unit });
      else this.hold(tenant, unit);
    } else if (given) {
      source.spend(tenant, given.waitMs);
      claim.waitMs = Math.min(claim.waitMs, given.waitMs);
    } else source.rest();
    if (claim.isWaiting) this.askNext(claim);
  }

  private async call(source: quotaSources.Source, takings: tenantSchema.Taking[]): Promise<Replied | null> {
    const sentAt = this.clock.now();
    const reply = await source.control.link.call(calls.quota, { life: source.life, takings }, UNIT_MS);
    if (!reply) return null;
    source.isLate = false;
    if (reply.isConfirmed) {
      this.wordAt = Math.max(this.wordAt, sentAt);
      this.onWord(reply.epoch, sentAt);
    }
    const until = this.endOf(sentAt);
    return { given: reply.isGranting ? reply.given : [], until, isLate: this.clock.now() >= until };
  }

  /** When a unit that was asked for then may be used no longer. */
  protected endOf(sentAt: types.SteadyMs): types.SteadyMs {
    return types.small(sentAt + UNIT_MS);
  }

  /** Called often: lets old units go, and asks for the owners' word when no ask for a unit has brought it, each in turn. */
  turn(): void {
    const now = this.clock.now();
    this.owners.sweep();
    this.expire(now);
    const all = this.owners.ordered();
    for (const source of all) {
      const takings = source.takeAllUnused();
      if (takings.length > 0) void this.call(source, takings);
    }
    if (now - this.wordAt < WORD_MS || all.length === 0) return;
    this.wordAt = now;
    this.turns += 1;
    void this.call(all[this.turns % all.length], []);
  }

  /** Units that nobody used in their time are reported to the owners that granted them. */
  private expire(now: number): void {
    for (const [tenant, held] of this.held) {
      const kept: quotaClaim.Unit[] = [];
      for (const unit of held) {
        if (unit.until > now) kept.push(unit);
        else unit.source.returnUnused(tenant, unit.id);
      }
      if (kept.length > 0) this.held.set(tenant, kept);
      else this.held.delete(tenant);
    }
  }
}

interface Replied {
  given: readonly tenantSchema.Given[];
  until: types.SteadyMs;
  /** The units came when their life was over: nobody may use them. */
  isLate: boolean;
}
