// What this control node knows of the regions: the platform's list and the runners' reports (design 4.4, 4.5).
import * as calls from "../../wire/calls.js";
import * as link from "../../wire/link.js";
import * as schema from "../../wire/schema.js";
import * as types from "../../wire/types.js";
import type * as settings from "../../settings/settings.js";
import type * as dialer from "../../feed/dialer.js";
import * as feeds from "../../feed/feed.js";
import type * as keyed from "../../feed/keyed.js";
import * as registerValue from "../../register/register-value.js";
import type * as check from "../../config/check.js";
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

/** Puts together the list, the reports, the signs and the summaries of this control node. */
export class FleetObserver implements regionOrchestrator.RegionView {
  private readonly regionOf = new Map<string, string>();
  private readonly lists: endpointList.RegionalEndpoints;
  private readonly watcher: endpointWatcher.EndpointWatcher;
  private readonly orchestrator: regionOrchestrator.RegionOrchestrator;
  private readonly publisher: loadPublisher.LoadPublisher;
  private readonly relay: hintRelay.HintRelay;
  private engines = new Set<string>();

  constructor(
    private readonly world: types.Clock,
    private startup: settings.Settings,
    private readonly dial: dialer.Dialer,
    private readonly feed: feeds.Feed,
    core: registerReplica.RegisterReplica,
    private readonly members: membership.Membership,
    /** How fit for duty this node is now. */
    private readonly ownFitness: () => singletonRole.Eligibility,
  ) {
    for (const [zone, region] of Object.entries(startup.zones)) this.regionOf.set(zone, region);
    this.lists = new endpointList.RegionalEndpoints(this.regionOf, feed);
    const { address, rate_per_s: rate } = startup.cloud_api;
    this.watcher = new endpointWatcher.EndpointWatcher(world, address ?? "", rate, dial, this.listRank.bind(this), this.listed.bind(this));
    this.orchestrator = new regionOrchestrator.RegionOrchestrator(
      world,
      new Set(this.regionOf.values()),
      this,
      dial,
      this.reported.bind(this),
    );
    this.publisher = new loadPublisher.LoadPublisher(world, feed);
    this.relay = new hintRelay.HintRelay(world, this);
    core.on("chosen", this.configured.bind(this));
    dial.on("up", this.watcher.sendSnapshotIfReader.bind(this.watcher));
    dial.on("up", this.greet.bind(this));
  }

  registerHandlers(handlers: link.Handlers): void {
    const { watcher, orchestrator, relay } = this;
    handlers.on(calls.instances, function hear(_from, told) {
      return watcher.receiveUpdate(told);
    });
    handlers.on(calls.signs, function signs(from, told) {
      relay.receive(from, told);
      return null;
    });
    handlers.on(calls.report, function hear(_from, told) {
      orchestrator.receiveReport(told);
      return null;
    });
  }

  applySettings(startup: settings.Settings): void {
    this.startup = startup;
    this.watcher.setAddress(startup.cloud_api.address ?? "");
  }

  peers(): link.Link[] {
    return [...this.dial.controls.values()].map(linkOf);
  }

  /** Routers that follow this control node follow its summaries. */
  routerCount(): number {
    return [...this.feed.followersOf(loadSummary.SUMMARY_TOPIC)].length;
  }

  /** Own routers that follow the reports of the region. */
  followersOf(region: string): Iterable<link.Link> {
    return this.feed.followersOf(feeds.cellTopic(region));
  }

  /** A sibling that came up gets whole what is read here. */
  private greet(control: dialer.Control): void {
    for (const region of new Set(this.regionOf.values())) {
      if (this.orchestrator.isReader(region)) control.link.tell(calls.report, { region, reports: this.publisher.snapshot(region) });
    }
  }

  stop(): void {
    this.watcher.stop();
    this.orchestrator.stop();
    this.relay.stop();
  }

  runPeriodically(): void {
    this.watcher.pollWhenDue();
    this.orchestrator.pollDueRegions();
    this.publisher.publishSummariesWhenDue();
  }

  private configured(value: schema.Value): void {
    const config = registerValue.unpack(value.config) as check.Configuration | null;
    this.engines = new Set();
    for (const service of config?.services ?? []) if (service.runtime) this.engines.add(service.name);
  }

  private listed(plan: keyed.Plan): void {
    this.lists.applyChange(plan, types.small(this.world.now()));
    const instances = this.watcher.instances();
    const regions = new Map<types.RunnerId, string>();
    for (const item of instances) regions.set(item.id, this.regionOf.get(item.zone) ?? item.zone);
    this.relay.setRegions(regions);
    this.publisher.setInstances(instances, regions);
  }

  private reported(report: schema.CellReport): void {
    this.publisher.applyReport(report);
  }

  /** The control nodes that this one hears, itself among them, and how fit for duty each says it is. */
  private candidates(): singletonRole.Candidate[] {
    const { node_name: name, region } = this.startup;
    const all: singletonRole.Candidate[] = [{ name, region, eligibility: this.ownFitness() }];
    for (const control of this.dial.controls.values()) {
      const { node } = control;
      if (this.members.hasSession(node.name))
        all.push({ name: node.name, region: node.region, eligibility: singletonRole.eligibilityOf(control) });
    }
    return all;
  }

  private listRank(): number {
    return singletonRole.rankOf(this.startup.node_name, singletonRole.mostEligible(this.candidates()));
  }

  rankIn(region: string): number {
    const readers = assignment.assignReaders(region, singletonRole.mostEligible(this.candidates()), this.weights());
    return singletonRole.rankOf(this.startup.node_name, readers);
  }

  /** Runners that write reports, by region. */
  private weights(): Map<string, number> {
    const weights = new Map<string, number>();
    for (const region of this.regionOf.values()) weights.set(region, 0);
    for (const item of this.watcher.instances()) {
      const region = this.regionOf.get(item.zone);
      if (region !== undefined && this.engines.has(item.service)) weights.set(region, weights.get(region)! + 1);
    }
    return weights;
  }

  reportingRunners(region: string): schema.Instance[] {
    const found: schema.Instance[] = [];
    for (const item of this.lists.instancesOf(region)) if (this.engines.has(item.service)) found.push(item);
    return found;
  }

  selectChanges(region: string, reports: readonly schema.Report[]): schema.Report[] {
    return this.publisher.selectChanges(region, reports);
  }

  /** The platform's list as read last, here or by another control node. */
  instances(): readonly schema.Instance[] {
    return this.watcher.instances();
  }

  /** The newest reports of all regions. */
  reports(): readonly schema.CellReport[] {
    return this.publisher.status();
  }

  status(): unknown {
    return { instances: this.instances(), reports: this.reports() };
  }
}

function linkOf(control: dialer.Control): link.Link {
  return control.link;
}
