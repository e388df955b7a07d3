/**
 * Summaries of a region's load for routers that send nothing there (design/usage 4.2): by service the healthy runners,
 * all runners, mean usage and free capacity.
 */
import * as schema from "../wire/schema.js";
import type * as regionReports from "./region-reports.js";

/** The topic of the feed with all summaries. */
export const SUMMARY_TOPIC = "summary";
/** Steps of mean usage and of free capacity. */
export const STEPS = 16;
/** Reports received longer ago than this say nothing about usage. */
export const STALE_MS = 2000;

interface Totals {
  total: number;
  healthy: number;
  used: number;
  capacity: number;
  free: number;
}

/** The key of a summary's item in the topic. */
export function summaryKey(region: string, service: string): string {
  return `${region}/${service}`;
}

function addInstance(sum: Totals, instance: schema.Instance, published: schema.Report | undefined): void {
  sum.total += 1;
  sum.capacity += instance.capacity;
  if (published && !published.isSpeaking) return;
  if (!instance.isDraining) sum.healthy += 1;
  const used = published ? published.active + published.waiting : 0;
  sum.used += used;
  if (!instance.isDraining) sum.free += Math.max(0, instance.capacity - used);
}

function toSteps(part: number, total: number): number {
  return total > 0 ? Math.round((STEPS * part) / total) : 0;
}

/** The summary of the region's runners by service. */
export function summarizeRegion(
  known: regionReports.RegionReports,
  instances: Iterable<schema.Instance>,
  now: number,
): Map<string, schema.CellSummary> {
  const sums = new Map<string, Totals>();
  for (const instance of instances) {
    let sum = sums.get(instance.service);
    if (!sum) {
      sum = { total: 0, healthy: 0, used: 0, capacity: 0, free: 0 };
      sums.set(instance.service, sum);
    }
    addInstance(sum, instance, known.reports.get(instance.id));
  }
  const isFresh = now - known.receivedAt <= STALE_MS;
  const summaries = new Map<string, schema.CellSummary>();
  for (const [service, { total, healthy, used, capacity, free }] of sums) {
    summaries.set(service, { isFresh, total, good: healthy, usage: toSteps(used, capacity), room: toSteps(free, capacity) });
  }
  return summaries;
}

function keepWithinStep(published: number, measured: number): number {
  return Math.abs(published - measured) <= 1 && measured !== 0 ? published : measured;
}

/** The summary to publish: a value that moves by only one step stays as published, so that it does not flap. */
export function withHysteresis(published: schema.CellSummary | undefined, summary: schema.CellSummary): schema.CellSummary {
  if (!published) return summary;
  return { ...summary, usage: keepWithinStep(published.usage, summary.usage), room: keepWithinStep(published.room, summary.room) };
}

/** The router's side: summaries by region and service, and the regions that need more than a summary. */
export class LoadSummaries {
  private readonly byKey = new Map<string, schema.CellSummary>();
  private detailedRegions: ReadonlySet<string> = new Set();
  private requestedRegions = new Set<string>();

  /** Applies an item of the topic; a null body removes it. */
  applyItem(key: string, body: Buffer | null): void {
    if (body) this.byKey.set(key, schema.summary.fromBuffer(body));
    else this.byKey.delete(key);
  }

  /** A request ranks the runners of this region, for which a summary is not enough. */
  requestDetails(region: string): void {
    this.requestedRegions.add(region);
  }

  /** The regions requested since the last call. */
  drainRequestedRegions(): ReadonlySet<string> {
    const { requestedRegions } = this;
    if (requestedRegions.size > 0) this.requestedRegions = new Set();
    return requestedRegions;
  }

  /** Sets the regions whose reports are followed. */
  setDetailedRegions(regions: ReadonlySet<string>): void {
    this.detailedRegions = regions;
  }

  /** The summary; null when it is not fresh, or the region's reports are followed. */
  summaryOf(region: string, service: string): schema.CellSummary | null {
    if (this.detailedRegions.has(region)) return null;
    const found = this.byKey.get(summaryKey(region, service));
    return found?.isFresh ? found : null;
  }
}

/** The mean requests at a runner of this capacity by a summary's usage. */
export function meanRequests(summary: schema.CellSummary, capacity: number): number {
  return (summary.usage / STEPS) * capacity;
}
