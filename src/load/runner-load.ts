/**
 * What is known of a runner's load: its report as published last, and what this router has there (design/usage 3.3).
 */
import type * as schema from "../wire/schema.js";

/** Base of the router's `Runner`: requests and tokens at one runner. */
export class RunnerLoad {
  /** False: the last reading of it failed. */
  isReporting = true;
  /** As told last; requests and tokens. They fade while the reports of the region are stale. */
  active = 0;
  waiting = 0;
  kvUsed = 0;
  kvCapacity = 0;
  /** Requests from here, and from all others. */
  inflight = 0;
  others = 0;

  /** Requests there, from all routers. */
  requestCount(): number {
    return this.inflight + this.others;
  }

  /** Tokens held over the capacity, 0 to 1; 0 where it is unknown. */
  get kvUsedFraction(): number {
    return this.kvCapacity > 0 ? this.kvUsed / this.kvCapacity : 0;
  }

  /** Takes a published report. */
  applyReport(report: schema.Report): void {
    this.isReporting = report.isSpeaking;
    if (!report.isSpeaking) return;
    this.active = report.active;
    this.waiting = report.waiting;
    this.kvUsed = report.kvUsed;
    this.kvCapacity = report.kvCapacity;
    this.updateOthers();
  }

  /** What it has from others is what was told less what it has from here. */
  updateOthers(): void {
    if (this.isReporting) this.others = Math.max(0, this.active + this.waiting - this.inflight);
  }

  /** Nothing new was published: what it has from others counts less and less, by this factor. */
  fade(by: number): void {
    this.active *= by;
    this.waiting *= by;
    this.kvUsed *= by;
    this.others *= by;
  }

  /** The region is no longer followed. */
  clearReport(): void {
    this.fade(0);
    this.isReporting = true;
  }
}
