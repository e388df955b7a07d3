/**
 * Fleet-wide admission at one router: it judges a request against all allowed runners, and learns from what became of
 * those it let in (design/admission).
 *
 * This class owns the state; `judge.ts` decides, `predict.ts` computes, `ticket.ts` feeds back what each response
 * showed. Made once per router by the chooser. Nothing here waits or does I/O, and no call throws.
 */
import type * as runnerEndpoint from "../runners/runner-endpoint.js";
import type * as routePlan from "../routing/route-plan.js";
import type * as prefillTracker from "../runners/prefill-tracker.js";
import * as log from "../runtime/log.js";
import type * as schema from "../wire/schema.js";
import type * as types from "../wire/types.js";
import * as cellLeases from "./cell-leases.js";
import * as admissionDecider from "./admission-decider.js";
import * as lruTable from "./lru-table.js";
import * as serviceTimeModel from "./service-time-model.js";
import * as interTokenGaps from "./inter-token-gaps.js";
import * as prediction from "./prediction.js";
import * as recentRejections from "./recent-rejections.js";
import type * as cellCapacity from "./cell-capacity.js";
import * as sizeClasses from "./size-classes.js";
import * as batchAdmission from "./batch-admission.js";
import * as runnerSlowdown from "./runner-slowdown.js";
import * as admissionStatus from "./admission-status.js";
import * as admissionStats from "./admission-stats.js";
import * as attemptObserver from "./attempt-observer.js";
import * as typicalRequest from "./typical-request.js";

/** Services and routes whose learned figures are held; the least recently used make room. */
const MAX_SERVICES = 64;
const MAX_ROUTES = 256;
/** What is left of a measured lag after the next measurement. */
const LAG_DECAY = 0.5;

/** What admission reads of the router around it. */
export interface Dependencies {
  /** The runners of a region. */
  readonly runners: (region: string) => Iterable<runnerEndpoint.RunnerEndpoint>;
  /** Which prompts the runners hold, what they are reading, and how fast they read. */
  readonly prefill: prefillTracker.PrefillTracker;
  /** Routers of the fleet, this one included; 1 at least. */
  readonly routerCount: () => number;
}

/** What a prediction at one runner is made from. */
interface PredictionInput {
  place: cellCapacity.SlotUsage;
  need: prediction.TokenDemand;
  slow: runnerSlowdown.Slowdown;
  waitFactor: number;
}

function newPace(): serviceTimeModel.ServiceTimeModel {
  return new serviceTimeModel.ServiceTimeModel();
}

function newSizes(): sizeClasses.SizeClasses {
  return new sizeClasses.SizeClasses();
}

function newTypicalRequest(): typicalRequest.TypicalRequest {
  return new typicalRequest.TypicalRequest();
}

/** The admission of one router; all methods are called from its event loop. */
export class Admission implements attemptObserver.LearnedModels, admissionDecider.Knowledge {
  /** False lets every request in; learning goes on. Follows the setting `admission`. */
  isOn = true;
  readonly cellLeases: cellLeases.CellLeases;
  readonly interTokenGaps = new interTokenGaps.InterTokenGaps();
  readonly slowdowns = new runnerSlowdown.RunnerSlowdowns();
  readonly recentRejections = new recentRejections.RecentRejections();
  readonly stats: admissionStats.AdmissionStats;
  private readonly paceByService = new lruTable.LruTable<string, serviceTimeModel.ServiceTimeModel>(MAX_SERVICES, newPace);
  private readonly sizesByRoute = new lruTable.LruTable<string, sizeClasses.SizeClasses>(MAX_ROUTES, newSizes);
  private readonly typicalByRoute = new lruTable.LruTable<string, typicalRequest.TypicalRequest>(MAX_ROUTES, newTypicalRequest);
  /** How late this router's own loop ran lately, in milliseconds. */
  lagMs = 0;
  private lastTimerAt = -1;
  private readonly doorJudge = new admissionDecider.AdmissionDecider(this);

  constructor(
    readonly clock: types.Clock,
    readonly dependencies: Dependencies,
  ) {
    this.cellLeases = new cellLeases.CellLeases(clock);
    this.stats = new admissionStats.AdmissionStats(clock);
  }

  /** Takes the runner reports of one region; called after the fleet has taken the same. */
  applyReport(report: schema.CellReport): void {
    this.cellLeases.applyReport(report, this.dependencies.runners(report.region), this.dependencies.routerCount());
  }

  /** Drops what is known of runners that are no longer listed; called with each new list. */
  retainOnly(listed: { has(id: string): boolean }): void {
    this.slowdowns.retainOnly(listed);
    this.interTokenGaps.retainOnly(listed);
    this.cellLeases.retainOnly(listed);
  }

  /** Called by the router's timer every `everyMs` milliseconds: what comes later than that is this router's own lag. */
  runPeriodically(everyMs: number): void {
    const now = this.clock.now();
    if (this.lastTimerAt >= 0) this.recordLag(Math.max(0, now - this.lastTimerAt - everyMs));
    this.lastTimerAt = now;
    this.stats.detectRecovery();
  }

  /** A measured lag in milliseconds: up at once, halved with each smaller one. */
  recordLag(ms: number): void {
    this.lagMs = Math.max(ms, this.lagMs * LAG_DECAY);
  }

  /** The learned timing of a service; empty, which admits all, until responses taught it. */
  serviceTimeOf(service: string): serviceTimeModel.ServiceTimeModel {
    return this.paceByService.getOrCreate(service);
  }

  /** What a request of a route usually takes. */
  typicalRequestOf(route: string): typicalRequest.TypicalRequest {
    return this.typicalByRoute.getOrCreate(route);
  }

  /** How often requests of a route were admitted, by size. */
  sizeClassesOf(route: string): sizeClasses.SizeClasses {
    return this.sizesByRoute.getOrCreate(route);
  }

  /** What the request would take at this runner: tokens to read, to produce, and to hold. */
  demandOf(plan: routePlan.RoutePlan, runner: runnerEndpoint.RunnerEndpoint): prediction.TokenDemand {
    const { prompt, maxOutput: mostOut } = plan.requestedTokens;
    return {
      prefillTokens: plan.parts.length > 0 ? this.dependencies.prefill.uncachedTokens(runner.id, plan.parts, plan.prefixKeys) : 0,
      outputTokens: mostOut,
      totalTokens: prompt + mostOut,
    };
  }

  /** When the request would be done at this runner, with waits multiplied by `waitFactor`. */
  predict(
    plan: routePlan.RoutePlan,
    runner: runnerEndpoint.RunnerEndpoint,
    slow: runnerSlowdown.Slowdown,
    waitFactor: number,
  ): prediction.Prediction {
    return this.predictAt(plan, runner, { place: this.placeOf(plan, runner), need: this.demandOf(plan, runner), slow, waitFactor });
  }

  private placeOf(plan: routePlan.RoutePlan, runner: runnerEndpoint.RunnerEndpoint): cellCapacity.SlotUsage {
    return this.cellLeases.slotUsageOf(this.dependencies.prefill.backlogMs(runner.id, plan.now), runner);
  }

  private predictAt(plan: routePlan.RoutePlan, runner: runnerEndpoint.RunnerEndpoint, input: PredictionInput): prediction.Prediction {
    const pace = this.serviceTimeOf(plan.service);
    const { place, need, slow, waitFactor } = input;
    return prediction.predict(place, need, {
      prefillTokensPerMs: this.dependencies.prefill.tokensPerMs,
      occupancyMs: pace.occupancyMs(plan.requestedTokens.maxOutput > 0),
      tokenMs: pace.tokenMs((place.used + 1) / Math.max(1, place.capacity)),
      waitFactor,
      slowdown: slow,
      fullForMs: Math.max(0, runner.fullUntil - plan.now),
      lagMs: this.lagMs,
    });
  }

  /** Called once per request, after the other policies: null lets it in, see `Judge.judge`. */
  decide(plan: routePlan.RoutePlan): routePlan.Rejection | null {
    if (plan.isBatch) return batchAdmission.decideBatchItem(this, plan);
    return this.isOn ? this.doorJudge.decide(plan) : null;
  }

  /**
   * The request goes to this runner: its part of the room is spent, and the ticket returned must be ended exactly
   * once by whoever follows the response.
   */
  recordSend(plan: routePlan.RoutePlan, runner: runnerEndpoint.RunnerEndpoint): attemptObserver.AttemptObserver {
    if (plan.attemptedRunners.size === 0) this.recordAdmitted(plan);
    const need = this.demandOf(plan, runner);
    const ticket = new attemptObserver.AttemptObserver(this, this.sentRequestOf(plan, runner, need));
    this.cellLeases.spend(runner, need.prefillTokens + need.outputTokens);
    return ticket;
  }

  private recordAdmitted(plan: routePlan.RoutePlan): void {
    log.count("admission.admitted");
    this.recentRejections.forget(plan.retryKey);
    this.sizeClassesOf(plan.entry.route.name).record(sizeClasses.sizeOf(plan.requestedTokens.prompt, plan.requestedTokens.maxOutput), true);
  }

  private sentRequestOf(
    plan: routePlan.RoutePlan,
    runner: runnerEndpoint.RunnerEndpoint,
    need: prediction.TokenDemand,
  ): attemptObserver.SentAttempt {
    const { route } = plan.entry;
    const { rank } = plan;
    const pace = this.serviceTimeOf(plan.service);
    const waitFactor = pace.typicalWaitFactor(rank);
    const safeWaitFactor = Math.max(waitFactor, pace.waitFactor(rank, plan.now));
    const place = this.placeOf(plan, runner);
    const slow = runnerSlowdown.NO_SLOWDOWN;
    return {
      runner,
      demand: need,
      service: plan.service,
      route: route.name,
      sentAt: plan.now,
      nominal: this.predictAt(plan, runner, { place, need, slow, waitFactor }),
      waitFactor,
      conservativeFirstEventMs: this.predictAt(plan, runner, { place, need, slow, waitFactor: safeWaitFactor }).firstEventMs,
      fullness: runner.requestCount() / Math.max(1, runner.instance.capacity),
      rank,
      deadline: plan.deadline,
      gapMs: route.target_gap_ms ?? Infinity,
    };
  }

  /** The part `admission` of the router's `status`. */
  status(): unknown {
    return admissionStatus.statusOf({
      now: this.clock.now(),
      isOn: this.isOn,
      rate: this.dependencies.prefill.tokensPerMs,
      lagMs: this.lagMs,
      returners: this.recentRejections.size,
      tally: this.stats.status(),
      cells: this.cellLeases.status(),
      services: this.paceByService.entries(),
      routes: this.typicalByRoute.entries(),
    });
  }
}
