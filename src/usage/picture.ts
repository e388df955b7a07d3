// The reports of one region as they were told last (design/usage 3): the same at every control node that hears the
// region's orchestrator, and what differences are taken from.
import * as schema from "../wire/schema.js";
import * as types from "../wire/types.js";
import * as log from "../startup/log.js";
import * as marks from "../signs/marks.js";
import * as quantum from "./quantum.js";

/** Each period this part of the runners is told again, moved or not, so that lost knowledge heals (*ours*). */
export const REFRESH_PARTS = 16;
/** Runners told in one period for having moved; changes of status are told always (*ours*). */
export const MOST_MOVED = 32;

export interface Capacities {
  get(id: types.RunnerId): number | undefined;
}

interface Moved {
  report: schema.Report;
  by: number;
}

export class Picture {
  readonly told = new Map<types.RunnerId, schema.Report>();
  private turn = 0;
  /** When the orchestrator was last heard: grows each period although nothing moves. */
  heardAt = -Infinity;

  constructor(readonly region: string) {}

  /** What is to be told of these reports: the moved ones, those that moved most first, and a part of the others as told. */
  differ(reports: readonly schema.Report[], capacities: Capacities): schema.Report[] {
    this.turn = (this.turn + 1) % REFRESH_PARTS;
    const moved: Moved[] = [];
    const refreshed: schema.Report[] = [];
    for (const report of reports) {
      const told = this.told.get(report.id);
      const by = told ? quantum.deviation(told, report, capacities.get(report.id) ?? 1) : Infinity;
      if (by >= 1) moved.push({ report, by });
      else if (told && (marks.markOf(report.id) >>> 0) % REFRESH_PARTS === this.turn) refreshed.push(told);
    }
    moved.sort(byMost);
    let most = moved.findIndex(isMeasured);
    most = most < 0 ? moved.length : Math.max(most, MOST_MOVED);
    if (moved.length > most) log.count("usage.put_off", moved.length - most);
    return [...moved.slice(0, most).map(reportOf), ...refreshed];
  }

  take(reports: readonly schema.Report[], now: number): void {
    this.heardAt = now;
    for (const report of reports) this.told.set(report.id, report);
  }

  forgetAllBut(standing: { has(id: types.RunnerId): boolean }): void {
    for (const id of this.told.keys()) if (!standing.has(id)) this.told.delete(id);
  }
}

function byMost(left: Moved, right: Moved): number {
  return left.by === right.by ? 0 : right.by - left.by;
}

function isMeasured(moved: Moved): boolean {
  return Number.isFinite(moved.by);
}

function reportOf(moved: Moved): schema.Report {
  return quantum.rounded(moved.report);
}
