/**
 * Statistics of this router's admission decisions since its start: the time until each rejection, the outcomes of
 * requests by rank, and the capacity left unused at a rejection (design/admission 10).
 */
import type * as cellCapacity from "./cell-capacity.js";
import * as log from "../runtime/log.js";
import type * as types from "../wire/types.js";
import * as histograms from "./histogram.js";

/**
 * The outcome of a request: `whole`, a complete response; `late`, at a runner when its deadline passed; `lost`, at a
 * runner, without a complete response; `left`, cancelled by the client; `denied`, rejected. Part of names in `status`.
 */
export type RequestOutcome = "whole" | "late" | "lost" | "left" | "denied";

/** Time without a rejection after which a shortage of capacity is over (ours). */
const RECOVERY_MS = 3000;
const STEPS_PER_MS = 10;
const PERCENT = 100;
const MEDIAN = 50;
const P99 = 99;
const WORST = 100;

function summaryOf(histogram: histograms.Histogram): { count: number; p50: number; p99: number; worst: number } {
  return {
    count: histogram.count,
    p50: histogram.exactPercentile(MEDIAN),
    p99: histogram.exactPercentile(P99),
    worst: histogram.exactPercentile(WORST),
  };
}

/** Counts and histograms for `status` and the log; no decision depends on them. */
export class AdmissionStats {
  /** Milliseconds from a request's arrival to its rejection: before and after it was sent to a runner. */
  private readonly beforeSend = new histograms.Histogram(STEPS_PER_MS, Infinity);
  private readonly afterSend = new histograms.Histogram(STEPS_PER_MS, Infinity);
  /** Percent of the allowed runners' slots that were free at a rejection. */
  private readonly unusedPercent = new histograms.Histogram(PERCENT, Infinity);
  private readonly outcomes = new Map<string, number>();
  private readonly causes = new Map<string, number>();
  /** Whether a request was rejected a moment ago. */
  isRejecting = false;
  private lastRejectionAt = 0;

  constructor(private readonly clock: types.Clock) {}

  /** A request was rejected `ms` milliseconds after its arrival; `hasBeenSent`: after an attempt at a runner. */
  recordRejection(ms: number, cause: string, hasBeenSent: boolean): void {
    (hasBeenSent ? this.afterSend : this.beforeSend).record(ms);
    this.lastRejectionAt = this.clock.now();
    if (!this.isRejecting) log.state("admission: rejecting requests, capacity is short");
    this.isRejecting = true;
    this.causes.set(cause, (this.causes.get(cause) ?? 0) + 1);
  }

  /** Records the capacity of the allowed runners at a rejection. */
  recordUnusedCapacity(capacity: cellCapacity.CellCapacity): void {
    if (capacity.places > 0) this.unusedPercent.record((PERCENT * capacity.freePlaces) / capacity.places);
  }

  /** Records the outcome of a request. */
  recordOutcome(outcome: RequestOutcome, rank: number): void {
    const name = `${outcome}_rank_${rank}`;
    this.outcomes.set(name, (this.outcomes.get(name) ?? 0) + 1);
  }

  /** Called periodically: logs the end of a shortage of capacity, with the statistics. */
  detectRecovery(): void {
    if (!this.isRejecting || this.clock.now() - this.lastRejectionAt < RECOVERY_MS) return;
    this.isRejecting = false;
    log.state(this.logLine());
  }

  /** The part `tally` of the admission's status; its names are read by operators. */
  status(): Record<string, unknown> {
    return {
      ends: Object.fromEntries(this.outcomes),
      refusedAtDoorMs: summaryOf(this.beforeSend),
      refusedAfterSendMs: summaryOf(this.afterSend),
      unusedPercent: summaryOf(this.unusedPercent),
      causes: Object.fromEntries(this.causes),
    };
  }

  /** One line for the log, at the end of a shortage and when the router stops. */
  logLine(): string {
    return `admission: ${JSON.stringify(this.status())}`;
  }
}
