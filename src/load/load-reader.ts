/** The router's side of load (design/usage 3, 4): which topics it follows, and how they update its runners. */
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

/** A runner whose load is followed. */
export interface ReportedRunner extends runnerLoad.RunnerLoad {
  readonly id: types.RunnerId;
  readonly region: string;
  readonly instance: schema.Instance;
}

/** The runners that one router knows; implemented by `RunnerFleet`. */
export interface ReportedFleet {
  readonly summaries: loadSummary.LoadSummaries;
  /** Grows with each runner that comes or goes. */
  readonly membershipVersion: number;
  all(): Iterable<ReportedRunner>;
  inRegion(region: string): Iterable<ReportedRunner>;
  applyReport(report: schema.CellReport): void;
}

/** Decay of the load by a tenth of a second of stale reports: half a second halves it. */
const FADE_FACTOR = 0.87;

interface FollowedRegion {
  /** The stamp of the topic last seen, and when it changed. */
  stamp: types.Stamp | null;
  changedAt: number;
  isStale: boolean;
}

/** Updates the load of the fleet's runners by what control nodes publish. Owned by the router's program. */
export class LoadReader {
  private readonly regionInterest: regionInterest.RegionInterest;
  private listVersion = 0;
  /** Estimates from summaries are due again when a summary, the list or the followed regions have changed. */
  private isEstimateDue = true;
  /** The runners of the endpoint lists that this router follows. */
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

  /** A request was sent to a runner of the region. */
  recordSend(region: string): void {
    this.regionInterest.recordUse(region);
  }

  /** The topics to follow now: the summaries, and the load reports of the regions of interest. */
  followedTopics(): string[] {
    for (const region of this.fleet.summaries.drainRequestedRegions()) this.regionInterest.recordUse(region);
    return [loadSummary.SUMMARY_TOPIC, ...this.regionInterest.regions().map(feedTopics.cellTopic)];
  }

  /** Applies what the replica has just received of a topic. */
  applyUpdate(applied: feedReplica.AppliedChange): void {
    if (applied.topic === loadSummary.SUMMARY_TOPIC) {
      for (const [key, body] of applied.changed) this.fleet.summaries.applyItem(key, body);
      for (const key of applied.removed) this.fleet.summaries.applyItem(key, null);
      this.isEstimateDue = true;
      return;
    }
    const region = feedTopics.regionOf(applied.topic);
    if (region !== null) this.applyItems(region, applied.changed);
  }

  private applyItems(region: string, items: ReadonlyMap<string, Buffer>): void {
    const reports: schema.Report[] = [];
    for (const [key, body] of items) {
      const id = this.idsByKey.get(key);
      if (id !== undefined) reports.push(reportResolution.decodeReport(id, body));
    }
    this.fleet.applyReport({ region, reports });
  }

  /** The list has changed: reports that arrived before their runners were listed are applied now. */
  private applyList(mirror: feedReplica.FeedReplica): void {
    this.listVersion = this.fleet.membershipVersion;
    this.isEstimateDue = true;
    const ids: types.RunnerId[] = [];
    for (const { id } of this.fleet.all()) ids.push(id);
    this.runnerHashes.replaceAll(ids);
    this.idsByKey = new Map();
    for (const id of ids) this.idsByKey.set(loadPublisher.reportKey(this.runnerHashes, id), id);
    for (const region of this.regionInterest.regions()) {
      if (!this.followed.get(region)?.isStale) this.applyItems(region, mirror.bodies(feedTopics.cellTopic(region)));
    }
  }

  /** Each report advances the stamp of its topic; without an advance, the load is stale and decays (design/usage 3.4). */
  refresh(mirror: feedReplica.FeedReplica): void {
    const now = this.clock.now();
    if (this.listVersion !== this.fleet.membershipVersion) this.applyList(mirror);
    const regions = new Set(this.regionInterest.regions());
    for (const region of this.followed.keys()) if (!regions.has(region)) this.unfollow(region);
    for (const region of regions) {
      const followed = this.followed.get(region) ?? { stamp: null, changedAt: now, isStale: false };
      this.followed.set(region, followed);
      const topic = feedTopics.cellTopic(region);
      if (mirror.has(topic) && mirror.stamp(topic) !== followed.stamp) {
        followed.stamp = mirror.stamp(topic);
        followed.changedAt = now;
        if (followed.isStale) this.applyItems(region, mirror.bodies(topic));
        for (const runner of this.fleet.inRegion(region)) runner.updateOthers();
        this.onPeriod(region);
      }
      this.setStale(region, followed, now - followed.changedAt > loadSummary.STALE_MS);
      if (followed.isStale) for (const runner of this.fleet.inRegion(region)) runner.fade(FADE_FACTOR);
    }
    this.fleet.summaries.setDetailedRegions(regions);
    if (this.isEstimateDue) for (const runner of this.fleet.all()) if (!regions.has(runner.region)) this.estimateLoad(runner);
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

  /** A runner of a region that is known by its summary is taken to have the mean usage. */
  private estimateLoad(runner: ReportedRunner): void {
    const summary = this.fleet.summaries.summaryOf(runner.region, runner.instance.service);
    runner.others = summary ? Math.max(0, loadSummary.meanRequests(summary, runner.instance.capacity) - runner.inflight) : 0;
  }
}
