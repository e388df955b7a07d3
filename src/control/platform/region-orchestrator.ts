/**
 * Polls the runners' load reports of regions and publishes them to the other control nodes (design 4.5). One node
 * orchestrates each region; when it stops publishing, the next in rank takes over until it is back.
 */
import * as calls from "../../wire/calls.js";
import * as schema from "../../wire/schema.js";
import * as types from "../../wire/types.js";
import type * as dialer from "../../feed/dialer.js";
import * as reportPoller from "./report-poller.js";

const POLL_INTERVAL_MS = 600;
/** A node of rank N takes over N times this after the reports were due. */
const TAKEOVER_DELAY_MS = 900;
/** A point in time long before the start of the clock. */
const NEVER = -1e9;

interface RegionState {
  /** When reports of the region were last received, from this node or another. */
  receivedAt: number;
  /** When this node last polled the region. */
  polledAt: number;
  nextPollAt: number;
  isPolling: boolean;
}

/** What the orchestrator needs to know of the regions. */
export interface RegionView {
  /** The runners of a region that serve load reports. */
  reportingRunners(region: string): schema.Instance[];
  /** This node's rank among those that may poll the region; 0 polls. */
  rankIn(region: string): number;
  /** Of the reports just polled, those to be published (design/usage 3.2). */
  selectChanges(region: string, reports: readonly schema.Report[]): schema.Report[];
}

/** Polls each region in which this node ranks first, and those whose orchestrator no longer publishes. */
export class RegionOrchestrator {
  private readonly poller: reportPoller.ReportPoller;
  private readonly regions = new Map<string, RegionState>();

  constructor(
    private readonly clock: types.Clock,
    regions: Iterable<string>,
    private readonly view: RegionView,
    private readonly dial: dialer.Dialer,
    private readonly onReport: (report: schema.CellReport) => void,
  ) {
    this.poller = new reportPoller.ReportPoller(clock);
    for (const region of regions) this.regions.set(region, { receivedAt: NEVER, polledAt: NEVER, nextPollAt: 0, isPolling: false });
  }

  /** Called by the control node's timer: starts a poll of each region that is due here. */
  pollDueRegions(): void {
    const now = this.clock.now();
    for (const [region, state] of this.regions) {
      if (state.isPolling || now < state.nextPollAt) continue;
      const rank = this.view.rankIn(region);
      if (rank > 0 && now - state.receivedAt < POLL_INTERVAL_MS + TAKEOVER_DELAY_MS * rank) continue;
      state.isPolling = true;
      state.nextPollAt = now + POLL_INTERVAL_MS;
      void this.poll(region, state);
    }
  }

  /** Another control node has published reports of a region. */
  receiveReport(report: schema.CellReport): void {
    const state = this.regions.get(report.region);
    if (state) state.receivedAt = this.clock.now();
    this.onReport(report);
  }

  /** Whether this node is polling the region now: it has done so within two intervals. */
  isReader(region: string): boolean {
    return this.clock.now() - (this.regions.get(region)?.polledAt ?? NEVER) < 2 * POLL_INTERVAL_MS;
  }

  private async poll(region: string, state: RegionState): Promise<void> {
    const instances = this.view.reportingRunners(region);
    this.poller.retainOnly(this.listedIds(region, instances));
    const reports = await Promise.all(instances.map((instance) => this.poller.poll(instance)));
    state.isPolling = false;
    state.receivedAt = state.polledAt = this.clock.now();
    const changed = { region, reports: this.view.selectChanges(region, reports) };
    this.onReport(changed);
    for (const control of this.dial.controls.values()) control.link.send(calls.report, changed);
  }

  /** The runners listed in any region; `instances` are those of `region`. */
  private listedIds(region: string, instances: readonly schema.Instance[]): Set<string> {
    const ids = new Set<string>();
    for (const other of this.regions.keys()) {
      for (const item of other === region ? instances : this.view.reportingRunners(other)) ids.add(item.id);
    }
    return ids;
  }

  /** Closes the connections to the runners. */
  stop(): void {
    this.poller.close();
  }
}
