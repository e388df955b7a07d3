/**
 * The decision at the door (design/admission 1, 11): a request is let in, moved to a runner that serves it in time,
 * or denied with a time to come back.
 *
 * Called once per request by the last policy of the router's chain, so it is on the hot path: on calm days exactly
 * one runner is looked at.
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

/** The share of its spare time that a newcomer of rank 0, 1, 2 and on may wait (ours). */
const SLACK_FRACTION_BY_RANK = [1, 0.5, 0.35] as const;
/** A free place is of no use to a request that would take so many times the time it has left (ours). */
const MAX_OVERRUN_FACTOR = 1.2;
/** A prompt with at least so many unread tokens holds up the streams of its runner (ours). */
const MIN_LONG_PREFILL_TOKENS = 1000;

/** What the judge knows; the router's `Admission` is it. */
export interface Knowledge {
  readonly clock: types.Clock;
  readonly cellLeases: cellLeases.CellLeases;
  readonly interTokenGaps: interTokenGaps.InterTokenGaps;
  readonly slowdowns: runnerSlowdown.RunnerSlowdowns;
  readonly recentRejections: recentRejections.RecentRejections;
  readonly stats: admissionStats.AdmissionStats;
  /** Learned timing of a service. */
  serviceTimeOf(service: string): serviceTimeModel.ServiceTimeModel;
  /** Admission of a route's requests by size. */
  sizeClassesOf(route: string): sizeClasses.SizeClasses;
  /** Tokens that the request takes at the runner. */
  demandOf(plan: routePlan.RoutePlan, runner: runnerEndpoint.RunnerEndpoint): prediction.TokenDemand;
  /** When it would be done there, with waits multiplied by `waitFactor`. */
  predict(
    plan: routePlan.RoutePlan,
    runner: runnerEndpoint.RunnerEndpoint,
    slow: runnerSlowdown.Slowdown,
    waitFactor: number,
  ): prediction.Prediction;
}

/** What one request is judged by, whatever the runner. */
interface Criteria {
  /** Milliseconds until its deadline. */
  readonly remainingMs: number;
  /** Milliseconds within which its first event is to come; Infinity where no aim counts. */
  readonly latencyTargetMs: number;
  readonly slackFraction: number;
  /** What predicted waits are multiplied by. */
  readonly waitFactor: number;
  /** Pauses of other streams do not hold it back: its size was admitted far too seldom. */
  readonly ignoresGaps: boolean;
}

/** What looking at the runners came to. */
interface Survey {
  /** The first that serves it in time and within its aim; the rest was not looked at. */
  best: runnerEndpoint.RunnerEndpoint | null;
  /** The first that serves it by its deadline. */
  inTime: runnerEndpoint.RunnerEndpoint | null;
  /** The first with a free place for it. */
  free: runnerEndpoint.RunnerEndpoint | null;
  /** The earliest predicted end and first event over the runners that can take it at all; Infinity without one. */
  minCompletionMs: number;
  minFirstEventMs: number;
}

function sizeOf(plan: routePlan.RoutePlan): number {
  return sizeClasses.sizeOf(plan.requestedTokens.prompt, plan.requestedTokens.maxOutput);
}

/** The decision for one request; it holds no state of its own. */
export class AdmissionDecider {
  constructor(private readonly known: Knowledge) {}

  /**
   * Null lets the request in; the first runner that serves it in time is put first. It is denied only when over half
   * of the places of the allowed runners are taken and each of them is predicted to miss: its deadline; past the first
   * rank also the aim of a newcomer, and the pauses of the streams there, were a long reading added (design/admission 11).
   */
  decide(plan: routePlan.RoutePlan): routePlan.Rejection | null {
    const chosen = plan.candidates[0];
    if (plan.attemptedRunners.size > 0 || !chosen || this.isUncontendedAt(plan, chosen)) return null;
    return this.decideOverAll(plan);
  }

  /** On calm days the runner policy's choice has a place free and is in time, and nothing else is looked at. */
  private isUncontendedAt(plan: routePlan.RoutePlan, runner: runnerEndpoint.RunnerEndpoint): boolean {
    const predicted = this.known.predict(plan, runner, this.known.slowdowns.slowdownOf(runner.id, plan.now), 1);
    const latencyTargetMs = plan.entry.route.target_latency_ms ?? Infinity;
    return (
      predicted.hasFreeSlot &&
      !predicted.neverFits &&
      predicted.firstEventMs <= latencyTargetMs &&
      this.mayAddPrompt(plan, runner) &&
      predicted.completionMs <= plan.deadline - plan.now
    );
  }

  /** A long reading is not added where streams pause almost too long already. */
  private mayAddPrompt(plan: routePlan.RoutePlan, runner: runnerEndpoint.RunnerEndpoint): boolean {
    return (
      !this.known.interTokenGaps.isNearLimit(runner.id, plan.now) ||
      this.known.demandOf(plan, runner).prefillTokens < MIN_LONG_PREFILL_TOKENS
    );
  }

  private decideOverAll(plan: routePlan.RoutePlan): routePlan.Rejection | null {
    const unsuspected = plan.candidates.filter(isSure);
    function isSure(runner: runnerEndpoint.RunnerEndpoint): boolean {
      return !runner.isSuspect(plan.now);
    }
    if (unsuspected.length === 0) return null;
    const criteria = this.criteriaOf(plan);
    const survey = this.survey(plan, unsuspected, criteria);
    if (survey.best) return admissionDecision.admitAt(plan, survey.best);
    // Every runner is too small for it: the chain goes on as before, and the runner itself says so.
    if (survey.minCompletionMs === Infinity) return null;
    const room = this.known.cellLeases.capacityNow(unsuspected, plan.now);
    // Nothing is denied while a place is free for it, but what cannot be done even without a wait.
    if (plan.rank === 0 || cellCapacity.isUnderHalfUsed(room)) {
      const taken = survey.inTime ?? survey.free;
      if (taken) return admissionDecision.admitAt(plan, taken);
      if (cellCapacity.isUnderHalfUsed(room)) return null;
    }
    this.known.stats.recordUnusedCapacity(room);
    return this.deny(plan, Math.max(survey.minCompletionMs - criteria.remainingMs, survey.minFirstEventMs - criteria.latencyTargetMs));
  }

  private criteriaOf(plan: routePlan.RoutePlan): Criteria {
    const { route } = plan.entry;
    const rank = plan.rank;
    const hasLatencyTarget = rank !== 0 && !this.isReturning(plan);
    return {
      remainingMs: plan.deadline - plan.now,
      latencyTargetMs: hasLatencyTarget ? (route.target_latency_ms ?? Infinity) : Infinity,
      slackFraction: this.slackFractionOf(plan),
      waitFactor: this.known.serviceTimeOf(plan.service).waitFactor(rank, plan.now),
      // What holds long readings back may not starve the large ones of a kind.
      ignoresGaps: this.known.sizeClassesOf(route.name).isStarved(sizeOf(plan)),
    };
  }

  /** Looks at the runners in the order of the plan, up to the first that serves the request as it should be. */
  private survey(plan: routePlan.RoutePlan, runners: readonly runnerEndpoint.RunnerEndpoint[], criteria: Criteria): Survey {
    const found: Survey = { best: null, inTime: null, free: null, minCompletionMs: Infinity, minFirstEventMs: Infinity };
    for (const runner of runners) {
      const predicted = this.known.predict(plan, runner, this.known.slowdowns.slowdownOf(runner.id, plan.now), criteria.waitFactor);
      if (predicted.neverFits) continue;
      found.minCompletionMs = Math.min(found.minCompletionMs, predicted.completionMs);
      found.minFirstEventMs = Math.min(found.minFirstEventMs, predicted.firstEventMs);
      if (isInTime(predicted, criteria)) {
        if (predicted.firstEventMs <= criteria.latencyTargetMs && (criteria.ignoresGaps || this.mayAddPrompt(plan, runner))) {
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

  private isReturning(plan: routePlan.RoutePlan): boolean {
    return this.known.recentRejections.count(plan.retryKey, plan.now) > 0;
  }

  /**
   * The share of its spare time that a request may wait. The lesser ranks may wait less, so that the queue stays
   * short enough for who came back, and for sizes served less often, with what time is left to them.
   */
  private slackFractionOf(plan: routePlan.RoutePlan): number {
    const isHeldBack = this.known.sizeClassesOf(plan.entry.route.name).isHeldBack(sizeOf(plan));
    const share = SLACK_FRACTION_BY_RANK[Math.min(SLACK_FRACTION_BY_RANK.length - 1, plan.rank)];
    return this.isReturning(plan) || isHeldBack ? Math.sqrt(share) : share;
  }

  private deny(plan: routePlan.RoutePlan, excessMs: number): routePlan.Rejection {
    this.known.recentRejections.record(plan.retryKey, plan.now);
    this.known.sizeClassesOf(plan.entry.route.name).record(sizeOf(plan), false);
    log.count("admission.denied");
    log.count(`admission.denied_rank_${plan.rank}`);
    return admissionDecision.reject(plan, excessMs, this.known.clock.random());
  }
}

/** Done by the deadline, with no more of the spare time waited away than the request may. */
function isInTime(predicted: prediction.Prediction, criteria: Criteria): boolean {
  return predicted.completionMs + predicted.delayMs * (1 / criteria.slackFraction - 1) <= criteria.remainingMs;
}
