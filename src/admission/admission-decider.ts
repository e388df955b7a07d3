/**
 * The admission decision for a request (design/admission 1, 11): it is admitted at the chosen runner, admitted at
 * another one that is predicted to serve it in time, or rejected with a time to retry after.
 *
 * Called once a request by the last policy of the router's chain, so it is on the hot path: without contention exactly
 * one runner is examined.
 */
import type * as runnerEndpoint from "../runners/runner-endpoint.js";
import type * as routePlan from "../routing/route-plan.js";
import * as log from "../runtime/log.js";
import type * as types from "../wire/types.js";
import type * as cellLeases from "./cell-leases.js";
import type * as serviceTimeModel from "./service-time-model.js";
import type * as interTokenGaps from "./inter-token-gaps.js";
import type * as prediction from "./prediction.js";
import type * as recentRejections from "./recent-rejections.js";
import * as cellCapacity from "./cell-capacity.js";
import * as sizeClasses from "./size-classes.js";
import type * as runnerSlowdown from "./runner-slowdown.js";
import type * as admissionStats from "./admission-stats.js";
import * as admissionDecision from "./admission-decision.js";

/** The fraction of its slack (the time to spare until its deadline) that a request of rank 0, 1, and 2 or more may wait (ours). */
const SLACK_FRACTION_BY_RANK = [1, 0.5, 0.35] as const;
/** A free slot is of no use to a request that is predicted to take more than this times its remaining time (ours). */
const MAX_OVERRUN_FACTOR = 1.2;
/** The prefill of a prompt with at least this many uncached tokens delays the streams of its runner (ours). */
const MIN_LONG_PREFILL_TOKENS = 1000;

/** What the decision is based on; implemented by `Admission`. */
export interface Knowledge {
  readonly clock: types.Clock;
  readonly cellLeases: cellLeases.CellLeases;
  readonly interTokenGaps: interTokenGaps.InterTokenGaps;
  readonly slowdowns: runnerSlowdown.RunnerSlowdowns;
  readonly recentRejections: recentRejections.RecentRejections;
  readonly stats: admissionStats.AdmissionStats;
  /** The learned timing of a service. */
  serviceTimeOf(service: string): serviceTimeModel.ServiceTimeModel;
  /** How often a route's requests were admitted, by size. */
  sizeClassesOf(route: string): sizeClasses.SizeClasses;
  /** The tokens that the request takes at the runner. */
  demandOf(plan: routePlan.RoutePlan, runner: runnerEndpoint.RunnerEndpoint): prediction.TokenDemand;
  /** When the request would be complete there, with waits multiplied by `waitFactor`. */
  predict(
    plan: routePlan.RoutePlan,
    runner: runnerEndpoint.RunnerEndpoint,
    slow: runnerSlowdown.Slowdown,
    waitFactor: number,
  ): prediction.Prediction;
}

/** What a request requires of any runner. */
interface Criteria {
  /** Milliseconds until the deadline. */
  readonly remainingMs: number;
  /** Milliseconds until the first event is due; Infinity without a latency target. */
  readonly latencyTargetMs: number;
  /** The fraction of the slack that may be spent waiting. */
  readonly slackFraction: number;
  /** What predicted waits are multiplied by. */
  readonly waitFactor: number;
  /** The gaps of other streams do not count, since requests of this size were admitted far too seldom. */
  readonly ignoresGaps: boolean;
}

/** The result of examining the runners. */
interface Survey {
  /** The first that meets all criteria; the runners after it were not examined. */
  best: runnerEndpoint.RunnerEndpoint | null;
  /** The first that meets the deadline. */
  inTime: runnerEndpoint.RunnerEndpoint | null;
  /** The first with a free slot. */
  free: runnerEndpoint.RunnerEndpoint | null;
  /** The earliest predictions over the runners whose memory is large enough; Infinity without one. */
  minCompletionMs: number;
  minFirstEventMs: number;
}

function sizeOf(plan: routePlan.RoutePlan): number {
  return sizeClasses.sizeOf(plan.requestedTokens.prompt, plan.requestedTokens.maxOutput);
}

/** Complete by the deadline, with no more of the slack spent waiting than the request may. */
function isInTime(predicted: prediction.Prediction, criteria: Criteria): boolean {
  return predicted.completionMs + predicted.delayMs * (1 / criteria.slackFraction - 1) <= criteria.remainingMs;
}

/** Decides on requests; has no state of its own. */
export class AdmissionDecider {
  constructor(private readonly known: Knowledge) {}

  /**
   * Null admits the request, with the first runner that serves it in time moved to the front. A request is rejected
   * only when at least half of the slots of the allowed runners are used and each runner is predicted to miss its
   * deadline; for ranks after the first, also the latency target (of a request that was not rejected lately) or the
   * allowed gaps of the streams there, were a long prefill added (design/admission 11).
   */
  decide(plan: routePlan.RoutePlan): routePlan.Rejection | null {
    const chosen = plan.candidates[0];
    if (plan.attemptedRunners.size > 0 || !chosen || this.isUncontendedAt(plan, chosen)) return null;
    return this.decideOverAll(plan);
  }

  /** Whether the runner policy's choice has a free slot and serves the request in time: no other runner is examined. */
  private isUncontendedAt(plan: routePlan.RoutePlan, runner: runnerEndpoint.RunnerEndpoint): boolean {
    const predicted = this.known.predict(plan, runner, this.known.slowdowns.slowdownOf(runner.id, plan.now), 1);
    const latencyTargetMs = plan.entry.route.target_latency_ms ?? Infinity;
    return (
      predicted.hasFreeSlot &&
      !predicted.neverFits &&
      predicted.firstEventMs <= latencyTargetMs &&
      this.mayAddPrefill(plan, runner) &&
      predicted.completionMs <= plan.deadline - plan.now
    );
  }

  /** A long prefill is not added where the gaps of the streams are near their limit. */
  private mayAddPrefill(plan: routePlan.RoutePlan, runner: runnerEndpoint.RunnerEndpoint): boolean {
    return (
      !this.known.interTokenGaps.isNearLimit(runner.id, plan.now) ||
      this.known.demandOf(plan, runner).prefillTokens < MIN_LONG_PREFILL_TOKENS
    );
  }

  private decideOverAll(plan: routePlan.RoutePlan): routePlan.Rejection | null {
    const unsuspected = plan.candidates.filter((runner) => !runner.isSuspect(plan.now));
    if (unsuspected.length === 0) return null;
    const criteria = this.criteriaOf(plan);
    const survey = this.surveyRunners(plan, unsuspected, criteria);
    if (survey.best) return admissionDecision.admitAt(plan, survey.best);
    // No runner's memory is large enough: the chain goes on, and the runner itself rejects the request.
    if (survey.minCompletionMs === Infinity) return null;
    const capacity = this.known.cellLeases.capacityNow(unsuspected, plan.now);
    // While a slot is free, only a request that cannot be complete in time even without a wait is rejected.
    if (plan.rank === 0 || cellCapacity.isUnderHalfUsed(capacity)) {
      const runner = survey.inTime ?? survey.free;
      if (runner) return admissionDecision.admitAt(plan, runner);
      if (cellCapacity.isUnderHalfUsed(capacity)) return null;
    }
    this.known.stats.recordUnusedCapacity(capacity);
    return this.reject(plan, Math.max(survey.minCompletionMs - criteria.remainingMs, survey.minFirstEventMs - criteria.latencyTargetMs));
  }

  private criteriaOf(plan: routePlan.RoutePlan): Criteria {
    const { route } = plan.entry;
    const rank = plan.rank;
    const hasLatencyTarget = rank !== 0 && !this.wasRejectedLately(plan);
    return {
      remainingMs: plan.deadline - plan.now,
      latencyTargetMs: hasLatencyTarget ? (route.target_latency_ms ?? Infinity) : Infinity,
      slackFraction: this.slackFractionOf(plan),
      waitFactor: this.known.serviceTimeOf(plan.service).waitFactor(rank, plan.now),
      // The limit on gaps delays long prefills; it must not starve the large requests of a route.
      ignoresGaps: this.known.sizeClassesOf(route.name).isStarved(sizeOf(plan)),
    };
  }

  /** Examines the runners in the order of the plan, up to the first that meets all criteria. */
  private surveyRunners(plan: routePlan.RoutePlan, runners: readonly runnerEndpoint.RunnerEndpoint[], criteria: Criteria): Survey {
    const found: Survey = { best: null, inTime: null, free: null, minCompletionMs: Infinity, minFirstEventMs: Infinity };
    for (const runner of runners) {
      const predicted = this.known.predict(plan, runner, this.known.slowdowns.slowdownOf(runner.id, plan.now), criteria.waitFactor);
      if (predicted.neverFits) continue;
      found.minCompletionMs = Math.min(found.minCompletionMs, predicted.completionMs);
      found.minFirstEventMs = Math.min(found.minFirstEventMs, predicted.firstEventMs);
      if (isInTime(predicted, criteria)) {
        if (predicted.firstEventMs <= criteria.latencyTargetMs && (criteria.ignoresGaps || this.mayAddPrefill(plan, runner))) {
          found.best = runner;
          return found;
        }
        found.inTime ??= runner;
      }
      if (
        predicted.hasFreeSlot &&
        this.known.cellLeases.hasLeasedSlot(runner) &&
        predicted.completionMs <= criteria.remainingMs * MAX_OVERRUN_FACTOR
      )
        found.free ??= runner;
    }
    return found;
  }

  private wasRejectedLately(plan: routePlan.RoutePlan): boolean {
    return this.known.recentRejections.count(plan.retryKey, plan.now) > 0;
  }

  /**
   * The fraction of its slack that a request may wait. Less urgent ranks may wait less, so that the queues stay short
   * enough for requests that were rejected before and for sizes that are admitted less often.
   */
  private slackFractionOf(plan: routePlan.RoutePlan): number {
    const isDisadvantaged = this.known.sizeClassesOf(plan.entry.route.name).isDisadvantaged(sizeOf(plan));
    const fraction = SLACK_FRACTION_BY_RANK[Math.min(SLACK_FRACTION_BY_RANK.length - 1, plan.rank)];
    return this.wasRejectedLately(plan) || isDisadvantaged ? Math.sqrt(fraction) : fraction;
  }

  private reject(plan: routePlan.RoutePlan, excessMs: number): routePlan.Rejection {
    this.known.recentRejections.record(plan.retryKey, plan.now);
    this.known.sizeClassesOf(plan.entry.route.name).record(sizeOf(plan), false);
    log.count("admission.denied");
    log.count(`admission.denied_rank_${plan.rank}`);
    return admissionDecision.reject(plan, excessMs, this.known.clock.random());
  }
}
