/**
 * The load reports of one region as published last (design/usage 3): the same at every control node that receives from
 * the region's orchestrator, and the base that changes are determined from.
 */
import * as schema from "../wire/schema.js";
import * as types from "../wire/types.js";
import * as log from "../runtime/log.js";
import * as runnerHash from "../hints/runner-hash.js";
import * as reportResolution from "./report-resolution.js";

/** Each period one of this many parts of the runners is published again unchanged, to repair lost updates. */
export const REFRESH_PARTS = 16;
/** Maximum of changed reports a period; changes of status are always published. */
export const MAX_CHANGED = 32;

/** The slots of each runner; undefined for an unknown one. */
export interface Capacities {
  get(id: types.RunnerId): number | undefined;
}

interface ChangedReport {
  report: schema.Report;
  deviation: number;
}

/** The published reports of one region, by runner. */
export class RegionReports {
  readonly reports = new Map<types.RunnerId, schema.Report>();
  private refreshSlot = 0;
  /** When reports of the orchestrator were last received: each period, also without a change. */
  receivedAt = -Infinity;

  constructor(readonly region: string) {}

  /**
   * Of reports just polled, those to be published: the changed ones, the largest deviation first, and a part of the
   * others as published before, to repair lost updates.
   */
  selectChanges(reports: readonly schema.Report[], capacities: Capacities): schema.Report[] {
    this.refreshSlot = (this.refreshSlot + 1) % REFRESH_PARTS;
    const changed: ChangedReport[] = [];
    const refreshed: schema.Report[] = [];
    for (const report of reports) {
      const published = this.reports.get(report.id);
      const deviation = published ? reportResolution.measureDeviation(published, report, capacities.get(report.id) ?? 1) : Infinity;
      if (deviation >= 1) changed.push({ report, deviation });
      else if (published && (runnerHash.runnerHash(report.id) >>> 0) % REFRESH_PARTS === this.refreshSlot) refreshed.push(published);
    }
    changed.sort((left, right) => (left.deviation === right.deviation ? 0 : right.deviation - left.deviation));
    let limit = changed.findIndex((item) => Number.isFinite(item.deviation));
    limit = limit < 0 ? changed.length : Math.max(limit, MAX_CHANGED);
    if (changed.length > limit) log.count("usage.put_off", changed.length - limit);
    return [...changed.slice(0, limit).map((item) => reportResolution.quantized(item.report)), ...refreshed];
  }

  /** Applies published reports, of this node or another; `now` in milliseconds of the steady clock. */
  apply(reports: readonly schema.Report[], now: number): void {
    this.receivedAt = now;
    for (const report of reports) this.reports.set(report.id, report);
  }

  /** Drops the reports of runners that are not listed. */
  retainOnly(listed: { has(id: types.RunnerId): boolean }): void {
    for (const id of this.reports.keys()) if (!listed.has(id)) this.reports.delete(id);
  }
}
