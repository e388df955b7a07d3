/**
 * What this router's judgments came to, over its whole life: how long each refusal took, what became of each request
 * by rank, and how much room was left unused when one was denied (design/admission 10).
 */
import type * as cellCapacity from "./cell-capacity.js";
import * as log from "../runtime/log.js";
import type * as types from "../wire/types.js";
import * as histograms from "./histogram.js";

/** `late`: at a runner when its deadline passed; `lost`: at a runner, and no whole reply; `left`: the client went first. */
export type RequestOutcome = "whole" | "late" | "lost" | "left" | "denied";

/** Without a refusal for so long, a shortage is over (ours). */
const SHORTAGE_END_MS = 3000;
const PER_MS = 10;
const PERCENT = 100;
const MIDDLE = 50;
const TAIL = 99;
const WORST = 100;

function summaryOf(histogram: histograms.Histogram): { count: number; p50: number; p99: number; worst: number } {
  return {
    count: histogram.count,
    p50: histogram.exactPercentile(MIDDLE),
    p99: histogram.exactPercentile(TAIL),
    worst: histogram.exactPercentile(WORST),
  };
}

/** Counts and histograms for `status` and the log; nothing is decided by them. */
export class AdmissionStats {
  /** Milliseconds from a request's arrival to its refusal; apart for those that no runner had seen. */
  private readonly atDoor = new histograms.Histogram(PER_MS, Infinity);
  private readonly afterSend = new histograms.Histogram(PER_MS, Infinity);
  /** Percent of the allowed runners' places that were free when one was denied. */
  private readonly unusedRoom = new histograms.Histogram(PERCENT, Infinity);
  private readonly ends = new Map<string, number>();
  private readonly causes = new Map<string, number>();
  /** Something was refused a moment ago. */
  isRejecting = false;
  private lastRefusalAt = 0;

  constructor(private readonly clock: types.Clock) {}

  /** A request was refused `ms` milliseconds after its arrival; `hasBeenSent`: a runner had seen it. */
  recordRejection(ms: number, cause: string, hasBeenSent: boolean): void {
    (hasBeenSent ? this.afterSend : this.atDoor).record(ms);
    this.lastRefusalAt = this.clock.now();
    if (!this.isRejecting) log.state("admission: rejecting requests, capacity is short");
    this.isRejecting = true;
    this.causes.set(cause, (this.causes.get(cause) ?? 0) + 1);
  }

  /** The room of the allowed runners when a request was denied. */
  recordUnusedCapacity(room: cellCapacity.CellCapacity): void {
    if (room.places > 0) this.unusedRoom.record((PERCENT * room.freePlaces) / room.places);
  }

  /** A request is over. */
  recordOutcome(end: RequestOutcome, rank: number): void {
    const name = `${end}_rank_${rank}`;
    this.ends.set(name, (this.ends.get(name) ?? 0) + 1);
  }

  /** Called now and then: the end of a shortage is a change of state, logged with what it came to. */
  detectRecovery(): void {
    if (!this.isRejecting || this.clock.now() - this.lastRefusalAt < SHORTAGE_END_MS) return;
    this.isRejecting = false;
    log.state(this.logLine());
  }

  /** The part `tally` of the admission's status; its names are read by operators. */
  status(): Record<string, unknown> {
    return {
      ends: Object.fromEntries(this.ends),
      refusedAtDoorMs: summaryOf(this.atDoor),
      refusedAfterSendMs: summaryOf(this.afterSend),
      unusedPercent: summaryOf(this.unusedRoom),
      causes: Object.fromEntries(this.causes),
    };
  }

  /** One line for the log: at the end of a shortage, and when the router leaves. */
  logLine(): string {
    return `admission: ${JSON.stringify(this.status())}`;
  }
}
