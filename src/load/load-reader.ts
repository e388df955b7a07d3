/** The router's side of usage (design/usage 3, 4): which topics it follows, and what it takes from them. */
import * as feedTopics from "../feed/feed-topics.js";
import type * as feedReplica from "../feed/feed-replica.js";
import * as runnerHash from "../hints/runner-hash.js";
import * as schema from "../wire/schema.js";
import * as types from "../wire/types.js";
import * as log from "../runtime/log.js";
import * as regionInterest from "./region-interest.js";
import * as loadPublisher from "./load-publisher.js";
import type * as runnerLoad from "./runner-load.js";
import * as reportResolution from "./report-resolution.js";
import * as loadSummary from "./load-summary.js";

/** A runner whose load is read. */
export interface ReportedRunner extends runnerLoad.RunnerLoad {
  readonly id: types.RunnerId;
  readonly region: string;
  readonly instance: schema.Instance;
}

/** The runners that one router knows; its fleet is it. */
export interface ReportedFleet {
  readonly summaries: loadSummary.LoadSummaries;
  /** Grows with each runner that comes or goes. */
  readonly membershipVersion: number;
  all(): Iterable<ReportedRunner>;
  inRegion(region: string): Iterable<ReportedRunner>;
  applyReport(report: schema.CellReport): void;
}

/** What is left after a tenth of a second of stale reports: half a second halves it (*ours*). */
const FADE_FACTOR = 0.87;

interface FollowedRegion {
  stamp: types.Stamp | null;
  movedAt: number;
  isStale: boolean;
}

/** Keeps the load of the fleet's runners by what control nodes publish. Owned by the router's program. */
export class LoadReader {
  private readonly regionInterest: regionInterest.RegionInterest;
  private listVersion = 0;
  /** Estimates by summary are renewed when a summary, the list or what is followed has changed. */
  private isEstimateDue = true;
  /** The runners of the lists that this router follows. */
  readonly runnerHashes = new runnerHash.RunnerHashes<types.RunnerId>();
  private idsByKey = new Map<string, types.RunnerId>();
  private readonly followed = new Map<string, FollowedRegion>();

  constructor(
    private readonly clock: types.Clock,
    private readonly fleet: ReportedFleet,
    ownRegion: string,
    private readonly onPeriod: (region: string) => void,
  ) {
    this.regionInterest = new regionInterest.RegionInterest(clock, ownRegion);
  }

  /** A request went to a runner of the region. */
  recordSend(region: string): void {
    this.regionInterest.recordUse(region);
  }

  /** The topics to follow now: the summaries, and the cells of the regions of interest. */
  followedTopics(): string[] {
    for (const region of this.fleet.summaries.drainRequestedRegions()) this.regionInterest.recordUse(region);
    return [loadSummary.SUMMARY_TOPIC, ...this.regionInterest.regions().map(feedTopics.cellTopic)];
  }

  /** Takes what the mirror has just applied of a topic. */
  applyUpdate(applied: feedReplica.AppliedChange): void {
    if (applied.topic === loadSummary.SUMMARY_TOPIC) {
      for (const [key, body] of applied.changed) this.fleet.summaries.applyItem(key, body);
      for (const key of applied.removed) this.fleet.summaries.applyItem(key, null);
      this.isEstimateDue = true;
      return;
    }
    const region = feedTopics.regionOf(applied.topic);
    if (region !== null) this.takeItems(region, applied.changed);
  }

  private takeItems(region: string, items: ReadonlyMap<string, Buffer>): void {
    const reports: schema.Report[] = [];
    for (const [key, body] of items) {
      const id = this.idsByKey.get(key);
      if (id !== undefined) reports.push(reportResolution.decodeReport(id, body));
    }
    this.fleet.applyReport({ region, reports });
  }

  /** What was told of runners before they were listed counts from now on. */
  private relist(mirror: feedReplica.FeedReplica): void {
    this.listVersion = this.fleet.membershipVersion;
    this.isEstimateDue = true;
    const ids: types.RunnerId[] = [];
    for (const { id } of this.fleet.all()) ids.push(id);
    this.runnerHashes.replaceAll(ids);
    this.idsByKey = new Map();
    for (const id of ids) this.idsByKey.set(loadPublisher.reportKey(this.runnerHashes, id), id);
    for (const region of this.regionInterest.regions()) {
      if (!this.followed.get(region)?.isStale) this.takeItems(region, mirror.bodies(feedTopics.cellTopic(region)));
    }
  }

  /** Each period moves the stamp of a cell; one that stands still is stale, and its usage fades (design/usage 3.4). */
  refresh(mirror: feedReplica.FeedReplica): void {
    const now = this.clock.now();
    if (this.listVersion !== this.fleet.membershipVersion) this.relist(mirror);
    const regions = new Set(this.regionInterest.regions());
    for (const region of this.followed.keys()) if (!regions.has(region)) this.unfollow(region);
    for (const region of regions) {
      const followed = this.followed.get(region) ?? { stamp: null, movedAt: now, isStale: false };
      this.followed.set(region, followed);
      const topic = feedTopics.cellTopic(region);
      if (mirror.has(topic) && mirror.stamp(topic) !== followed.stamp) {
        followed.stamp = mirror.stamp(topic);
        followed.movedAt = now;
        if (followed.isStale) this.takeItems(region, mirror.bodies(topic));
        for (const runner of this.fleet.inRegion(region)) runner.updateOthers();
        this.onPeriod(region);
      }
      this.setStale(region, followed, now - followed.movedAt > loadSummary.STALE_MS);
      if (followed.isStale) for (const runner of this.fleet.inRegion(region)) runner.fade(FADE_FACTOR);
    }
    this.fleet.summaries.setDetailedRegions(regions);
    if (this.isEstimateDue) for (const runner of this.fleet.all()) if (!regions.has(runner.region)) this.estimate(runner);
    this.isEstimateDue = false;
  }

  private setStale(region: string, followed: FollowedRegion, isStale: boolean): void {
    if (followed.isStale === isStale) return;
    followed.isStale = isStale;
    log.state(`cell ${region}: load reports ${isStale ? "are stale" : "resumed"}`);
  }

  private unfollow(region: string): void {
    this.followed.delete(region);
    this.isEstimateDue = true;
    for (const runner of this.fleet.inRegion(region)) runner.clearReport();
  }

  /** A runner of a region known by its summary has the mean usage. */
  private estimate(runner: ReportedRunner): void {
    const summary = this.fleet.summaries.summaryOf(runner.region, runner.instance.service);
    runner.others = summary ? Math.max(0, loadSummary.meanRequests(summary, runner.instance.capacity) - runner.inflight) : 0;
  }
}
