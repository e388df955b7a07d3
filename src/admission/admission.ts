// Fleet-wide admission at one router: it judges a request against all allowed runners, and learns from what
// became of those it let in (design/admission).
import type * as fleets from "../router/fleet.js";
import type * as plans from "../router/plan.js";
import type * as readings from "../router/readings.js";
import * as log from "../startup/log.js";
import type * as schema from "../wire/schema.js";
import type * as types from "../wire/types.js";
import * as accounts from "./account.js";
import * as cells from "./cells.js";
import * as paces from "./pace.js";
import * as pauses from "./pauses.js";
import * as predictions from "./predict.js";
import * as returns from "./returns.js";
import * as rooms from "./room.js";
import * as sizes from "./sizes.js";
import * as slowness from "./slowness.js";
import * as spreads from "./spread.js";
import * as tallies from "./tally.js";
import * as tickets from "./ticket.js";
import * as usuals from "./usual.js";
import * as verdicts from "./verdict.js";

const MOST_SERVICES = 64;
const MOST_ROUTES = 256;
/** The part of its spare time that a newcomer of rank 0, 1, 2 and on may wait (ours). */
const PARTS = [1, 0.5, 0.35] as const;
/** A place is of no use to what would take so many times what it has left (ours). */
const HOPELESS = 1.2;
const LAG_DECAY = 0.5;
/** A longer reading holds up the streams of its runner (ours). */
const LONG_TOKENS = 1000;

export interface Needs {
  /** Of a region. */
  readonly runners: (region: string) => Iterable<fleets.Runner>;
  readonly known: readings.Readings;
  readonly routers: () => number;
}

/** What a prediction goes by at one runner. */
interface Seen {
  place: rooms.Place;
  need: predictions.Need;
  slow: slowness.Slow;
  waitFactor: number;
}

function newPace(): paces.Pace {
  return new paces.Pace();
}

function newSizes(): sizes.Sizes {
  return new sizes.Sizes();
}

function newUsual(): usuals.Usual {
  return new usuals.Usual();
}

export class Admission implements tickets.Teacher {
  isOn = true;
  readonly cells: cells.Cells;
  readonly pauses = new pauses.Pauses();
  readonly slowness = new slowness.Slowness();
  readonly returns = new returns.Returns();
  readonly tally: tallies.Tally;
  private readonly paces = new spreads.Bounded<string, paces.Pace>(MOST_SERVICES, newPace);
  private readonly sizes = new spreads.Bounded<string, sizes.Sizes>(MOST_ROUTES, newSizes);
  private readonly usuals = new spreads.Bounded<string, usuals.Usual>(MOST_ROUTES, newUsual);
  lagMs = 0;
  private turnedAt = -1;

  constructor(
    readonly world: types.World,
    readonly needs: Needs,
  ) {
    this.cells = new cells.Cells(world);
    this.tally = new tallies.Tally(world);
  }

  takeReport(report: schema.CellReport): void {
    this.cells.takeReport(report, this.needs.runners(report.region), this.needs.routers());
  }

  forgetAllBut(standing: { has(id: string): boolean }): void {
    this.slowness.forgetAllBut(standing);
    this.pauses.forgetAllBut(standing);
    this.cells.forgetAllBut(standing);
  }

  /** Called every `everyMs`: what comes later than that is this router's own slowness. */
  turn(everyMs: number): void {
    const now = this.world.now();
    if (this.turnedAt >= 0) this.lagged(Math.max(0, now - this.turnedAt - everyMs));
    this.turnedAt = now;
    this.tally.turn();
  }

  lagged(ms: number): void {
    this.lagMs = Math.max(ms, this.lagMs * LAG_DECAY);
  }

  paceOf(service: string): paces.Pace {
    return this.paces.of(service);
  }

  usualOf(route: string): usuals.Usual {
    return this.usuals.of(route);
  }

  needOf(plan: plans.Plan, runner: fleets.Runner): predictions.Need {
    const { prompt, mostOut } = plan.asked;
    return {
      unread: plan.parts.length > 0 ? this.needs.known.unread(runner.id, plan.parts, plan.keys) : 0,
      out: mostOut,
      tokens: prompt + mostOut,
    };
  }

  predict(plan: plans.Plan, runner: fleets.Runner, slow: slowness.Slow, waitFactor: number): predictions.Prediction {
    return this.predictAt(plan, runner, { place: this.placeOf(plan, runner), need: this.needOf(plan, runner), slow, waitFactor });
  }

  private placeOf(plan: plans.Plan, runner: fleets.Runner): rooms.Place {
    return this.cells.placeOf(this.needs.known.backlogMs(runner.id, plan.now), runner);
  }

  private predictAt(plan: plans.Plan, runner: fleets.Runner, seen: Seen): predictions.Prediction {
    const pace = this.paceOf(plan.service);
    const { place, need, slow, waitFactor } = seen;
    return predictions.predict(place, need, {
      rate: this.needs.known.rate,
      heldMs: pace.heldMs(plan.asked.mostOut > 0),
      tokenMs: pace.tokenMs((place.used + 1) / Math.max(1, place.capacity)),
      waitFactor,
      slow,
      fullMs: Math.max(0, runner.fullUntil - plan.now),
      lagMs: this.lagMs,
    });
  }

  /**
   * Null lets the request in; the first runner that serves it in time is put first. It is denied only when over half
   * of the places of the allowed runners are taken and each of them is predicted to miss: its deadline; past the first
   * rank also the aim of a newcomer, and the pauses of the streams there, were a long reading added (design/admission 11).
   */
  judge(plan: plans.Plan): plans.Denial | null {
    const chosen = plan.candidates[0];
    if (!this.isOn || plan.tried.size > 0 || !chosen || this.isCalmAt(plan, chosen)) return null;
    return this.judgeAll(plan);
  }

  /** On calm days the runner policy's choice has a place free and is in time, and nothing else is looked at. */
  private isCalmAt(plan: plans.Plan, runner: fleets.Runner): boolean {
    const made = this.predict(plan, runner, this.slowness.at(runner.id, plan.now), 1);
    const aim = plan.entry.route.target_latency_ms ?? Infinity;
    return (
      made.hasPlace && !made.neverFits && made.firstMs <= aim && this.isFitting(plan, runner) && made.endMs <= plan.deadline - plan.now
    );
  }

  /** A long reading is not added where streams pause almost too long already. */
  private isFitting(plan: plans.Plan, runner: fleets.Runner): boolean {
    return !this.pauses.isPressed(runner.id, plan.now) || this.needOf(plan, runner).unread < LONG_TOKENS;
  }

  private judgeAll(plan: plans.Plan): plans.Denial | null {
    const sure = plan.candidates.filter(isSure);
    function isSure(runner: fleets.Runner): boolean {
      return !runner.isDoubtful(plan.now);
    }
    if (sure.length === 0) return null;
    const { route } = plan.entry;
    const left = plan.deadline - plan.now;
    const part = this.partFor(plan);
    const margin = this.paceOf(plan.service).margin(route.priority ?? 1, plan.now);
    // What holds long readings back may not starve the large ones of a kind.
    const isSpared = this.sizes.of(route.name).isStarved(sizes.sizeOf(plan.asked.prompt, plan.asked.mostOut));
    const aim = this.isReturning(plan) || route.priority === 0 ? Infinity : (route.target_latency_ms ?? Infinity);
    let leastMs = Infinity;
    let leastFirstMs = Infinity;
    let late: fleets.Runner | null = null;
    let free: fleets.Runner | null = null;
    for (const runner of sure) {
      const made = this.predict(plan, runner, this.slowness.at(runner.id, plan.now), margin);
      if (made.neverFits) continue;
      leastMs = Math.min(leastMs, made.endMs);
      leastFirstMs = Math.min(leastFirstMs, made.firstMs);
      if (made.endMs + made.delayMs * (1 / part - 1) <= left) {
        if (made.firstMs <= aim && (isSpared || this.isFitting(plan, runner))) return verdicts.putFirst(plan, runner);
        late ??= runner;
      }
      if (made.hasPlace && this.cells.hasLease(runner) && made.endMs <= left * HOPELESS) free ??= runner;
    }
    // Every runner is too small for it: the chain goes on as before, and the runner itself says so.
    if (leastMs === Infinity) return null;
    const room = this.cells.roomNow(sure, plan.now);
    // Nothing is denied while a place is free for it, but what cannot be done even without a wait.
    if (route.priority === 0 || rooms.isHalfEmpty(room)) {
      const taken = late ?? free;
      if (taken) return verdicts.putFirst(plan, taken);
      if (rooms.isHalfEmpty(room)) return null;
    }
    this.tally.roomAt(room);
    return this.deny(plan, Math.max(leastMs - left, leastFirstMs - aim));
  }

  private isReturning(plan: plans.Plan): boolean {
    return this.returns.times(plan.returnKey, plan.now) > 0;
  }

  /**
   * The part of its spare time that a request may wait. The lesser ranks may wait less, so that the queue stays
   * short enough for who came back, and for sizes served less often, with what time is left to them.
   */
  private partFor(plan: plans.Plan): number {
    const { route } = plan.entry;
    const isHeldBack = this.sizes.of(route.name).isHeldBack(sizes.sizeOf(plan.asked.prompt, plan.asked.mostOut));
    const part = PARTS[Math.min(PARTS.length - 1, route.priority ?? 1)];
    return this.isReturning(plan) || isHeldBack ? Math.sqrt(part) : part;
  }

  private deny(plan: plans.Plan, excessMs: number): plans.Denial {
    this.returns.note(plan.returnKey, plan.now);
    this.sizes.of(plan.entry.route.name).note(sizes.sizeOf(plan.asked.prompt, plan.asked.mostOut), false);
    log.count("admission.denied");
    log.count(`admission.denied_rank_${plan.entry.route.priority ?? 1}`);
    return verdicts.denial(plan, excessMs, this.world.random());
  }

  /** It goes to this runner: its part of the room is spent, and its reply will teach. */
  sent(plan: plans.Plan, runner: fleets.Runner): tickets.Ticket {
    const need = this.needOf(plan, runner);
    const place = this.placeOf(plan, runner);
    if (plan.tried.size === 0) {
      log.count("admission.admitted");
      this.returns.served(plan.returnKey);
      this.sizes.of(plan.entry.route.name).note(sizes.sizeOf(plan.asked.prompt, plan.asked.mostOut), true);
    }
    const tokens = need.unread + need.out;
    const rank = plan.entry.route.priority ?? 1;
    const pace = this.paceOf(plan.service);
    const waitFactor = pace.usualWait(rank);
    const ticket = new tickets.Ticket(this, {
      runner,
      need,
      service: plan.service,
      route: plan.entry.route.name,
      sentAt: plan.now,
      bare: this.predictAt(plan, runner, { place, need, slow: slowness.NONE, waitFactor }),
      waitFactor,
      sureMs: this.predictAt(plan, runner, {
        place,
        need,
        slow: slowness.NONE,
        waitFactor: Math.max(waitFactor, pace.margin(rank, plan.now)),
      }).firstMs,
      fullness: runner.usage() / Math.max(1, runner.instance.capacity),
      rank,
      deadline: plan.deadline,
      gapMs: plan.entry.route.target_gap_ms ?? Infinity,
    });
    this.cells.spend(runner, tokens);
    return ticket;
  }

  status(): unknown {
    return accounts.account(this, this.paces.entries(), this.usuals.entries());
  }
}
