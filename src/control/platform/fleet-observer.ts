/**
 * What this control node knows of the fleet: the platform's endpoint list and the runners' load reports (design 4.4,
 * 4.5). It wires the parts that obtain them to those that publish them, and ranks this node for the singleton roles.
 */
import * as calls from "../../wire/calls.js";
import * as link from "../../wire/link.js";
import * as schema from "../../wire/schema.js";
import * as types from "../../wire/types.js";
import type * as settings from "../../settings/settings.js";
import type * as controlNode from "../../feed/control-node.js";
import type * as dialer from "../../feed/dialer.js";
import type * as feedPublisher from "../../feed/feed-publisher.js";
import * as feedTopics from "../../feed/feed-topics.js";
import type * as keyedItems from "../../feed/keyed-items.js";
import * as registerValue from "../../register/register-value.js";
import type * as configurationCheck from "../../config/configuration-check.js";
import type * as registerReplica from "../register-replica.js";
import type * as membership from "../members/membership.js";
import * as assignment from "./assignment.js";
import * as singletonRole from "./singleton-role.js";
import * as endpointList from "./endpoint-list.js";
import * as regionOrchestrator from "./region-orchestrator.js";
import * as hintRelay from "../../hints/hint-relay.js";
import * as loadPublisher from "../../load/load-publisher.js";
import * as loadSummary from "../../load/load-summary.js";
import * as endpointWatcher from "./endpoint-watcher.js";

/** Owned by the control program; `stop` closes its connections. */
export class FleetObserver implements regionOrchestrator.RegionView, hintRelay.RelayTargets {
  private readonly regionOfZone = new Map<string, string>();
  private readonly endpoints: endpointList.RegionalEndpoints;
  private readonly watcher: endpointWatcher.EndpointWatcher;
  private readonly orchestrator: regionOrchestrator.RegionOrchestrator;
  private readonly publisher: loadPublisher.LoadPublisher;
  private readonly relay: hintRelay.HintRelay;
  /** Versions by service that get no requests, null while that is not known; set by the part that knows of roll-outs. */
  withheld: () => ReadonlyMap<string, string> | null = () => new Map();
  /** Services whose runners serve load reports. */
  private reportingServices = new Set<string>();

  constructor(
    private readonly clock: types.Clock,
    private startup: settings.Settings,
    private readonly dial: dialer.Dialer,
    private readonly feed: feedPublisher.FeedPublisher,
    register: registerReplica.RegisterReplica,
    private readonly members: membership.Membership,
    private readonly ownEligibility: () => singletonRole.Eligibility,
  ) {
    for (const [zone, region] of Object.entries(startup.zones)) this.regionOfZone.set(zone, region);
    this.endpoints = new endpointList.RegionalEndpoints(this.regionOfZone, feed);
    const { address, rate_per_s: ratePerS } = startup.cloud_api;
    this.watcher = new endpointWatcher.EndpointWatcher(
      clock,
      address ?? "",
      ratePerS,
      dial,
      () => this.watcherRank(),
      (plan) => this.applyListChange(plan),
      () => this.withheld(),
    );
    const regions = new Set(this.regionOfZone.values());
    this.publisher = new loadPublisher.LoadPublisher(clock, feed);
    this.orchestrator = new regionOrchestrator.RegionOrchestrator(clock, regions, this, dial, (report) =>
      this.publisher.applyReport(report),
    );
    this.relay = new hintRelay.HintRelay(clock, this);
    register.on("chosen", (value: schema.Value) => this.applyConfiguration(value));
    dial.on("up", (control: controlNode.ControlNode) => this.watcher.sendSnapshotIfReader(control));
    dial.on("up", (control: controlNode.ControlNode) => this.sendReportSnapshots(control));
  }

  /** Registers the calls of peers and routers. */
  registerHandlers(handlers: link.Handlers): void {
    handlers.on(calls.instances, (_from, change) => this.watcher.receiveUpdate(change));
    handlers.on(calls.hints, (from, hints) => {
      this.relay.receive(from, hints);
      return null;
    });
    handlers.on(calls.report, (_from, report) => {
      this.orchestrator.receiveReport(report);
      return null;
    });
  }

  /** The settings were read again; of them the platform's address takes effect. */
  applySettings(startup: settings.Settings): void {
    this.startup = startup;
    this.watcher.setAddress(startup.cloud_api.address ?? "");
  }

  /** Links to the other control nodes. */
  peers(): link.Link[] {
    return [...this.dial.controls.values()].map((control) => control.link);
  }

  /** Routers that follow this control node; all of them subscribe to its summaries. */
  routerCount(): number {
    return [...this.feed.subscribersOf(loadSummary.SUMMARY_TOPIC)].length;
  }

  /** Own routers that subscribe to the load reports of the region. */
  followersOf(region: string): Iterable<link.Link> {
    return this.feed.subscribersOf(feedTopics.cellTopic(region));
  }

  /** A peer that has connected is sent all reports of the regions that this node polls. */
  private sendReportSnapshots(control: controlNode.ControlNode): void {
    for (const region of new Set(this.regionOfZone.values())) {
      if (this.orchestrator.isReader(region)) control.link.send(calls.report, { region, reports: this.publisher.snapshot(region) });
    }
  }

  /** Closes all connections and timers. */
  stop(): void {
    this.watcher.stop();
    this.orchestrator.stop();
    this.relay.stop();
  }

  /** Called by the control node's timer. */
  runPeriodically(): void {
    this.watcher.pollWhenDue();
    this.orchestrator.pollDueRegions();
    this.publisher.publishSummariesWhenDue();
  }

  private applyConfiguration(value: schema.Value): void {
    const config = registerValue.unpack(value.config) as configurationCheck.Configuration | null;
    this.reportingServices = new Set();
    for (const service of config?.services ?? []) if (service.runtime) this.reportingServices.add(service.name);
  }

  private applyListChange(plan: keyedItems.ChangePlan): void {
    this.endpoints.applyChange(plan, types.small(this.clock.now()));
    const instances = this.watcher.instances();
    const regions = new Map<types.RunnerId, string>();
    for (const item of instances) regions.set(item.id, this.regionOfZone.get(item.zone) ?? item.zone);
    this.relay.setRegions(regions);
    this.publisher.setInstances(instances, regions);
  }

  /** The control nodes that this one has a session with, itself included. */
  private candidates(): singletonRole.Candidate[] {
    const { node_name: name, region } = this.startup;
    const candidates: singletonRole.Candidate[] = [{ name, region, eligibility: this.ownEligibility() }];
    for (const control of this.dial.controls.values()) {
      const { node } = control;
      if (this.members.hasSession(node.name))
        candidates.push({ name: node.name, region: node.region, eligibility: singletonRole.eligibilityOf(control) });
    }
    return candidates;
  }

  /** This node's rank among those that may hold a singleton role of the whole system. */
  watcherRank(): number {
    return singletonRole.rankOf(this.startup.node_name, singletonRole.bestCandidates(this.candidates()));
  }

  /** This node's rank among those that may poll the load reports of the region. */
  rankIn(region: string): number {
    const readers = assignment.assignReaders(region, singletonRole.bestCandidates(this.candidates()), this.reportingCounts());
    return singletonRole.rankOf(this.startup.node_name, readers);
  }

  /** How many runners of each region serve load reports. */
  private reportingCounts(): Map<string, number> {
    const counts = new Map<string, number>();
    for (const region of this.regionOfZone.values()) counts.set(region, 0);
    for (const item of this.watcher.instances()) {
      const region = this.regionOfZone.get(item.zone);
      if (region !== undefined && this.reportingServices.has(item.service)) counts.set(region, counts.get(region)! + 1);
    }
    return counts;
  }

  /** The runners of a region that serve load reports. */
  reportingRunners(region: string): schema.Instance[] {
    const runners: schema.Instance[] = [];
    for (const item of this.endpoints.instancesOf(region)) if (this.reportingServices.has(item.service)) runners.push(item);
    return runners;
  }

  /** Of the reports just polled, those to be published. */
  selectChanges(region: string, reports: readonly schema.Report[]): schema.Report[] {
    return this.publisher.selectChanges(region, reports);
  }

  /** The platform's list as received last, by this node or another. */
  instances(): readonly schema.Instance[] {
    return this.watcher.instances();
  }

  /** The load reports of all regions as published last. */
  reports(): readonly schema.CellReport[] {
    return this.publisher.status();
  }

  /** The part `cells` of the control node's `status`. */
  status(): unknown {
    return { instances: this.instances(), reports: this.reports() };
  }
}
