// One admitted send: what was predicted for it, and what its reply teaches (design/admission 3).
import type * as fleets from "../router/fleet.js";
import type * as types from "../wire/types.js";
import type * as cells from "./cells.js";
import * as paces from "./pace.js";
import type * as pauses from "./pauses.js";
import type * as predictions from "./predict.js";
import type * as slowness from "./slowness.js";
import type * as usuals from "./usual.js";

export interface Sent {
  readonly runner: fleets.Runner;
  readonly need: predictions.Need;
  readonly service: string;
  readonly route: string;
  readonly sentAt: number;
  /** Predicted as if the runner were as quick as the others. */
  readonly bare: predictions.Prediction;
  readonly waitFactor: number;
  /** Its first event, were the runner as quick as the others and the wait a long one. */
  readonly sureMs: number;
  readonly fullness: number;
  readonly rank: number;
  /** The pause that its route allows between two events; Infinity without one. */
  readonly gapMs: number;
  readonly deadline: number;
}

export interface Teacher {
  readonly world: types.World;
  readonly slowness: slowness.Slowness;
  readonly cells: cells.Cells;
  readonly pauses: pauses.Pauses;
  paceOf(service: string): paces.Pace;
  usualOf(route: string): usuals.Usual;
}

export type Ending = "complete" | "stopped" | "not_run";

export class Ticket implements slowness.Waiting {
  private firstAt = 0;
  private eventAt = 0;
  private isOver = false;
  readonly sentAt: number;
  readonly predictedMs: number;
  private readonly open: paces.Open;

  constructor(
    private readonly teacher: Teacher,
    private readonly sent: Sent,
  ) {
    this.sentAt = sent.sentAt;
    this.predictedMs = sent.sureMs;
    // Without a learned pace a plain request predicts nothing that its reply could be compared to.
    const { bare } = sent;
    this.open = { since: sent.sentAt + bare.firstMs - bare.waitMs * sent.waitFactor, waitMs: bare.waitMs };
    if (bare.waitMs >= paces.LEAST_WAIT_MS) teacher.paceOf(sent.service).openOf(sent.rank).add(this.open);
    if (this.isTelling()) teacher.slowness.sent(sent.runner.id, this);
  }

  private isTelling(): boolean {
    return this.sent.need.out > 0 || this.sent.bare.firstMs > 0;
  }

  /** The first event is here, or the first bytes of a plain reply. */
  first(): void {
    if (this.firstAt > 0 || this.isOver) return;
    this.firstAt = Math.max(this.teacher.world.now(), 1e-9);
    this.teacher.paceOf(this.sent.service).openOf(this.sent.rank).delete(this.open);
    this.teacher.slowness.replied(this.sent.runner.id, this, this.firstAt);
    this.learnWait(this.firstAt);
  }

  /** A piece of the reply is here. */
  event(): void {
    const now = this.teacher.world.now();
    if (this.firstAt > 0) this.teacher.pauses.paused(this.sent.runner.id, (now - this.eventAt) / this.sent.gapMs, now);
    else this.first();
    this.eventAt = now;
  }

  private learnWait(now: number): void {
    const pace = this.teacher.paceOf(this.sent.service);
    pace.learnWait(this.sent.rank, now - this.open.since, this.open.waitMs);
  }

  end(ending: Ending): void {
    if (this.isOver) return;
    if (ending === "complete") this.first();
    this.isOver = true;
    const { sent, teacher } = this;
    teacher.cells.giveBack(sent.runner);
    teacher.paceOf(sent.service).openOf(sent.rank).delete(this.open);
    if (this.firstAt === 0) teacher.slowness.dropped(sent.runner.id, this);
    if (ending === "not_run") return;
    const now = teacher.world.now();
    const pace = teacher.paceOf(sent.service);
    const isTooLate = ending === "stopped" && now >= sent.deadline;
    if (isTooLate || (ending === "complete" && sent.bare.waitMs > 0)) pace.learnOutcome(sent.rank, !isTooLate);
    // What ended without a first event waited this long at least.
    if (this.firstAt === 0 && now - sent.sentAt > sent.bare.firstMs) this.learnWait(now);
    if (this.firstAt === 0) return;
    const streamedMs = now - this.firstAt;
    const paceMs = sent.need.out * pace.tokenMs(sent.fullness);
    // A stream cut at its deadline took so long at least.
    if (ending === "complete" || streamedMs > paceMs) teacher.slowness.streamed(sent.runner.id, streamedMs, paceMs);
    if (ending !== "complete") return;
    if (sent.need.out > 0) pace.learnTokens(sent.fullness, sent.need.out, streamedMs);
    // From the send on only where a place was free: else the wait for it would count as work.
    const heldMs = sent.need.out > 0 && !sent.bare.hasPlace ? streamedMs : now - sent.sentAt;
    pace.learnHeld(heldMs);
    teacher.usualOf(sent.route).learn(sent.service, sent.need, heldMs);
  }
}
