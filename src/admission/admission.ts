/**
 * Fleet-wide admission control at one router: each request is decided on against all allowed runners, by models that
 * are learned from the outcomes of admitted requests (design/admission).
 *
 * This class owns the state: `admission-decider.ts` decides, `prediction.ts` computes, `attempt-observer.ts` records
 * what each response shows. Created once a router by the chooser. Nothing here waits or does I/O, and no call throws.
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

/** Services and routes that models are kept for; the least recently used are evicted. */
const MAX_SERVICES = 64;
const MAX_ROUTES = 256;
/** The factor that a measured lag decays by with each further measurement. */
const LAG_DECAY = 0.5;

/** What admission needs to know from the router. */
export interface Dependencies {
  /** The runners of a region. */
  readonly runners: (region: string) => Iterable<runnerEndpoint.RunnerEndpoint>;
  /** Which prompts the runners have cached, their prefill backlog, and the speed of prefill. */
  readonly prefill: prefillTracker.PrefillTracker;
  /** Routers of the fleet, including this one; at least 1. */
  readonly routerCount: () => number;
}

/** The input of a prediction at one runner. */
interface PredictionInput {
  usage: cellCapacity.SlotUsage;
  demand: prediction.TokenDemand;
  slow: runnerSlowdown.Slowdown;
  waitFactor: number;
}

/** The admission control of one router; all methods are called from its event loop. */
export class Admission implements attemptObserver.LearnedModels, admissionDecider.Knowledge {
  /** False admits every request; the models still learn. Follows the setting `admission`. */
  isOn = true;
  readonly cellLeases: cellLeases.CellLeases;
  readonly interTokenGaps = new interTokenGaps.InterTokenGaps();
  readonly slowdowns = new runnerSlowdown.RunnerSlowdowns();
  readonly recentRejections = new recentRejections.RecentRejections();
  readonly stats: admissionStats.AdmissionStats;
  private readonly serviceTimeByService = new lruTable.LruTable<string, serviceTimeModel.ServiceTimeModel>(
    MAX_SERVICES,
    () => new serviceTimeModel.ServiceTimeModel(),
  );
  private readonly sizeClassesByRoute = new lruTable.LruTable<string, sizeClasses.SizeClasses>(
    MAX_ROUTES,
    () => new sizeClasses.SizeClasses(),
  );
  private readonly typicalRequestByRoute = new lruTable.LruTable<string, typicalRequest.TypicalRequest>(
    MAX_ROUTES,
    () => new typicalRequest.TypicalRequest(),
  );
  /** Recent lag of this router's event loop, in milliseconds. */
  lagMs = 0;
  private lastTimerAt = -1;
  private readonly decider = new admissionDecider.AdmissionDecider(this);

  constructor(
    readonly clock: types.Clock,
    readonly dependencies: Dependencies,
  ) {
    this.cellLeases = new cellLeases.CellLeases(clock);
    this.stats = new admissionStats.AdmissionStats(clock);
  }

  /** Applies the load reports of one region; called after the fleet has applied the same. */
  applyReport(report: schema.CellReport): void {
    this.cellLeases.applyReport(report, this.dependencies.runners(report.region), this.dependencies.routerCount());
  }

  /** Drops the state of runners that are no longer listed; called with each new list. */
  retainOnly(listed: { has(id: string): boolean }): void {
    this.slowdowns.retainOnly(listed);
    this.interTokenGaps.retainOnly(listed);
    this.cellLeases.retainOnly(listed);
  }

  /** Called by the router's timer every `everyMs` milliseconds; any delay beyond that is lag of the event loop. */
  runPeriodically(everyMs: number): void {
    const now = this.clock.now();
    if (this.lastTimerAt >= 0) this.recordLag(Math.max(0, now - this.lastTimerAt - everyMs));
    this.lastTimerAt = now;
    this.stats.detectRecovery();
  }

  /** Records a measured lag in milliseconds: rises at once, halves with each smaller one. */
  recordLag(ms: number): void {
    this.lagMs = Math.max(ms, this.lagMs * LAG_DECAY);
  }

  /** The learned timing of a service; admits all requests until responses were observed. */
  serviceTimeOf(service: string): serviceTimeModel.ServiceTimeModel {
    return this.serviceTimeByService.getOrCreate(service);
  }

  /** What a request of a route usually takes. */
  typicalRequestOf(route: string): typicalRequest.TypicalRequest {
    return this.typicalRequestByRoute.getOrCreate(route);
  }

  /** How often requests of a route were admitted, by size. */
  sizeClassesOf(route: string): sizeClasses.SizeClasses {
    return this.sizeClassesByRoute.getOrCreate(route);
  }

  /** The tokens that the request would take at this runner: uncached prompt, output, and both together. */
  demandOf(plan: routePlan.RoutePlan, runner: runnerEndpoint.RunnerEndpoint): prediction.TokenDemand {
    const { prompt, maxOutput } = plan.requestedTokens;
    return {
      prefillTokens: plan.parts.length > 0 ? this.dependencies.prefill.uncachedTokens(runner.id, plan.parts, plan.prefixKeys) : 0,
      outputTokens: maxOutput,
      totalTokens: prompt + maxOutput,
    };
  }

  /** When the request would be complete at this runner, with waits multiplied by `waitFactor`. */
  predict(
    plan: routePlan.RoutePlan,
    runner: runnerEndpoint.RunnerEndpoint,
    slow: runnerSlowdown.Slowdown,
    waitFactor: number,
  ): prediction.Prediction {
    return this.predictAt(plan, runner, { usage: this.slotUsageOf(plan, runner), demand: this.demandOf(plan, runner), slow, waitFactor });
  }

  private slotUsageOf(plan: routePlan.RoutePlan, runner: runnerEndpoint.RunnerEndpoint): cellCapacity.SlotUsage {
    return this.cellLeases.slotUsageOf(this.dependencies.prefill.backlogMs(runner.id, plan.now), runner);
  }

  private predictAt(plan: routePlan.RoutePlan, runner: runnerEndpoint.RunnerEndpoint, input: PredictionInput): prediction.Prediction {
    const serviceTime = this.serviceTimeOf(plan.service);
    const { usage, demand, slow, waitFactor } = input;
    return prediction.predict(usage, demand, {
      prefillTokensPerMs: this.dependencies.prefill.tokensPerMs,
      occupancyMs: serviceTime.occupancyMs(plan.requestedTokens.maxOutput > 0),
      tokenMs: serviceTime.tokenMs((usage.used + 1) / Math.max(1, usage.capacity)),
      waitFactor,
      slowdown: slow,
      fullForMs: Math.max(0, runner.fullUntil - plan.now),
      lagMs: this.lagMs,
    });
  }

  /** Called once a request, after the other policies; null admits it, see `AdmissionDecider.decide`. */
  decide(plan: routePlan.RoutePlan): routePlan.Rejection | null {
    if (plan.isBatch) return batchAdmission.decideBatchItem(this, plan);
    return this.isOn ? this.decider.decide(plan) : null;
  }

  /**
   * The request is sent to this runner: it takes a slot of the cell's lease. The caller has to call `recordEnd` of the
   * observer returned when the attempt ends.
   */
  recordSend(plan: routePlan.RoutePlan, runner: runnerEndpoint.RunnerEndpoint): attemptObserver.AttemptObserver {
    if (plan.attemptedRunners.size === 0) this.recordAdmitted(plan);
    const demand = this.demandOf(plan, runner);
    const observer = new attemptObserver.AttemptObserver(this, this.describeAttempt(plan, runner, demand));
    this.cellLeases.spend(runner, demand.prefillTokens + demand.outputTokens);
    return observer;
  }

  private recordAdmitted(plan: routePlan.RoutePlan): void {
    log.count("admission.admitted");
    this.recentRejections.forget(plan.retryKey);
    this.sizeClassesOf(plan.entry.route.name).record(sizeClasses.sizeOf(plan.requestedTokens.prompt, plan.requestedTokens.maxOutput), true);
  }

  private describeAttempt(
    plan: routePlan.RoutePlan,
    runner: runnerEndpoint.RunnerEndpoint,
    demand: prediction.TokenDemand,
  ): attemptObserver.SentAttempt {
    const { route } = plan.entry;
    const { rank } = plan;
    const serviceTime = this.serviceTimeOf(plan.service);
    const waitFactor = serviceTime.typicalWaitFactor(rank);
    const conservativeWaitFactor = Math.max(waitFactor, serviceTime.waitFactor(rank, plan.now));
    const usage = this.slotUsageOf(plan, runner);
    const slow = runnerSlowdown.NO_SLOWDOWN;
    return {
      runner,
      demand,
      service: plan.service,
      route: route.name,
      sentAt: plan.now,
      nominal: this.predictAt(plan, runner, { usage, demand, slow, waitFactor }),
      waitFactor,
      conservativeFirstEventMs: this.predictAt(plan, runner, { usage, demand, slow, waitFactor: conservativeWaitFactor }).firstEventMs,
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
      services: this.serviceTimeByService.entries(),
      routes: this.typicalRequestByRoute.entries(),
    });
  }
}
