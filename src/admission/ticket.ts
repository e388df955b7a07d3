/** One admitted send: what was predicted for it, and what its response teaches (design/admission 3). */
import type * as fleets from "../router/runners/fleet.js";
import type * as types from "../wire/types.js";
import type * as cells from "./cells.js";
import * as pace from "./pace.js";
import type * as pauses from "./pauses.js";
import type * as predict from "./predict.js";
import type * as slowness from "./slowness.js";
import type * as typical from "./typical.js";

/** What is known of a request when it is sent; times are milliseconds, points in time of the steady clock. */
export interface SentRequest {
  readonly runner: fleets.Runner;
  readonly need: predict.Need;
  readonly service: string;
  readonly route: string;
  readonly sentAt: number;
  /** Predicted as if the runner were as quick as the others. */
  readonly nominal: predict.Prediction;
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
export interface Learner {
  readonly world: types.Clock;
  readonly slowness: slowness.Slowness;
  readonly cells: cells.Cells;
  readonly pauses: pauses.Pauses;
  paceOf(service: string): pace.Pace;
  typicalOf(route: string): typical.TypicalRequest;
}

/**
 * How a send ended: the whole response came, it broke off or was given up, or the runner said that it did not run it.
 */
export type Ending = "complete" | "stopped" | "not_run";

/**
 * Follows one send. `first`, `event` and `end` are called by the attempt that reads the response; after `end` nothing
 * counts any more.
 */
export class Ticket implements slowness.PendingRequest {
  private firstEventAt = 0;
  private lastEventAt = 0;
  private isOver = false;
  /** Milliseconds of the steady clock. */
  readonly sentAt: number;
  /** Until the first event, for the overdue check. */
  readonly predictedMs: number;
  private readonly pendingWait: pace.PendingWait;

  constructor(
    private readonly learner: Learner,
    private readonly sent: SentRequest,
  ) {
    this.sentAt = sent.sentAt;
    this.predictedMs = sent.safeFirstMs;
    // Without a learned pace a plain request predicts nothing that its reply could be compared to.
    const { nominal } = sent;
    this.pendingWait = { since: sent.sentAt + nominal.firstMs - nominal.waitMs * sent.waitFactor, waitMs: nominal.waitMs };
    if (nominal.waitMs >= pace.MIN_WAIT_MS) learner.paceOf(sent.service).pendingWaitsOf(sent.rank).add(this.pendingWait);
    if (this.isInformative()) learner.slowness.requestSent(sent.runner.id, this);
  }

  private isInformative(): boolean {
    return this.sent.need.out > 0 || this.sent.nominal.firstMs > 0;
  }

  /** The first event is here, or the first bytes of a plain reply. */
  first(): void {
    if (this.firstEventAt > 0 || this.isOver) return;
    this.firstEventAt = Math.max(this.learner.world.now(), 1e-9);
    this.learner.paceOf(this.sent.service).pendingWaitsOf(this.sent.rank).delete(this.pendingWait);
    this.learner.slowness.responseStarted(this.sent.runner.id, this, this.firstEventAt);
    this.learnWait(this.firstEventAt);
  }

  /** A piece of the reply is here. */
  event(): void {
    const now = this.learner.world.now();
    if (this.firstEventAt > 0) this.learner.pauses.recordPause(this.sent.runner.id, (now - this.lastEventAt) / this.sent.gapMs, now);
    else this.first();
    this.lastEventAt = now;
  }

  private learnWait(now: number): void {
    const pace = this.learner.paceOf(this.sent.service);
    pace.learnWait(this.sent.rank, now - this.pendingWait.since, this.pendingWait.waitMs);
  }

  /** The send is over; further calls are ignored. */
  end(ending: Ending): void {
    if (this.isOver) return;
    if (ending === "complete") this.first();
    this.isOver = true;
    const { sent, learner } = this;
    learner.cells.release(sent.runner);
    learner.paceOf(sent.service).pendingWaitsOf(sent.rank).delete(this.pendingWait);
    if (this.firstEventAt === 0) learner.slowness.requestDropped(sent.runner.id, this);
    if (ending === "not_run") return;
    const now = learner.world.now();
    const pace = learner.paceOf(sent.service);
    const missedDeadline = ending === "stopped" && now >= sent.deadline;
    if (missedDeadline || (ending === "complete" && sent.nominal.waitMs > 0)) pace.learnOutcome(sent.rank, !missedDeadline);
    // What ended without a first event waited this long at least.
    if (this.firstEventAt === 0 && now - sent.sentAt > sent.nominal.firstMs) this.learnWait(now);
    if (this.firstEventAt === 0) return;
    const streamedMs = now - this.firstEventAt;
    const paceMs = sent.need.out * pace.tokenMs(sent.fullness);
    // A stream cut at its deadline took so long at least.
    if (ending === "complete" || streamedMs > paceMs) learner.slowness.streamEnded(sent.runner.id, streamedMs, paceMs);
    if (ending !== "complete") return;
    if (sent.need.out > 0) pace.learnTokens(sent.fullness, sent.need.out, streamedMs);
    // From the send on only where a place was free: else the wait for it would count as work.
    const heldMs = sent.need.out > 0 && !sent.nominal.hasPlace ? streamedMs : now - sent.sentAt;
    pace.learnHeld(heldMs);
    learner.typicalOf(sent.route).learn(sent.service, sent.need, heldMs);
  }
}
