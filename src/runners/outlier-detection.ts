/**
 * Outlier detection for one runner, as in Envoy and grpc-js: its failures, compared with those of its peers, suspect it,
 * eject it for a time that grows, and let it back in by steps of probation (design/status 3).
 */
import * as log from "../runtime/log.js";
import type * as types from "../wire/types.js";
import * as decayingSum from "./decaying-sum.js";
import * as failureKind from "./failure-kind.js";
import * as failureReports from "./failure-reports.js";
import * as outcomeStatistics from "./outcome-statistics.js";
import * as outlierState from "./outlier-state.js";
import * as peerGroup from "./peer-group.js";
import * as zoneRotation from "./zone-rotation.js";

const SUSPECT_SCORE = 0.5;
const CLEAR_SCORE = 0.25;
const EJECT_SCORE = 1.9;
/** Of the requests that all routers send to it: a busy runner needs a higher score to be ejected. */
const EJECT_SEND_FRACTION = 0.15;
/** On probation this score ejects again; above it an ejection is prolonged. */
const PROBATION_EJECT_SCORE = 0.9;
/** An outlier has so many times the score of its peers. */
const PEER_SCORE_FACTOR = 3;
/** So many failures at this rate eject, whatever the score. */
const MIN_FAILURES = 1.5;
const MIN_FAILURE_RATE = 0.25;
/** Below this rate, over enough samples, the runner is healthy here whatever others report. */
const HEALTHY_FAILURE_RATE = 0.1;
const MIN_HEALTHY_SAMPLES = 3;
const INITIAL_EJECTION_MS = 1000;
const MAX_EJECTION_MS = 6000;
const EJECTIONS_HALF_LIFE_MS = 20_000;
const PROBATION_STEP_MS = 600;
const PROBATION_PERCENTS = [10, 25, 50, 75];
/** From this step on probation admits requests that are not repeatable, too, if a request of this router succeeded. */
const NON_REPEATABLE_PERCENT = 50;
/** After a failure the runner is avoided, for longer with each failure in a row. */
const FAILURE_BACKOFF_MS = 700;
const MAX_FAILURE_BACKOFF_MS = 4000;
const PENALTY_MS = 150;
const MAX_PENALTY_SCORE = 3;
const NON_REPEATABLE_FACTOR = 2;
const SLOW_FACTOR = 4;
const MIN_SLOW_EXCESS_MS = { response: 250, stream_start: 250, gap: 60 } as const;
const OVERDUE_FACTOR = 4;
const MIN_OVERDUE_MS = 700;

/** Detects whether one runner is an outlier; times are milliseconds of the steady clock. */
export class OutlierDetector {
  private state: outlierState.OutlierState = "good";
  private stateSince = 0;
  private ejectedUntil = 0;
  private readonly ejections = new decayingSum.DecayingSum(EJECTIONS_HALF_LIFE_MS);
  private readonly statistics = new outcomeStatistics.OutcomeStatistics();
  private readonly reports = new failureReports.FailureReports();
  private peers = new peerGroup.PeerGroup();
  private failureStreak = 0;
  private failingUntil = 0;
  private lastFailureAt = -Infinity;
  /** When a request of this router succeeded last. */
  succeededAt = -Infinity;

  constructor(private readonly id: types.RunnerId) {
    this.peers.join(this.state);
  }

  /** From now on the runner is compared with these peers. */
  joinPeerGroup(peers: peerGroup.PeerGroup): void {
    this.peers.leave(this.state);
    this.peers = peers;
    peers.join(this.state);
  }

  leavePeerGroup(): void {
    this.joinPeerGroup(new peerGroup.PeerGroup());
  }

  /** The one place where the state changes; transitions that do not exist are ignored. */
  private transition(to: outlierState.OutlierState, now: number, reason: string): void {
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
    if (to === "ejected" || (from === "probation" && to === "good")) log.state(`runner ${this.id}: ${from} -> ${to}, ${reason}`);
  }

  /** Makes the transitions that are due by time alone, and returns the state. */
  update(now: number): outlierState.OutlierState {
    if (this.state === "good") return "good";
    const score = this.statistics.score.read(now);
    if (this.state === "suspected" && score < CLEAR_SCORE) this.transition("good", now, "calm");
    if (this.state === "ejected" && this.isEjectionOver(score, now)) this.transition("probation", now, "time is up");
    if (this.state === "probation" && this.probationStep(now) >= PROBATION_PERCENTS.length)
      this.transition("good", now, "probation is over");
    return this.state;
  }

  /** Requests that were sent before and still fail there prolong the ejection. */
  private isEjectionOver(score: number, now: number): boolean {
    return now >= this.ejectedUntil && (score < PROBATION_EJECT_SCORE || now >= this.ejectedUntil + MAX_EJECTION_MS);
  }

  private probationStep(now: number): number {
    return Math.floor((now - this.stateSince) / PROBATION_STEP_MS);
  }

  recordSend(now: number): void {
    this.peers.countSend(now);
  }

  /** A request was answered completely and without a failure. */
  recordSuccess(now: number): void {
    this.statistics.recordSuccess(now);
    this.failureStreak = 0;
    this.failingUntil = 0;
    this.succeededAt = now;
  }

  /**
   * A request of this router failed. `isLoaded`: the runner is under load, which excuses some kinds of failure. `isLocal`:
   * the network path from here may be at fault, so that other routers are not notified.
   */
  recordFailure(kind: failureKind.FailureKind, now: number, isLoaded: boolean, isLocal = false): void {
    log.count(`runner.failure_${kind}`);
    const isLoadRelated = failureKind.LOAD_RELATED_FAILURES.has(kind);
    const weight = isLoadRelated && isLoaded ? 0 : failureKind.FAILURE_WEIGHTS.get(kind)!;
    if (weight === 0) return;
    // Failures at one moment have one cause and count once.
    if (now - this.lastFailureAt < 1) return;
    this.lastFailureAt = now;
    this.statistics.recordFailure(weight, now);
    if (!isLoadRelated) this.backOff(kind, now);
    if (!isLocal) this.reports.recordOwnFailure();
    this.addScore(weight, now, `${kind}, ${this.statistics.describe(now)}`);
  }

  private backOff(kind: failureKind.FailureKind, now: number): void {
    // A connection attempt that times out delays its request for long: the runner is avoided for longer.
    this.failureStreak += kind === "unreached" ? 2 : 1;
    this.failingUntil = now + Math.min(MAX_FAILURE_BACKOFF_MS, FAILURE_BACKOFF_MS * this.failureStreak);
  }

  /** Another router reports a failure of the runner. */
  recordRemoteReport(now: number): void {
    this.reports.recordReceived(now);
    this.addScore(1, now, "reported by other routers");
  }

  private addScore(weight: number, now: number, reason: string): void {
    const state = this.update(now);
    this.statistics.score.add(weight, now);
    this.peers.addScore(weight, now);
    if (state === "ejected") return;
    if (this.isOutlier(now, state)) {
      if (this.peers.canEject()) {
        this.transition("ejected", now, reason);
        return;
      }
      log.count("runner.ejection_withheld");
    }
    if (state === "good" && this.statistics.score.read(now) >= SUSPECT_SCORE) this.transition("suspected", now, reason);
  }

  /** One failure of one router never makes an outlier, unless the runner is on probation for earlier ones. */
  private isOutlier(now: number, state: outlierState.OutlierState): boolean {
    const { statistics } = this;
    const score = statistics.score.read(now);
    if (score < PEER_SCORE_FACTOR * this.peers.meanPeerScore(score, now)) return false;
    if (state === "probation") return score >= PROBATION_EJECT_SCORE;
    const samples = statistics.samples.read(now);
    const failures = statistics.failures.read(now);
    if (failures >= MIN_FAILURES && failures >= samples * MIN_FAILURE_RATE) return true;
    if (score < Math.max(EJECT_SCORE, EJECT_SEND_FRACTION * this.peers.meanSends(now))) return false;
    if (samples >= MIN_HEALTHY_SAMPLES && failures < samples * HEALTHY_FAILURE_RATE) return false;
    return statistics.ownScore.read(now) >= SUSPECT_SCORE || this.reports.receivedCount >= 2;
  }

  /** Compares the time to the first byte, or between chunks, with the median of the peers at alike work; `tokens`: of the prefill. */
  recordDuration(work: peerGroup.WorkKind, tokens: number, ms: number, now: number, isLoaded: boolean): void {
    const medianMs = this.peers.recordDuration(work, tokens, ms);
    if (medianMs === null) return;
    this.statistics.recordTimed(now);
    if (ms < medianMs * SLOW_FACTOR || ms - medianMs < MIN_SLOW_EXCESS_MS[work]) return;
    this.statistics.recordSlow(now);
    this.recordFailure("slow", now, isLoaded);
  }

  /** After so long without a first byte a request counts as overdue; milliseconds. */
  overdueMs(work: peerGroup.WorkKind, tokens: number): number {
    return MIN_OVERDUE_MS + OVERDUE_FACTOR * (this.peers.medianMs(work, tokens) ?? MIN_OVERDUE_MS);
  }

  /** Whether a recent failure of this router's own was not followed by a success. */
  isFailing(now: number): boolean {
    return now < this.failingUntil;
  }

  /** Whether this request may go there as to a healthy runner. */
  admits(now: number, isRepeatable: boolean, requestId: types.RequestId): boolean {
    const state = this.update(now);
    if (state === "ejected") return false;
    if (state === "probation") {
      const percent = PROBATION_PERCENTS[this.probationStep(now)] ?? 100;
      const isProved = percent >= NON_REPEATABLE_PERCENT && this.succeededAt > this.stateSince;
      return (isRepeatable || isProved) && zoneRotation.isWithinPercent(percent, requestId);
    }
    return !this.isFailing(now) || (isRepeatable && this.failureStreak <= 1);
  }

  /** What its score adds to the runner's cost in the choice of a runner; more for a request that is not repeatable. */
  penaltyMs(now: number, isRepeatable: boolean): number {
    if (this.update(now) === "good") return 0;
    const score = Math.min(MAX_PENALTY_SCORE, this.statistics.score.read(now));
    return score * PENALTY_MS * (isRepeatable ? 1 : NON_REPEATABLE_FACTOR);
  }

  /** Whether other routers are to be notified now that it fails, or is silent. Called a few times a second. */
  takeReport(now: number, isSilent: boolean): boolean {
    return this.reports.takeDue(now, isSilent, () => this.peers.isWidespread());
  }

  rates(now: number): outcomeStatistics.OutcomeRates {
    return this.statistics.rates(now);
  }
}
