/** The router process over time (design 7): its periodic work, and what it does with each update from the control nodes. It keeps no persistent state. */
import * as crypto from "node:crypto";
import * as features from "../wire/features.js";
import * as link from "../wire/link.js";
import * as schema from "../wire/schema.js";
import * as types from "../wire/types.js";
import * as log from "../runtime/log.js";
import * as loopDelay from "../runtime/loop-delay.js";
import * as settings from "../settings/settings.js";
import * as configItems from "../config/config-items.js";
import * as networkPartitions from "../feed/network-partitions.js";
import * as feedTopics from "../feed/feed-topics.js";
import * as feedSubscriber from "../feed/feed-subscriber.js";
import type * as feedReplica from "../feed/feed-replica.js";
import * as tree from "../supervisor/tree.js";
import * as loadReader from "../load/load-reader.js";
import * as routerParts from "./router-parts.js";
import * as routerStatus from "./router-status.js";
import * as gracefulShutdown from "./graceful-shutdown.js";
import * as readinessServer from "./readiness-server.js";
import * as followedTopics from "./followed-topics.js";

/** Random part of an incarnation. */
const INCARNATION_BYTES = 6;
/** Between two runs of the periodic work. */
const WATCH_INTERVAL_MS = 100;
/** The runners of a zone that comes back from an evacuation start slowly for so long. */
const FAILBACK_WARM_UP_MS = 2500;

/** One router. Its `root` starts it and `stop` ends it. */
export class RouterProgram implements feedSubscriber.FeedListener {
  private readonly incarnation = crypto.randomBytes(INCARNATION_BYTES).toString("hex");
  private readonly handlers = new link.Handlers();
  private readonly config = new configItems.ConfigReplica();
  private readonly parts: routerParts.RouterParts;
  private readonly loopDelay: loopDelay.LoopDelay;
  private epoch = types.NO_EPOCH;
  readonly root: tree.Supervisor;

  constructor(
    private readonly clock: types.Clock,
    private startup: settings.Settings,
  ) {
    this.loopDelay = new loopDelay.LoopDelay(clock);
    this.parts = routerParts.makeParts(this.host());
    this.root = new tree.Supervisor("router", clock, []);
    this.addSupervisedParts();
  }

  private host(): routerParts.RouterHost {
    const { clock, incarnation, handlers, startup } = this;
    return {
      clock,
      incarnation,
      handlers,
      startup,
      listener: this,
      nodeInfo: () => this.nodeInfo(),
      topics: () => this.topics(),
      onServing: () => this.onServing(),
      onHeartbeat: () => this.updateServeGate(),
      onRegionReports: (region) => this.onRegionReports(region),
    };
  }

  /** For observers in the same process (docs/experiment.md). */
  get load(): loadReader.LoadReader {
    return this.parts.load;
  }

  private isReady(): boolean {
    return this.parts.gate.allows() && !this.parts.server.isDraining;
  }

  /** The router begins to serve once it has the membership of all regions; a region that is added later does not stop it. */
  private updateServeGate(): void {
    const hasAll =
      this.parts.picker.routeTable !== null && this.parts.follower.hasAllTopics(feedTopics.isListTopic) && this.parts.tenantGate.isReady;
    this.parts.gate.update(this.epoch, hasAll);
  }

  private onServing(): void {
    this.parts.server.servePending();
    this.sendHeartbeat();
  }

  private nodeInfo(): schema.NodeInfo {
    return {
      name: this.startup.node_name,
      role: "router",
      life: this.incarnation,
      zone: this.startup.zone,
      region: this.startup.region,
      address: "",
      outside: this.startup.bind_addresses.frontend ?? "",
      disk: "",
      isCounted: this.startup.failure_counted,
      isReady: this.isReady(),
      epoch: this.epoch,
    };
  }

  private addSupervisedParts(): void {
    const { root, startup } = this;
    const { server } = this.parts;
    const { frontend, readiness: checked } = startup.bind_addresses;
    if (checked)
      root.add(
        readinessServer.readinessChild(
          checked,
          () => this.isReady(),
          () => this.status(),
        ),
      );
    if (frontend) root.add({ name: "frontend", start: () => server.listen(frontend), stop: () => server.close() });
    root.add(root.turns("beats", link.HEARTBEAT_INTERVAL_MS, () => this.sendHeartbeat()));
    root.add(root.turns("watch", WATCH_INTERVAL_MS, () => this.runPeriodically()));
  }

  private sendHeartbeat(): void {
    this.parts.dial.sendHeartbeats({
      isReady: this.isReady(),
      epoch: this.epoch,
      isSettled: true,
      index: features.ROUTER_FEATURES,
      members: 1,
      silentRegions: [],
    });
  }

  private runPeriodically(): void {
    this.updateServeGate();
    this.parts.picker.admission.runPeriodically(WATCH_INTERVAL_MS);
    // After a delay of its own the router first reads what the control nodes have sent.
    const isDelayed = this.loopDelay.recordRun();
    if (!isDelayed) this.parts.dial.maintainLinks();
    this.parts.follower.selectPrimary();
    this.parts.follower.updateSubscriptions();
    this.parts.load.refresh(this.parts.follower.replica);
    const primary = this.parts.follower.primary;
    if (primary?.heartbeat && this.clock.now() - primary.heartbeatAt < link.HEARTBEAT_INTERVAL_MS * 3)
      this.parts.limits.setRouterCount(primary.heartbeat.members);
    this.parts.borrower.runPeriodically();
    this.parts.tenantGate.runPeriodically();
    this.parts.fleet.peerGroups.routers = this.parts.limits.routers;
    this.parts.server.checkSilence();
    this.parts.fleet.restoreExpired();
    this.parts.prefillSharing.hintExchange.publishUnresponsive(this.parts.fleet.takeNewSuspects());
    if (!isDelayed) this.suspectUnreachableRegions();
  }

  /** The runners of a region that can't be reached from here are suspected. */
  private suspectUnreachableRegions(): void {
    for (const region of networkPartitions.partitionedRegions(this.parts.dial, this.startup.region, this.clock.now()))
      this.parts.fleet.recordUnreachableRegion(region);
  }

  private topics(): string[] {
    return [...followedTopics.topicsOf(followedTopics.neededRegions(this.startup.zones)), ...this.parts.load.followedTopics()];
  }

  onChange(applied: feedReplica.AppliedChange): void {
    if (applied.topic === feedTopics.REGISTER_TOPIC) this.applyConfiguration(applied);
    else if (feedTopics.isListTopic(applied.topic)) this.applyMembership(applied);
    else this.parts.load.applyUpdate(applied);
  }

  onUnsubscribe(topic: string, keys: readonly string[]): void {
    if (feedTopics.isListTopic(topic)) this.parts.fleet.unfollow(keys);
  }

  /** A configuration takes effect as one, between two requests (design/parts 4). */
  private applyConfiguration(applied: feedReplica.AppliedChange): void {
    const { config } = this;
    const isFirst = this.epoch < 0;
    config.applyChange(applied);
    this.epoch = types.small(applied.stamp);
    this.parts.picker.routeTable = config.table;
    if (config.table) this.parts.server.applyLimits(config.limits);
    this.parts.tenantGate.applyConfiguration(this.epoch, config.tenants);
    for (const zone of this.parts.rotation.applyEvacuations(config.evacuations, isFirst))
      this.parts.fleet.startWarmUp(zone, FAILBACK_WARM_UP_MS);
    log.state(`config: epoch ${this.epoch}, revision ${config.revision} in force`);
    this.sendHeartbeat();
    this.updateServeGate();
  }

  private applyMembership(applied: feedReplica.AppliedChange): void {
    const changed: schema.Instance[] = [];
    for (const body of applied.changed.values()) changed.push(schema.listed.fromBuffer(body).instance);
    this.parts.fleet.applyChanges(changed, applied.removed);
    if (applied.removed.length > 0) {
      this.parts.prefills.retainOnly(this.parts.fleet);
      this.parts.picker.admission.retainOnly(this.parts.fleet);
    }
    this.updateServeGate();
  }

  /** The reports of a region are complete for one period. */
  private onRegionReports(region: string): void {
    this.parts.picker.admission.applyReport({ region, reports: this.parts.fleet.reportsOf(region) });
  }

  /** The settings were read again: seeds and limits take effect, the router's own addresses do not. */
  applySettings(startup: settings.Settings): void {
    this.startup = startup;
    this.parts.dial.addAddresses(settings.innerSeeds(startup));
    this.parts.limits.applyBounds(startup.bounds);
    this.parts.tenantGate.applySettings(startup.bounds);
    this.parts.picker.admission.isOn = startup.admission === "on";
    log.state("settings: read again");
  }

  private status(): unknown {
    return routerStatus.routerStatus({
      node: this.nodeInfo(),
      following: this.position().following,
      configuration: this.parts.gate.status(),
      limits: this.parts.limits,
      picker: this.parts.picker,
      fleet: this.parts.fleet,
      now: this.clock.now(),
    });
  }

  /** What it follows now, for observers in the same process (docs/experiment.md). */
  position(): routerStatus.RouterPosition {
    return { epoch: this.epoch, revision: this.config.revision, following: this.parts.follower.primary?.node.name ?? null };
  }

  /** Graceful shutdown: finishes the requests under way, then stops all parts. */
  async stop(): Promise<void> {
    this.parts.server.isDraining = true;
    this.sendHeartbeat();
    await gracefulShutdown.drainRequests(this.clock, this.parts.server, this.startup.bounds.grace_s * 1000);
    log.state(this.parts.picker.admission.stats.logLine());
    await this.root.stop();
    this.parts.dial.close();
    this.parts.fleet.closeIdle();
  }
}
