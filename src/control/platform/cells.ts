// What this control node knows of the regions: the platform's list and the runners' reports (design 4.4, 4.5).
import * as calls from "../../wire/calls.js";
import * as link from "../../wire/link.js";
import * as schema from "../../wire/schema.js";
import * as types from "../../wire/types.js";
import type * as settings from "../../settings/settings.js";
import type * as dialer from "../../feed/dialer.js";
import * as feeds from "../../feed/feed.js";
import type * as keyed from "../../feed/keyed.js";
import * as registers from "../../register/value.js";
import type * as check from "../../config/check.js";
import type * as registerReplica from "../register-replica.js";
import type * as membership from "../members/membership.js";
import * as deal from "./deal.js";
import * as duties from "./duties.js";
import * as list from "./list.js";
import * as orchestrators from "./orchestrator.js";
import * as relay from "../../hints/relay.js";
import * as publisher from "../../load/publisher.js";
import * as summary from "../../load/summary.js";
import * as watchers from "./watcher.js";

/** Puts together the list, the reports, the signs and the summaries of this control node. */
export class Cells implements orchestrators.CellsView {
  private readonly regionOf = new Map<string, string>();
  private readonly lists: list.RegionLists;
  private readonly watcher: watchers.Watcher;
  private readonly orchestrator: orchestrators.Orchestrator;
  private readonly publisher: publisher.Publisher;
  private readonly relay: relay.Relay;
  private engines = new Set<string>();

  constructor(
    private readonly world: types.Clock,
    private startup: settings.Settings,
    private readonly dial: dialer.Dialer,
    private readonly feed: feeds.Feed,
    core: registerReplica.RegisterReplica,
    private readonly members: membership.Membership,
    /** How fit for duty this node is now. */
    private readonly ownFitness: () => duties.Fitness,
  ) {
    for (const [zone, region] of Object.entries(startup.zones)) this.regionOf.set(zone, region);
    this.lists = new list.RegionLists(this.regionOf, feed);
    const { address, rate_per_s: rate } = startup.cloud_api;
    this.watcher = new watchers.Watcher(world, address ?? "", rate, dial, this.listRank.bind(this), this.listed.bind(this));
    this.orchestrator = new orchestrators.Orchestrator(world, new Set(this.regionOf.values()), this, dial, this.reported.bind(this));
    this.publisher = new publisher.Publisher(world, feed);
    this.relay = new relay.Relay(world, this);
    core.on("chosen", this.configured.bind(this));
    dial.on("up", this.watcher.greet.bind(this.watcher));
    dial.on("up", this.greet.bind(this));
  }

  register(handlers: link.Handlers): void {
    const { watcher, orchestrator, relay } = this;
    handlers.on(calls.instances, function hear(_from, told) {
      return watcher.hear(told);
    });
    handlers.on(calls.signs, function signs(from, told) {
      relay.hear(from, told);
      return null;
    });
    handlers.on(calls.report, function hear(_from, told) {
      orchestrator.hear(told);
      return null;
    });
  }

  resettle(startup: settings.Settings): void {
    this.startup = startup;
    this.watcher.resettle(startup.cloud_api.address ?? "");
  }

  siblings(): link.Link[] {
    return [...this.dial.controls.values()].map(linkOf);
  }

  /** Routers that follow this control node follow its summaries. */
  routers(): number {
    return [...this.feed.followersOf(summary.SUMMARY_TOPIC)].length;
  }

  /** Own routers that follow the reports of the region. */
  followers(region: string): Iterable<link.Link> {
    return this.feed.followersOf(feeds.cellTopic(region));
  }

  /** A sibling that came up gets whole what is read here. */
  private greet(control: dialer.Control): void {
    for (const region of new Set(this.regionOf.values())) {
      if (this.orchestrator.isReader(region)) control.link.tell(calls.report, { region, reports: this.publisher.whole(region) });
    }
  }

  stop(): void {
    this.watcher.stop();
    this.orchestrator.stop();
    this.relay.stop();
  }

  turn(): void {
    this.watcher.turn();
    this.orchestrator.turn();
    this.publisher.turn();
  }

  private configured(value: schema.Value): void {
    const config = registers.unpack(value.config) as check.Configuration | null;
    this.engines = new Set();
    for (const service of config?.services ?? []) if (service.runtime) this.engines.add(service.name);
  }

  private listed(plan: keyed.Plan): void {
    this.lists.take(plan, types.small(this.world.now()));
    const instances = this.watcher.instances();
    const regions = new Map<types.RunnerId, string>();
    for (const item of instances) regions.set(item.id, this.regionOf.get(item.zone) ?? item.zone);
    this.relay.takeList(regions);
    this.publisher.takeList(instances, regions);
  }

  private reported(report: schema.CellReport): void {
    this.publisher.take(report);
  }

  /** The control nodes that this one hears, itself among them, and how fit for duty each says it is. */
  private candidates(): duties.Candidate[] {
    const { node_name: name, region } = this.startup;
    const all: duties.Candidate[] = [{ name, region, fitness: this.ownFitness() }];
    for (const control of this.dial.controls.values()) {
      const { node } = control;
      if (this.members.hasSession(node.name)) all.push({ name: node.name, region: node.region, fitness: duties.fitnessOf(control) });
    }
    return all;
  }

  private listRank(): number {
    return duties.rankOf(this.startup.node_name, duties.fittest(this.candidates()));
  }

  rank(region: string): number {
    const readers = deal.readersOf(region, duties.fittest(this.candidates()), this.weights());
    return duties.rankOf(this.startup.node_name, readers);
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

  reporting(region: string): schema.Instance[] {
    const found: schema.Instance[] = [];
    for (const item of this.lists.of(region)) if (this.engines.has(item.service)) found.push(item);
    return found;
  }

  differ(region: string, reports: readonly schema.Report[]): schema.Report[] {
    return this.publisher.differ(region, reports);
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
