/** Observes one attempt at a runner, and records what its response shows for later predictions (design/admission 3). */
import type * as runnerEndpoint from "../runners/runner-endpoint.js";
import type * as types from "../wire/types.js";
import type * as cellLeases from "./cell-leases.js";
import * as serviceTimeModel from "./service-time-model.js";
import type * as interTokenGaps from "./inter-token-gaps.js";
import type * as prediction from "./prediction.js";
import type * as runnerSlowdown from "./runner-slowdown.js";
import type * as typicalRequest from "./typical-request.js";

/** What is known of an attempt when it is sent; durations are milliseconds, points in time of the steady clock. */
export interface SentAttempt {
  readonly runner: runnerEndpoint.RunnerEndpoint;
  readonly demand: prediction.TokenDemand;
  readonly service: string;
  readonly route: string;
  readonly sentAt: number;
  /** The prediction without a slowdown of the runner. */
  readonly nominal: prediction.Prediction;
  /** What the wait in `nominal` was multiplied by. */
  readonly waitFactor: number;
  /** The predicted time until the first event without a slowdown of the runner, with a cautious wait. */
  readonly conservativeFirstEventMs: number;
  /** Requests at the runner over its capacity. */
  readonly fullness: number;
  readonly rank: number;
  /** The gap that its route allows between two events; Infinity without one. */
  readonly gapMs: number;
  readonly deadline: number;
}

/** The models that observations are recorded to; implemented by `Admission`. */
export interface LearnedModels {
  readonly clock: types.Clock;
  readonly slowdowns: runnerSlowdown.RunnerSlowdowns;
  readonly cellLeases: cellLeases.CellLeases;
  readonly interTokenGaps: interTokenGaps.InterTokenGaps;
  serviceTimeOf(service: string): serviceTimeModel.ServiceTimeModel;
  typicalRequestOf(route: string): typicalRequest.TypicalRequest;
}

/**
 * How an attempt ended: the complete response arrived; it broke off or was cancelled; or the runner rejected it
 * without processing it.
 */
export type AttemptOutcome = "complete" | "stopped" | "not_run";

/**
 * Observes one attempt. Its methods are called by whoever reads the response; `recordEnd` exactly once or more often,
 * and after it no call has an effect.
 */
export class AttemptObserver implements runnerSlowdown.PendingRequest {
  private firstEventAt = 0;
  private lastEventAt = 0;
  private isOver = false;
  /** Milliseconds of the steady clock. */
  readonly sentAt: number;
  /** Until the first event; the attempt is overdue after it. */
  readonly predictedMs: number;
  private readonly pendingWait: serviceTimeModel.PendingWait;

  constructor(
    private readonly models: LearnedModels,
    private readonly sent: SentAttempt,
  ) {
    this.sentAt = sent.sentAt;
    this.predictedMs = sent.conservativeFirstEventMs;
    const { nominal } = sent;
    this.pendingWait = { since: sent.sentAt + nominal.firstEventMs - nominal.waitMs * sent.waitFactor, waitMs: nominal.waitMs };
    if (nominal.waitMs >= serviceTimeModel.MIN_WAIT_MS) models.serviceTimeOf(sent.service).pendingWaitsOf(sent.rank).add(this.pendingWait);
    if (this.hasPrediction()) models.slowdowns.requestSent(sent.runner.id, this);
  }

  /** Until a service time is learned, nothing is predicted for a plain request that its response could be compared to. */
  private hasPrediction(): boolean {
    return this.sent.demand.outputTokens > 0 || this.sent.nominal.firstEventMs > 0;
  }

  /** The first event of a stream has arrived, or the first bytes of a plain response. */
  recordFirstEvent(): void {
    if (this.firstEventAt > 0 || this.isOver) return;
    this.firstEventAt = Math.max(this.models.clock.now(), 1e-9);
    this.models.serviceTimeOf(this.sent.service).pendingWaitsOf(this.sent.rank).delete(this.pendingWait);
    this.models.slowdowns.responseStarted(this.sent.runner.id, this, this.firstEventAt);
    this.recordWait(this.firstEventAt);
  }

  /** An event of the stream has arrived, the first or a further one. */
  recordEvent(): void {
    const now = this.models.clock.now();
    if (this.firstEventAt > 0) this.models.interTokenGaps.recordGap(this.sent.runner.id, (now - this.lastEventAt) / this.sent.gapMs, now);
    else this.recordFirstEvent();
    this.lastEventAt = now;
  }

  private recordWait(now: number): void {
    const serviceTime = this.models.serviceTimeOf(this.sent.service);
    serviceTime.recordWait(this.sent.rank, now - this.pendingWait.since, this.pendingWait.waitMs);
  }

  /** The attempt has ended; further calls are ignored. */
  recordEnd(outcome: AttemptOutcome): void {
    if (this.isOver) return;
    if (outcome === "complete") this.recordFirstEvent();
    this.isOver = true;
    const { sent, models } = this;
    models.cellLeases.release(sent.runner);
    models.serviceTimeOf(sent.service).pendingWaitsOf(sent.rank).delete(this.pendingWait);
    if (this.firstEventAt === 0) models.slowdowns.requestDropped(sent.runner.id, this);
    if (outcome === "not_run") return;
    const now = models.clock.now();
    this.recordDeadline(outcome, now);
    // An attempt that ended without a first event waited at least this long.
    if (this.firstEventAt === 0 && now - sent.sentAt > sent.nominal.firstEventMs) this.recordWait(now);
    if (this.firstEventAt > 0) this.recordResponse(outcome, now);
  }

  /** Whether a request that was predicted to wait met its deadline. */
  private recordDeadline(outcome: AttemptOutcome, now: number): void {
    const { sent } = this;
    const missedDeadline = outcome === "stopped" && now >= sent.deadline;
    if (missedDeadline || (outcome === "complete" && sent.nominal.waitMs > 0))
      this.models.serviceTimeOf(sent.service).recordOutcome(sent.rank, !missedDeadline);
  }

  /** The time from the first event to the end, and, for a complete response, the time that a slot was occupied. */
  private recordResponse(outcome: AttemptOutcome, now: number): void {
    const { sent, models } = this;
    const { outputTokens } = sent.demand;
    const serviceTime = models.serviceTimeOf(sent.service);
    const streamedMs = now - this.firstEventAt;
    const predictedMs = outputTokens * serviceTime.tokenMs(sent.fullness);
    // A stream that was cancelled at its deadline would have taken at least this long.
    if (outcome === "complete" || streamedMs > predictedMs) models.slowdowns.streamEnded(sent.runner.id, streamedMs, predictedMs);
    if (outcome !== "complete") return;
    if (outputTokens > 0) serviceTime.recordTokens(sent.fullness, outputTokens, streamedMs);
    // Where no slot was free, the time from sending on would include the wait for one.
    const occupancyMs = outputTokens > 0 && !sent.nominal.hasFreeSlot ? streamedMs : now - sent.sentAt;
    serviceTime.recordOccupancy(occupancyMs);
    models.typicalRequestOf(sent.route).recordCompletion(sent.service, sent.demand, occupancyMs);
  }
}
