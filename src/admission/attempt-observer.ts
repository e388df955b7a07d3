/** One admitted send: what was predicted for it, and what its response teaches (design/admission 3). */
import type * as runnerEndpoint from "../runners/runner-endpoint.js";
import type * as types from "../wire/types.js";
import type * as cellLeases from "./cell-leases.js";
import * as serviceTimeModel from "./service-time-model.js";
import type * as interTokenGaps from "./inter-token-gaps.js";
import type * as prediction from "./prediction.js";
import type * as runnerSlowdown from "./runner-slowdown.js";
import type * as typicalRequest from "./typical-request.js";

/** What is known of a request when it is sent; times are milliseconds, points in time of the steady clock. */
export interface SentAttempt {
  readonly runner: runnerEndpoint.RunnerEndpoint;
  readonly need: prediction.TokenDemand;
  readonly service: string;
  readonly route: string;
  readonly sentAt: number;
  /** Predicted as if the runner were as quick as the others. */
  readonly nominal: prediction.Prediction;
  /** What the wait in `nominal` was multiplied by. */
  readonly waitFactor: number;
  /** Its first event, were the runner as quick as the others and the wait a long one. */
  readonly safeFirstMs: number;
  /** Requests at the runner over its capacity. */
  readonly fullness: number;
  readonly rank: number;
  /** The pause that its route allows between two events; Infinity without one. */
  readonly gapMs: number;
  readonly deadline: number;
}

/** What a ticket feeds its observations to; the router's `Admission` is it. */
export interface LearnedModels {
  readonly clock: types.Clock;
  readonly slowdowns: runnerSlowdown.RunnerSlowdowns;
  readonly cells: cellLeases.CellLeases;
  readonly interTokenGaps: interTokenGaps.InterTokenGaps;
  serviceTimeOf(service: string): serviceTimeModel.ServiceTimeModel;
  typicalRequestOf(route: string): typicalRequest.TypicalRequest;
}

/**
 * How a send ended: the whole response came, it broke off or was given up, or the runner said that it did not run it.
 */
export type AttemptOutcome = "complete" | "stopped" | "not_run";

/**
 * Follows one send. `first`, `event` and `end` are called by the attempt that reads the response; after `end` nothing
 * counts any more.
 */
export class AttemptObserver implements runnerSlowdown.PendingRequest {
  private firstEventAt = 0;
  private lastEventAt = 0;
  private isOver = false;
  /** Milliseconds of the steady clock. */
  readonly sentAt: number;
  /** Until the first event, for the overdue check. */
  readonly predictedMs: number;
  private readonly pendingWait: serviceTimeModel.PendingWait;

  constructor(
    private readonly learner: LearnedModels,
    private readonly sent: SentAttempt,
  ) {
    this.sentAt = sent.sentAt;
    this.predictedMs = sent.safeFirstMs;
    // Without a learned pace a plain request predicts nothing that its reply could be compared to.
    const { nominal } = sent;
    this.pendingWait = { since: sent.sentAt + nominal.firstEventMs - nominal.waitMs * sent.waitFactor, waitMs: nominal.waitMs };
    if (nominal.waitMs >= serviceTimeModel.MIN_WAIT_MS) learner.serviceTimeOf(sent.service).pendingWaitsOf(sent.rank).add(this.pendingWait);
    if (this.isInformative()) learner.slowdowns.requestSent(sent.runner.id, this);
  }

  private isInformative(): boolean {
    return this.sent.need.outputTokens > 0 || this.sent.nominal.firstEventMs > 0;
  }

  /** The first event is here, or the first bytes of a plain reply. */
  recordFirstEvent(): void {
    if (this.firstEventAt > 0 || this.isOver) return;
    this.firstEventAt = Math.max(this.learner.clock.now(), 1e-9);
    this.learner.serviceTimeOf(this.sent.service).pendingWaitsOf(this.sent.rank).delete(this.pendingWait);
    this.learner.slowdowns.responseStarted(this.sent.runner.id, this, this.firstEventAt);
    this.learnWait(this.firstEventAt);
  }

  /** A piece of the reply is here. */
  recordEvent(): void {
    const now = this.learner.clock.now();
    if (this.firstEventAt > 0) this.learner.interTokenGaps.recordGap(this.sent.runner.id, (now - this.lastEventAt) / this.sent.gapMs, now);
    else this.recordFirstEvent();
    this.lastEventAt = now;
  }

  private learnWait(now: number): void {
    const pace = this.learner.serviceTimeOf(this.sent.service);
    pace.recordWait(this.sent.rank, now - this.pendingWait.since, this.pendingWait.waitMs);
  }

  /** The send is over; further calls are ignored. */
  recordEnd(ending: AttemptOutcome): void {
    if (this.isOver) return;
    if (ending === "complete") this.recordFirstEvent();
    this.isOver = true;
    const { sent, learner } = this;
    learner.cells.release(sent.runner);
    learner.serviceTimeOf(sent.service).pendingWaitsOf(sent.rank).delete(this.pendingWait);
    if (this.firstEventAt === 0) learner.slowdowns.requestDropped(sent.runner.id, this);
    if (ending === "not_run") return;
    const now = learner.clock.now();
    const pace = learner.serviceTimeOf(sent.service);
    const missedDeadline = ending === "stopped" && now >= sent.deadline;
    if (missedDeadline || (ending === "complete" && sent.nominal.waitMs > 0)) pace.recordOutcome(sent.rank, !missedDeadline);
    // What ended without a first event waited this long at least.
    if (this.firstEventAt === 0 && now - sent.sentAt > sent.nominal.firstEventMs) this.learnWait(now);
    if (this.firstEventAt === 0) return;
    const streamedMs = now - this.firstEventAt;
    const paceMs = sent.need.outputTokens * pace.tokenMs(sent.fullness);
    // A stream cut at its deadline took so long at least.
    if (ending === "complete" || streamedMs > paceMs) learner.slowdowns.streamEnded(sent.runner.id, streamedMs, paceMs);
    if (ending !== "complete") return;
    if (sent.need.outputTokens > 0) pace.recordTokens(sent.fullness, sent.need.outputTokens, streamedMs);
    // From the send on only where a place was free: else the wait for it would count as work.
    const heldMs = sent.need.outputTokens > 0 && !sent.nominal.hasFreeSlot ? streamedMs : now - sent.sentAt;
    pace.recordOccupancy(heldMs);
    learner.typicalRequestOf(sent.route).recordCompletion(sent.service, sent.need, heldMs);
  }
}
