/**
 * A region in a few numbers for routers that send nothing there (design/usage 4.2): per service the runners in good
 * status, all runners, mean usage and room.
 */
import * as schema from "../wire/schema.js";
import type * as regionReports from "./region-reports.js";

/** The topic of the feed that holds all summaries. */
export const SUMMARY_TOPIC = "summary";
/** Steps of mean usage and of room (*ours*). */
export const STEPS = 16;
/** A picture not heard for so long says nothing of usage. */
export const STALE_MS = 2000;

interface Totals {
  total: number;
  good: number;
  used: number;
  capacity: number;
  room: number;
}

/** The key of a summary's item in the topic. */
export function summaryKey(region: string, service: string): string {
  return `${region}/${service}`;
}

/** Service -> summary of the region's runners. */
export function summarizeRegion(
  known: regionReports.RegionReports,
  instances: Iterable<schema.Instance>,
  now: number,
): Map<string, schema.Summary> {
  const sums = new Map<string, Totals>();
  for (const instance of instances) {
    let sum = sums.get(instance.service);
    if (!sum) {
      sum = { total: 0, good: 0, used: 0, capacity: 0, room: 0 };
      sums.set(instance.service, sum);
    }
    add(sum, instance, known.reports.get(instance.id));
  }
  const isFresh = now - known.receivedAt <= STALE_MS;
  const summaries = new Map<string, schema.Summary>();
  for (const [service, { total, good, used, capacity, room }] of sums) {
    summaries.set(service, { isFresh, total, good, usage: toSteps(used, capacity), room: toSteps(room, capacity) });
  }
  return summaries;
}

function add(sum: Totals, instance: schema.Instance, published: schema.Report | undefined): void {
  sum.total += 1;
  sum.capacity += instance.capacity;
  if (published && !published.isSpeaking) return;
  if (!instance.isDraining) sum.good += 1;
  const used = published ? published.active + published.waiting : 0;
  sum.used += used;
  if (!instance.isDraining) sum.room += Math.max(0, instance.capacity - used);
}

function toSteps(part: number, whole: number): number {
  return whole > 0 ? Math.round((STEPS * part) / whole) : 0;
}

/** A step to and fro at a border is not told: usage moves by more than one step, or stays. */
export function withHysteresis(published: schema.Summary | undefined, summary: schema.Summary): schema.Summary {
  if (!published) return summary;
  return { ...summary, usage: hysteresis(published.usage, summary.usage), room: hysteresis(published.room, summary.room) };
}

function hysteresis(published: number, measured: number): number {
  return Math.abs(published - measured) <= 1 && measured !== 0 ? published : measured;
}

/** The router's side: region and service -> summary. */
export class LoadSummaries {
  private readonly byKey = new Map<string, schema.Summary>();
  private detailedRegions: ReadonlySet<string> = new Set();
  private requestedRegions = new Set<string>();

  /** An item of the topic: its body, or null where it is gone. */
  applyItem(key: string, body: Buffer | null): void {
    if (body) this.byKey.set(key, schema.summary.fromBuffer(body));
    else this.byKey.delete(key);
  }

  /** A request ranks runners of this region: a summary is not enough. */
  requestDetails(region: string): void {
    this.requestedRegions.add(region);
  }

  /** The regions asked for since the last call. */
  drainRequestedRegions(): ReadonlySet<string> {
    const { requestedRegions } = this;
    if (requestedRegions.size > 0) this.requestedRegions = new Set();
    return requestedRegions;
  }

  /** Of these regions more is known than a summary says. */
  setDetailedRegions(regions: ReadonlySet<string>): void {
    this.detailedRegions = regions;
  }

  /** Null when nothing fresh is known, or more is known by reports. */
  summaryOf(region: string, service: string): schema.Summary | null {
    if (this.detailedRegions.has(region)) return null;
    const found = this.byKey.get(summaryKey(region, service));
    return found?.isFresh ? found : null;
  }
}

/** Mean requests a runner of this capacity has at a summary's usage. */
export function meanRequests(summary: schema.Summary, capacity: number): number {
  return (summary.usage / STEPS) * capacity;
}
