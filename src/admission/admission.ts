/**
 * Fleet-wide admission at one router: it judges a request against all allowed runners, and learns from what became of
 * those it let in (design/admission).
 *
 * This class owns the state; `judge.ts` decides, `predict.ts` computes, `ticket.ts` feeds back what each response
 * showed. Made once per router by the chooser. Nothing here waits or does I/O, and no call throws.
 */
import type * as fleets from "../router/runners/fleet.js";
import type * as plans from "../router/plan.js";
import type * as readings from "../router/runners/readings.js";
import * as log from "../runtime/log.js";
import type * as schema from "../wire/schema.js";
import type * as types from "../wire/types.js";
import * as cells from "./cells.js";
import * as judge from "./judge.js";
import * as lru from "./lru.js";
import * as pace from "./pace.js";
import * as pauses from "./pauses.js";
import * as predict from "./predict.js";
import * as returns from "./returns.js";
import type * as rooms from "./room.js";
import * as sizes from "./sizes.js";
import * as spare from "./spare.js";
import * as slowness from "./slowness.js";
import * as status from "./status.js";
import * as tallies from "./tally.js";
import * as tickets from "./ticket.js";
import * as typical from "./typical.js";

/** Services and routes whose learned figures are held; the least recently used make room. */
const MAX_SERVICES = 64;
const MAX_ROUTES = 256;
/** What is left of a measured lag after the next measurement. */
const LAG_DECAY = 0.5;

/** What admission reads of the router around it. */
export interface Dependencies {
  /** The runners of a region. */
  readonly runners: (region: string) => Iterable<fleets.Runner>;
  /** Which prompts the runners hold, what they are reading, and how fast they read. */
  readonly known: readings.Readings;
  /** Routers of the fleet, this one included; 1 at least. */
  readonly routers: () => number;
}

/** What a prediction at one runner is made from. */
interface PredictionInput {
  place: rooms.Place;
  need: predict.Need;
  slow: slowness.Slowdown;
  waitFactor: number;
}

function newPace(): pace.Pace {
  return new pace.Pace();
}

function newSizes(): sizes.Sizes {
  return new sizes.Sizes();
}

function newTypicalRequest(): typical.TypicalRequest {
  return new typical.TypicalRequest();
}

/** The admission of one router; all methods are called from its event loop. */
export class Admission implements tickets.Learner, judge.Knowledge {
  /** False lets every request in; learning goes on. Follows the setting `admission`. */
  isOn = true;
  readonly cells: cells.Cells;
  readonly pauses = new pauses.Pauses();
  readonly slowness = new slowness.Slowness();
  readonly recentRejections = new returns.RecentRejections();
  readonly tally: tallies.Tally;
  private readonly paceByService = new lru.LruTable<string, pace.Pace>(MAX_SERVICES, newPace);
  private readonly sizesByRoute = new lru.LruTable<string, sizes.Sizes>(MAX_ROUTES, newSizes);
  private readonly typicalByRoute = new lru.LruTable<string, typical.TypicalRequest>(MAX_ROUTES, newTypicalRequest);
  /** How late this router's own loop ran lately, in milliseconds. */
  lagMs = 0;
  private lastTimerAt = -1;
  private readonly doorJudge = new judge.Judge(this);

  constructor(
    readonly world: types.Clock,
    readonly dependencies: Dependencies,
  ) {
    this.cells = new cells.Cells(world);
    this.tally = new tallies.Tally(world);
  }

  /** Takes the runner reports of one region; called after the fleet has taken the same. */
  takeReport(report: schema.CellReport): void {
    this.cells.takeReport(report, this.dependencies.runners(report.region), this.dependencies.routers());
  }

  /** Drops what is known of runners that are no longer listed; called with each new list. */
  forgetAllBut(listed: { has(id: string): boolean }): void {
    this.slowness.retainOnly(listed);
    this.pauses.retainOnly(listed);
    this.cells.retainOnly(listed);
  }

  /** Called by the router's timer every `everyMs` milliseconds: what comes later than that is this router's own lag. */
  turn(everyMs: number): void {
    const now = this.world.now();
    if (this.lastTimerAt >= 0) this.recordLag(Math.max(0, now - this.lastTimerAt - everyMs));
    this.lastTimerAt = now;
    this.tally.onTimer();
  }

  /** A measured lag in milliseconds: up at once, halved with each smaller one. */
  recordLag(ms: number): void {
    this.lagMs = Math.max(ms, this.lagMs * LAG_DECAY);
  }

  /** The learned timing of a service; empty, which admits all, until responses taught it. */
  paceOf(service: string): pace.Pace {
    return this.paceByService.getOrCreate(service);
  }

  /** What a request of a route usually takes. */
  typicalOf(route: string): typical.TypicalRequest {
    return this.typicalByRoute.getOrCreate(route);
  }

  /** How often requests of a route were admitted, by size. */
  sizesOf(route: string): sizes.Sizes {
    return this.sizesByRoute.getOrCreate(route);
  }

  /** What the request would take at this runner: tokens to read, to produce, and to hold. */
  needOf(plan: plans.Plan, runner: fleets.Runner): predict.Need {
    const { prompt, mostOut } = plan.asked;
    return {
      unread: plan.parts.length > 0 ? this.dependencies.known.unread(runner.id, plan.parts, plan.keys) : 0,
      out: mostOut,
      tokens: prompt + mostOut,
    };
  }

  /** When the request would be done at this runner, with waits multiplied by `waitFactor`. */
  predict(plan: plans.Plan, runner: fleets.Runner, slow: slowness.Slowdown, waitFactor: number): predict.Prediction {
    return this.predictAt(plan, runner, { place: this.placeOf(plan, runner), need: this.needOf(plan, runner), slow, waitFactor });
  }

  private placeOf(plan: plans.Plan, runner: fleets.Runner): rooms.Place {
    return this.cells.placeOf(this.dependencies.known.backlogMs(runner.id, plan.now), runner);
  }

  private predictAt(plan: plans.Plan, runner: fleets.Runner, input: PredictionInput): predict.Prediction {
    const pace = this.paceOf(plan.service);
    const { place, need, slow, waitFactor } = input;
    return predict.predict(place, need, {
      rate: this.dependencies.known.rate,
      heldMs: pace.heldMs(plan.asked.mostOut > 0),
      tokenMs: pace.tokenMs((place.used + 1) / Math.max(1, place.capacity)),
      waitFactor,
      slowdown: slow,
      fullForMs: Math.max(0, runner.fullUntil - plan.now),
      lagMs: this.lagMs,
    });
  }

  /** Called once per request, after the other policies: null lets it in, see `Judge.judge`. */
  judge(plan: plans.Plan): plans.Rejection | null {
    if (plan.isBatch) return spare.judge(this, plan);
    return this.isOn ? this.doorJudge.judge(plan) : null;
  }

  /**
   * The request goes to this runner: its part of the room is spent, and the ticket returned must be ended exactly
   * once by whoever follows the response.
   */
  sent(plan: plans.Plan, runner: fleets.Runner): tickets.Ticket {
    if (plan.tried.size === 0) this.recordAdmitted(plan);
    const need = this.needOf(plan, runner);
    const ticket = new tickets.Ticket(this, this.sentRequestOf(plan, runner, need));
    this.cells.spend(runner, need.unread + need.out);
    return ticket;
  }

  private recordAdmitted(plan: plans.Plan): void {
    log.count("admission.admitted");
    this.recentRejections.forget(plan.returnKey);
    this.sizesOf(plan.entry.route.name).record(sizes.sizeOf(plan.asked.prompt, plan.asked.mostOut), true);
  }

  private sentRequestOf(plan: plans.Plan, runner: fleets.Runner, need: predict.Need): tickets.SentRequest {
    const { route } = plan.entry;
    const { rank } = plan;
    const pace = this.paceOf(plan.service);
    const waitFactor = pace.typicalWaitFactor(rank);
    const safeWaitFactor = Math.max(waitFactor, pace.waitFactor(rank, plan.now));
    const place = this.placeOf(plan, runner);
    const slow = slowness.NO_SLOWDOWN;
    return {
      runner,
      need,
      service: plan.service,
      route: route.name,
      sentAt: plan.now,
      nominal: this.predictAt(plan, runner, { place, need, slow, waitFactor }),
      waitFactor,
      safeFirstMs: this.predictAt(plan, runner, { place, need, slow, waitFactor: safeWaitFactor }).firstMs,
      fullness: runner.usage() / Math.max(1, runner.instance.capacity),
      rank,
      deadline: plan.deadline,
      gapMs: route.target_gap_ms ?? Infinity,
    };
  }

  /** The part `admission` of the router's `status`. */
  status(): unknown {
    return status.statusOf({
      now: this.world.now(),
      isOn: this.isOn,
      rate: this.dependencies.known.rate,
      lagMs: this.lagMs,
      returners: this.recentRejections.size,
      tally: this.tally.status(),
      cells: this.cells.status(),
      services: this.paceByService.entries(),
      routes: this.typicalByRoute.entries(),
    });
  }
}
