/**
 * The control node's side of load (design/usage 3, 4): publishes the changes of all regions' reports in the topics
 * `cell:REGION`, and their summaries in the topic `summary`.
 */
import type * as feedPublisher from "../feed/feed-publisher.js";
import * as feedTopics from "../feed/feed-topics.js";
import * as runnerHash from "../hints/runner-hash.js";
import * as schema from "../wire/schema.js";
import * as types from "../wire/types.js";
import * as regionReports from "./region-reports.js";
import * as reportResolution from "./report-resolution.js";
import * as loadSummary from "./load-summary.js";

/** Interval of all summaries. */
const SUMMARY_INTERVAL_MS = 1800;

/** The key of a runner's item: its hash, or its id where the hash is not unique. */
export function reportKey(hashes: runnerHash.RunnerHashes<types.RunnerId>, id: types.RunnerId): string {
  const hash = hashes.hashOf(id);
  return hash === null ? `=${id}` : (hash >>> 0).toString(36);
}

/** Owned by the control node's `FleetObserver`; publishes by the feed and sends nothing itself. */
export class LoadPublisher {
  private readonly regionReports = new Map<string, regionReports.RegionReports>();
  private readonly runnerHashes = new runnerHash.RunnerHashes<types.RunnerId>();
  private instances: readonly schema.Instance[] = [];
  private regions: ReadonlyMap<types.RunnerId, string> = new Map();
  private readonly capacities = new Map<types.RunnerId, number>();
  private readonly summaries = new Map<string, schema.CellSummary>();
  private summarizedAt = -Infinity;

  constructor(
    private readonly clock: types.Clock,
    private readonly feed: Pick<feedPublisher.FeedPublisher, "publishSnapshot" | "publishChanges">,
  ) {}

  private reportsOf(region: string): regionReports.RegionReports {
    let reports = this.regionReports.get(region);
    if (!reports) {
      reports = new regionReports.RegionReports(region);
      this.regionReports.set(region, reports);
    }
    return reports;
  }

  /** Replaces the listed instances and their regions, and publishes all regions with the new keys. */
  setInstances(instances: readonly schema.Instance[], regions: ReadonlyMap<types.RunnerId, string>): void {
    this.instances = instances;
    this.regions = regions;
    this.runnerHashes.replaceAll(regions.keys());
    this.capacities.clear();
    for (const instance of instances) this.capacities.set(instance.id, instance.capacity);
    for (const known of this.regionReports.values()) {
      known.retainOnly(regions);
      // The stamp stays that of the reports: a new list is no report.
      if (Number.isFinite(known.receivedAt))
        this.feed.publishSnapshot(
          feedTopics.cellTopic(known.region),
          this.items([...known.reports.values()]),
          types.small(known.receivedAt),
        );
    }
  }

  /** Of the reports that this node has polled, those to be published. */
  selectChanges(region: string, reports: readonly schema.Report[]): schema.Report[] {
    return this.reportsOf(region).selectChanges(reports, this.capacities);
  }

  /** All reports of a region as published last. */
  snapshot(region: string): schema.Report[] {
    return [...this.reportsOf(region).reports.values()];
  }

  /** Applies and publishes reports of the region's orchestrator, which is this node or another. */
  applyReport(report: schema.CellReport): void {
    const now = this.clock.now();
    this.reportsOf(report.region).apply(report.reports, now);
    this.feed.publishChanges(feedTopics.cellTopic(report.region), this.items(report.reports), types.small(now));
  }

  private items(reports: readonly schema.Report[]): Map<string, Buffer> {
    const items = new Map<string, Buffer>();
    for (const report of reports) items.set(reportKey(this.runnerHashes, report.id), reportResolution.encodeReport(report));
    return items;
  }

  /** Called by the control node's timer: publishes all summaries when their interval is over. */
  publishSummariesWhenDue(): void {
    const now = this.clock.now();
    if (now - this.summarizedAt < SUMMARY_INTERVAL_MS) return;
    this.summarizedAt = now;
    const current = new Map<string, schema.CellSummary>();
    for (const known of this.regionReports.values()) {
      const here = this.instances.filter((instance) => this.regions.get(instance.id) === known.region);
      for (const [service, summary] of loadSummary.summarizeRegion(known, here, now)) {
        const key = loadSummary.summaryKey(known.region, service);
        current.set(key, loadSummary.withHysteresis(this.summaries.get(key), summary));
      }
    }
    this.summaries.clear();
    const items = new Map<string, Buffer>();
    for (const [key, summary] of current) {
      this.summaries.set(key, summary);
      items.set(key, schema.summary.toBuffer(summary));
    }
    this.feed.publishSnapshot(loadSummary.SUMMARY_TOPIC, items, types.small(now));
  }

  /** All regions with their reports, for `status`. */
  status(): schema.CellReport[] {
    const reports: schema.CellReport[] = [];
    for (const { region } of this.regionReports.values()) reports.push({ region, reports: this.snapshot(region) });
    return reports;
  }
}
