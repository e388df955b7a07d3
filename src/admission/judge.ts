/**
 * The decision at the door (design/admission 1, 11): a request is let in, moved to a runner that serves it in time,
 * or denied with a time to come back.
 *
 * Called once per request by the last policy of the router's chain, so it is on the hot path: on calm days exactly
 * one runner is looked at.
 */
import type * as fleets from "../router/runners/fleet.js";
import type * as plans from "../router/plan.js";
import * as log from "../runtime/log.js";
import type * as types from "../wire/types.js";
import type * as cells from "./cells.js";
import type * as pace from "./pace.js";
import type * as pauses from "./pauses.js";
import type * as predict from "./predict.js";
import type * as returns from "./returns.js";
import * as rooms from "./room.js";
import * as sizes from "./sizes.js";
import type * as slowness from "./slowness.js";
import type * as tallies from "./tally.js";
import * as verdict from "./verdict.js";

/** The share of its spare time that a newcomer of rank 0, 1, 2 and on may wait (ours). */
const SPARE_SHARES = [1, 0.5, 0.35] as const;
/** A free place is of no use to a request that would take so many times the time it has left (ours). */
const HOPELESS = 1.2;
/** A prompt with at least so many unread tokens holds up the streams of its runner (ours). */
const LONG_TOKENS = 1000;

/** What the judge knows; the router's `Admission` is it. */
export interface Knowledge {
  readonly world: types.Clock;
  readonly cells: cells.Cells;
  readonly pauses: pauses.Pauses;
  readonly slowness: slowness.Slowness;
  readonly recentRejections: returns.RecentRejections;
  readonly tally: tallies.Tally;
  /** Learned timing of a service. */
  paceOf(service: string): pace.Pace;
  /** Admission of a route's requests by size. */
  sizesOf(route: string): sizes.Sizes;
  /** Tokens that the request takes at the runner. */
  needOf(plan: plans.Plan, runner: fleets.Runner): predict.Need;
  /** When it would be done there, with waits multiplied by `waitFactor`. */
  predict(plan: plans.Plan, runner: fleets.Runner, slow: slowness.Slowdown, waitFactor: number): predict.Prediction;
}

/** What one request is judged by, whatever the runner. */
interface Terms {
  /** Milliseconds until its deadline. */
  readonly leftMs: number;
  /** Milliseconds within which its first event is to come; Infinity where no aim counts. */
  readonly aimMs: number;
  readonly spareShare: number;
  /** What predicted waits are multiplied by. */
  readonly waitFactor: number;
  /** Pauses of other streams do not hold it back: its size was admitted far too seldom. */
  readonly ignoresPauses: boolean;
}

/** What looking at the runners came to. */
interface Survey {
  /** The first that serves it in time and within its aim; the rest was not looked at. */
  best: fleets.Runner | null;
  /** The first that serves it by its deadline. */
  late: fleets.Runner | null;
  /** The first with a free place for it. */
  free: fleets.Runner | null;
  /** The earliest predicted end and first event over the runners that can take it at all; Infinity without one. */
  leastEndMs: number;
  leastFirstMs: number;
}

function sizeOf(plan: plans.Plan): number {
  return sizes.sizeOf(plan.asked.prompt, plan.asked.mostOut);
}

/** The decision for one request; it holds no state of its own. */
export class Judge {
  constructor(private readonly known: Knowledge) {}

  /**
   * Null lets the request in; the first runner that serves it in time is put first. It is denied only when over half
   * of the places of the allowed runners are taken and each of them is predicted to miss: its deadline; past the first
   * rank also the aim of a newcomer, and the pauses of the streams there, were a long reading added (design/admission 11).
   */
  judge(plan: plans.Plan): plans.Rejection | null {
    const chosen = plan.candidates[0];
    if (plan.tried.size > 0 || !chosen || this.isCalmAt(plan, chosen)) return null;
    return this.judgeAll(plan);
  }

  /** On calm days the runner policy's choice has a place free and is in time, and nothing else is looked at. */
  private isCalmAt(plan: plans.Plan, runner: fleets.Runner): boolean {
    const predicted = this.known.predict(plan, runner, this.known.slowness.at(runner.id, plan.now), 1);
    const aimMs = plan.entry.route.target_latency_ms ?? Infinity;
    return (
      predicted.hasPlace &&
      !predicted.neverFits &&
      predicted.firstMs <= aimMs &&
      this.mayAddPrompt(plan, runner) &&
      predicted.endMs <= plan.deadline - plan.now
    );
  }

  /** A long reading is not added where streams pause almost too long already. */
  private mayAddPrompt(plan: plans.Plan, runner: fleets.Runner): boolean {
    return !this.known.pauses.isNearLimit(runner.id, plan.now) || this.known.needOf(plan, runner).unread < LONG_TOKENS;
  }

  private judgeAll(plan: plans.Plan): plans.Rejection | null {
    const sure = plan.candidates.filter(isSure);
    function isSure(runner: fleets.Runner): boolean {
      return !runner.isSuspect(plan.now);
    }
    if (sure.length === 0) return null;
    const terms = this.termsOf(plan);
    const survey = this.survey(plan, sure, terms);
    if (survey.best) return verdict.putFirst(plan, survey.best);
    // Every runner is too small for it: the chain goes on as before, and the runner itself says so.
    if (survey.leastEndMs === Infinity) return null;
    const room = this.known.cells.roomNow(sure, plan.now);
    // Nothing is denied while a place is free for it, but what cannot be done even without a wait.
    if (plan.rank === 0 || rooms.isHalfEmpty(room)) {
      const taken = survey.late ?? survey.free;
      if (taken) return verdict.putFirst(plan, taken);
      if (rooms.isHalfEmpty(room)) return null;
    }
    this.known.tally.recordUnusedRoom(room);
    return this.deny(plan, Math.max(survey.leastEndMs - terms.leftMs, survey.leastFirstMs - terms.aimMs));
  }

  private termsOf(plan: plans.Plan): Terms {
    const { route } = plan.entry;
    const rank = plan.rank;
    const hasAim = rank !== 0 && !this.isReturning(plan);
    return {
      leftMs: plan.deadline - plan.now,
      aimMs: hasAim ? (route.target_latency_ms ?? Infinity) : Infinity,
      spareShare: this.spareShareOf(plan),
      waitFactor: this.known.paceOf(plan.service).waitFactor(rank, plan.now),
      // What holds long readings back may not starve the large ones of a kind.
      ignoresPauses: this.known.sizesOf(route.name).isStarved(sizeOf(plan)),
    };
  }

  /** Looks at the runners in the order of the plan, up to the first that serves the request as it should be. */
  private survey(plan: plans.Plan, runners: readonly fleets.Runner[], terms: Terms): Survey {
    const found: Survey = { best: null, late: null, free: null, leastEndMs: Infinity, leastFirstMs: Infinity };
    for (const runner of runners) {
      const predicted = this.known.predict(plan, runner, this.known.slowness.at(runner.id, plan.now), terms.waitFactor);
      if (predicted.neverFits) continue;
      found.leastEndMs = Math.min(found.leastEndMs, predicted.endMs);
      found.leastFirstMs = Math.min(found.leastFirstMs, predicted.firstMs);
      if (isInTime(predicted, terms)) {
        if (predicted.firstMs <= terms.aimMs && (terms.ignoresPauses || this.mayAddPrompt(plan, runner))) {
          found.best = runner;
          return found;
        }
        found.late ??= runner;
      }
      if (predicted.hasPlace && this.known.cells.hasLease(runner) && predicted.endMs <= terms.leftMs * HOPELESS) found.free ??= runner;
    }
    return found;
  }

  private isReturning(plan: plans.Plan): boolean {
    return this.known.recentRejections.count(plan.returnKey, plan.now) > 0;
  }

  /**
   * The share of its spare time that a request may wait. The lesser ranks may wait less, so that the queue stays
   * short enough for who came back, and for sizes served less often, with what time is left to them.
   */
  private spareShareOf(plan: plans.Plan): number {
    const isHeldBack = this.known.sizesOf(plan.entry.route.name).isHeldBack(sizeOf(plan));
    const share = SPARE_SHARES[Math.min(SPARE_SHARES.length - 1, plan.rank)];
    return this.isReturning(plan) || isHeldBack ? Math.sqrt(share) : share;
  }

  private deny(plan: plans.Plan, excessMs: number): plans.Rejection {
    this.known.recentRejections.recordRejection(plan.returnKey, plan.now);
    this.known.sizesOf(plan.entry.route.name).record(sizeOf(plan), false);
    log.count("admission.denied");
    log.count(`admission.denied_rank_${plan.rank}`);
    return verdict.rejection(plan, excessMs, this.known.world.random());
  }
}

/** Done by the deadline, with no more of the spare time waited away than the request may. */
function isInTime(predicted: predict.Prediction, terms: Terms): boolean {
  return predicted.endMs + predicted.delayMs * (1 / terms.spareShare - 1) <= terms.leftMs;
}
