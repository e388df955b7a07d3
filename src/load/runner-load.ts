/** The known load of a runner: its report as published last, and this router's own requests (design/usage 3.3). */
import type * as schema from "../wire/schema.js";

/** Base class of `RunnerEndpoint`: requests and tokens at one runner. */
export class RunnerLoad {
  /** False after a poll of its report has failed. */
  isReporting = true;
  /** Requests and tokens of the last report; they decay while the reports of the region are stale. */
  active = 0;
  waiting = 0;
  kvUsed = 0;
  kvCapacity = 0;
  /** Requests of this router in flight, and the estimate for all other routers. */
  inflight = 0;
  others = 0;

  /** Requests at the runner, from all routers. */
  requestCount(): number {
    return this.inflight + this.others;
  }

  /** Used fraction of the runner's memory, 0 to 1; 0 where it is unknown. */
  get kvUsedFraction(): number {
    return this.kvCapacity > 0 ? this.kvUsed / this.kvCapacity : 0;
  }

  /** Applies a published report. */
  applyReport(report: schema.Report): void {
    this.isReporting = report.isSpeaking;
    if (!report.isSpeaking) return;
    this.active = report.active;
    this.waiting = report.waiting;
    this.kvUsed = report.kvUsed;
    this.kvCapacity = report.kvCapacity;
    this.updateOthers();
  }

  /** The requests of other routers are those reported less this router's own. */
  updateOthers(): void {
    if (this.isReporting) this.others = Math.max(0, this.active + this.waiting - this.inflight);
  }

  /** Decays the reported load by this factor, since its reports are stale. */
  fade(factor: number): void {
    this.active *= factor;
    this.waiting *= factor;
    this.kvUsed *= factor;
    this.others *= factor;
  }

  /** Clears the reported load: the region is no longer followed. */
  clearReport(): void {
    this.fade(0);
    this.isReporting = true;
  }
}
