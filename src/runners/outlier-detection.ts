// The status of a runner from what became of the requests sent to it, from here and elsewhere (design/status 3).
import * as log from "../runtime/log.js";
import type * as types from "../wire/types.js";
import * as peerGroup from "./peer-group.js";
import * as decayingSum from "./decaying-sum.js";
import * as outlierState from "./outlier-state.js";
import * as zoneRotation from "./zone-rotation.js";
import * as failureKind from "./failure-kind.js";

const SUSPECT_SCORE = 0.5;
const CLEAR_SCORE = 0.25;
const EJECT_SCORE = 1.9;
/** Of the sends there by all routers. */
const EJECT_SEND_FRACTION = 0.15;
const PROBATION_EJECT_SCORE = 0.9;
const PEER_SCORE_FACTOR = 3;
const RATE_HALF_LIFE_MS = 4000;
const MIN_FAILURES = 1.5;
const MIN_FAILURE_RATE = 0.25;
const HEALTHY_FAILURE_RATE = 0.1;
const MIN_HEALTHY_SAMPLES = 3;
const INITIAL_EJECTION_MS = 1000;
const MAX_EJECTION_MS = 6000;
const EJECTIONS_HALF_LIFE_MS = 20_000;
const PROBATION_STEP_MS = 600;
const PROBATION_PERCENTS = [10, 25, 50, 75];
/** From this step on probation takes what may not be repeated, too, if a trial of this router came back well. */
const NON_IDEMPOTENT_PERCENT = 50;
const FAILURE_BACKOFF_MS = 700;
const MAX_FAILURE_BACKOFF_MS = 4000;
const REPORT_WINDOW_MS = 900;
/** A router tells one runner no more often: two tellings within the window are of two routers. */
export const REPORT_INTERVAL_MS = 1000;
const PENALTY_MS = 150;
const MAX_PENALTY = 3;
const NON_IDEMPOTENT_FACTOR = 2;
const SLOW_FACTOR = 4;
const MIN_SLOW_EXCESS_MS = { response: 250, stream_start: 250, gap: 60 } as const;
const OVERDUE_FACTOR = 4;
const MIN_OVERDUE_MS = 700;

/** The outcomes at one runner. */
export class OutlierDetector {
  private state: outlierState.OutlierState = "good";
  private stateSince = 0;
  private ejectedUntil = 0;
  private readonly score = new decayingSum.DecayingSum(peerGroup.SCORE_HALF_LIFE_MS);
  private readonly ownScore = new decayingSum.DecayingSum(peerGroup.SCORE_HALF_LIFE_MS);
  private readonly failures = new decayingSum.DecayingSum(RATE_HALF_LIFE_MS);
  private readonly samples = new decayingSum.DecayingSum(RATE_HALF_LIFE_MS);
  private readonly slowResponses = new decayingSum.DecayingSum(RATE_HALF_LIFE_MS);
  private readonly timedResponses = new decayingSum.DecayingSum(RATE_HALF_LIFE_MS);
  private readonly ejections = new decayingSum.DecayingSum(EJECTIONS_HALF_LIFE_MS);
  private peers = new peerGroup.PeerGroup();
  private failureStreak = 0;
  private failingUntil = 0;
  private lastFailureAt = -Infinity;
  private remoteReports = 0;
  private remoteReportsSince = -Infinity;
  private publishedAt = -Infinity;
  private hasUnpublishedFailure = false;
  succeededAt = -Infinity;

  constructor(private readonly id: types.RunnerId) {
    this.peers.join(this.state);
  }

  /** Compared with these from now on. */
  joinPeerGroup(peers: peerGroup.PeerGroup): void {
    this.peers.leave(this.state);
    this.peers = peers;
    peers.join(this.state);
  }

  leavePeerGroup(): void {
    this.joinPeerGroup(new peerGroup.PeerGroup());
  }

  /** The one place where the status changes. */
  private transition(to: outlierState.OutlierState, now: number, why: string): void {
    const from = this.state;
    if (from === to || !outlierState.isTransitionAllowed(from, to)) return;
    this.peers.recordTransition(from, to);
    this.state = to;
    this.stateSince = now;
    if (to === "ejected") {
      this.ejections.add(1, now);
      this.ejectedUntil = now + Math.min(MAX_EJECTION_MS, INITIAL_EJECTION_MS * 2 ** (this.ejections.read(now) - 1));
    }
    log.count(`runner.${to}`);
    if (to === "ejected" || (from === "probation" && to === "good")) log.state(`runner ${this.id}: ${from} -> ${to}, ${why}`);
  }

  /** Makes the transitions that are due by time alone, and returns the state. */
  update(now: number): outlierState.OutlierState {
    if (this.state === "good") return "good";
    const score = this.score.read(now);
    if (this.state === "suspected" && score < CLEAR_SCORE) this.transition("good", now, "calm");
    // What still goes wrong there with work sent before keeps it out a little longer.
    if (
      this.state === "ejected" &&
      now >= this.ejectedUntil &&
      (score < PROBATION_EJECT_SCORE || now >= this.ejectedUntil + MAX_EJECTION_MS)
    )
      this.transition("probation", now, "time is up");
    if (this.state === "probation" && this.probationStep(now) >= PROBATION_PERCENTS.length)
      this.transition("good", now, "probation is over");
    return this.state;
  }

  private probationStep(now: number): number {
    return Math.floor((now - this.stateSince) / PROBATION_STEP_MS);
  }

  recordSend(now: number): void {
    this.peers.countSend(now);
  }

  /** A request that came back whole and well. */
  recordSuccess(now: number): void {
    this.samples.add(1, now);
    this.failureStreak = 0;
    this.failingUntil = 0;
    this.succeededAt = now;
  }

  /** One sign of this router's own. Local ones are not told: the way may be at fault, and the way is ours alone. */
  recordFailure(failure: failureKind.FailureKind, now: number, isLoaded: boolean, isLocal = false): void {
    log.count(`runner.failure_${failure}`);
    const weight = failureKind.LOAD_RELATED_FAILURES.has(failure) && isLoaded ? 0 : failureKind.FAILURE_WEIGHTS.get(failure)!;
    if (weight === 0) return;
    // What breaks in one moment breaks of one cause.
    if (now - this.lastFailureAt < 1) return;
    this.lastFailureAt = now;
    this.samples.add(1, now);
    this.failures.add(Math.min(1, weight), now);
    this.ownScore.add(weight, now);
    if (!failureKind.LOAD_RELATED_FAILURES.has(failure)) {
      // A silent way holds each request up for long: no trials there while the doubt is fresh.
      this.failureStreak += failure === "unreached" ? 2 : 1;
      this.failingUntil = now + Math.min(MAX_FAILURE_BACKOFF_MS, FAILURE_BACKOFF_MS * this.failureStreak);
    }
    if (!isLocal) this.hasUnpublishedFailure = true;
    this.addScore(weight, now, `${failure}, ${this.rateText(now)}`);
  }

  /** A failure of another router. */
  recordRemoteReport(now: number): void {
    if (now - this.remoteReportsSince >= REPORT_WINDOW_MS) {
      this.remoteReportsSince = now;
      this.remoteReports = 0;
    }
    this.remoteReports += 1;
    this.addScore(1, now, "reported by other routers");
  }

  private addScore(weight: number, now: number, why: string): void {
    const state = this.update(now);
    this.score.add(weight, now);
    this.peers.addScore(weight, now);
    if (state === "ejected") return;
    if (this.isOutlier(now, state)) {
      if (this.peers.canEject()) {
        this.transition("ejected", now, why);
        return;
      }
      log.count("runner.ejection_withheld");
    }
    if (state === "good" && this.score.read(now) >= SUSPECT_SCORE) this.transition("suspected", now, why);
  }

  /** Never from one sign of one router alone, unless it stands on probation for earlier ones. */
  private isOutlier(now: number, state: outlierState.OutlierState): boolean {
    const score = this.score.read(now);
    if (score < PEER_SCORE_FACTOR * this.peers.meanPeerScore(score, now)) return false;
    if (state === "probation") return score >= PROBATION_EJECT_SCORE;
    const all = this.samples.read(now);
    const bad = this.failures.read(now);
    if (bad >= MIN_FAILURES && bad >= all * MIN_FAILURE_RATE) return true;
    if (score < Math.max(EJECT_SCORE, EJECT_SEND_FRACTION * this.peers.meanSends(now))) return false;
    if (all >= MIN_HEALTHY_SAMPLES && bad < all * HEALTHY_FAILURE_RATE) return false;
    return this.ownScore.read(now) >= SUSPECT_SCORE || this.remoteReports >= 2;
  }

  /** Time to the first byte, or between events, against the median of the siblings at alike work. */
  recordDuration(work: peerGroup.WorkKind, tokens: number, ms: number, now: number, isLoaded: boolean): void {
    const median = this.peers.recordDuration(work, tokens, ms);
    if (median === null) return;
    this.timedResponses.add(1, now);
    if (ms < median * SLOW_FACTOR || ms - median < MIN_SLOW_EXCESS_MS[work]) return;
    this.slowResponses.add(1, now);
    this.recordFailure("slow", now, isLoaded);
  }

  overdueMs(work: peerGroup.WorkKind, tokens: number): number {
    return MIN_OVERDUE_MS + OVERDUE_FACTOR * (this.peers.medianMs(work, tokens) ?? MIN_OVERDUE_MS);
  }

  /** A fresh failure of this router's own, not followed by a success. */
  isFailing(now: number): boolean {
    return now < this.failingUntil;
  }

  /** May this request go there as though nothing were wrong? */
  admits(now: number, isRepeatable: boolean, requestId: types.RequestId): boolean {
    const state = this.update(now);
    if (state === "ejected") return false;
    if (state === "probation") {
      const percent = PROBATION_PERCENTS[this.probationStep(now)] ?? 100;
      const isProved = percent >= NON_IDEMPOTENT_PERCENT && this.succeededAt > this.stateSince;
      return (isRepeatable || isProved) && zoneRotation.isWithinPercent(percent, requestId);
    }
    return !this.isFailing(now) || (isRepeatable && this.failureStreak <= 1);
  }

  /** What a choice pays for doubt; a request that may not be repeated pays more. */
  penaltyMs(now: number, isRepeatable: boolean): number {
    if (this.update(now) === "good") return 0;
    return Math.min(MAX_PENALTY, this.score.read(now)) * PENALTY_MS * (isRepeatable ? 1 : NON_IDEMPOTENT_FACTOR);
  }

  /** Whether others should hear of it now, of failures or of silence; asked a few times a second. */
  takeReport(now: number, isQuiet: boolean): boolean {
    if ((!this.hasUnpublishedFailure && !isQuiet) || now - this.publishedAt < REPORT_INTERVAL_MS) return false;
    this.hasUnpublishedFailure = false;
    // What most siblings show has its cause elsewhere, perhaps here.
    if (this.peers.isWidespread()) return false;
    this.publishedAt = now;
    return true;
  }

  rates(now: number): { failing: number; samples: number; slow: number; timed: number; score: number } {
    const all = this.samples.read(now);
    const timed = this.timedResponses.read(now);
    return {
      failing: roundToHundredths(all > 0 ? this.failures.read(now) / all : 0),
      samples: roundToHundredths(all),
      slow: roundToHundredths(timed > 0 ? this.slowResponses.read(now) / timed : 0),
      timed: roundToHundredths(timed),
      score: roundToHundredths(this.score.read(now)),
    };
  }

  private rateText(now: number): string {
    const { failing, samples, score } = this.rates(now);
    return `failing ${failing} of ${samples}, score ${score}`;
  }
}

function roundToHundredths(value: number): number {
  return Math.round(value * 100) / 100;
}
