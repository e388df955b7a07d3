/** The router process: its parts wired together, and what it does with each update from the control nodes (design 7). It keeps no persistent state. */
import * as crypto from "node:crypto";
import * as usageCounter from "../duties/usage-counter.js";
import * as calls from "../wire/calls.js";
import * as features from "../wire/features.js";
import * as link from "../wire/link.js";
import * as schema from "../wire/schema.js";
import * as types from "../wire/types.js";
import * as log from "../runtime/log.js";
import * as loopDelay from "../runtime/loop-delay.js";
import * as settings from "../settings/settings.js";
import * as configItems from "../config/config-items.js";
import * as networkPartitions from "../feed/network-partitions.js";
import * as dialer from "../feed/dialer.js";
import * as feedTopics from "../feed/feed-topics.js";
import * as sessionSelector from "../feed/session-selector.js";
import * as feedSubscriber from "../feed/feed-subscriber.js";
import type * as feedReplica from "../feed/feed-replica.js";
import * as leasedLimits from "../limits/leased-limits.js";
import * as tree from "../supervisor/tree.js";
import * as loadReader from "../load/load-reader.js";
import * as routerStatus from "./router-status.js";
import * as routerBatches from "./router-batches.js";
import * as runnerPicker from "./runner-picker.js";
import * as runnerFleet from "../runners/runner-fleet.js";
import * as limitBorrower from "./limit-borrower.js";
import * as gracefulShutdown from "./graceful-shutdown.js";
import * as readinessServer from "./readiness-server.js";
import * as prefillSharing from "./prefill-sharing.js";
import * as prefillTracker from "../runners/prefill-tracker.js";
import * as zoneRotation from "../runners/zone-rotation.js";
import * as routerServer from "./client/router-server.js";
import * as serveGate from "./serve-gate.js";
import * as tenantGate from "./tenant-gate.js";
import * as followedTopics from "./followed-topics.js";

/** Between two runs of the periodic work. */
const WATCH_INTERVAL_MS = 100;
/** The runners of a zone that comes back from an evacuation start slowly for so long. */
const FAILBACK_WARM_UP_MS = 2500;

/** One router. Its `root` starts it and `stop` ends it. */
export class RouterProgram implements feedSubscriber.FeedListener {
  private readonly incarnation = crypto.randomBytes(6).toString("hex");
  private readonly handlers = new link.Handlers();
  private readonly dial: dialer.Dialer;
  private readonly gate: serveGate.ServeGate;
  private readonly follower: feedSubscriber.FeedSubscriber;
  private readonly fleet: runnerFleet.RunnerFleet;
  private readonly rotation: zoneRotation.ZoneRotation;
  private readonly limits: leasedLimits.LeasedLimits;
  private readonly config = new configItems.ConfigReplica();
  private readonly borrower: limitBorrower.LimitBorrower;
  private readonly prefills = new prefillTracker.PrefillTracker();
  readonly load: loadReader.LoadReader;
  private readonly prefillSharing: prefillSharing.PrefillSharing;
  private readonly picker: runnerPicker.RunnerPicker;
  private readonly server: routerServer.RouterServer;
  private readonly batches: routerBatches.RouterBatches;
  private readonly tenantGate: tenantGate.TenantGate;
  private readonly usage: usageCounter.UsageCounter;
  private readonly loopDelay: loopDelay.LoopDelay;
  private epoch = types.NO_EPOCH;
  readonly root: tree.Supervisor;

  constructor(
    private readonly clock: types.Clock,
    private startup: settings.Settings,
  ) {
    const { region, node_name: name, bounds } = startup;
    this.loopDelay = new loopDelay.LoopDelay(clock);
    this.fleet = new runnerFleet.RunnerFleet(clock, new Map(Object.entries(startup.zones)));
    this.rotation = new zoneRotation.ZoneRotation(clock);
    this.limits = new leasedLimits.LeasedLimits(clock, bounds);
    this.picker = new runnerPicker.RunnerPicker(clock, this.fleet, this.rotation, this.limits, region, this.prefills);
    this.load = new loadReader.LoadReader(clock, this.fleet, region, (reported) => this.onRegionReports(reported));
    this.prefillSharing = new prefillSharing.PrefillSharing(clock, this.fleet, this.prefills, this.load, (hints) => this.sendHints(hints));
    const selector = new sessionSelector.SessionSelector(clock, { name, region });
    this.dial = new dialer.Dialer(clock, "", this.handlers, () => this.nodeInfo(), link.LINK_TIMEOUT_MS, selector);
    this.gate = new serveGate.ServeGate(clock, this.dial.controls, startup.unconfirmed_serve_s * 1000, () => this.onServing());
    this.dial.on("heartbeat", () => this.updateServeGate());
    this.batches = new routerBatches.RouterBatches(this.incarnation, this.prefills, this.picker.admission);
    this.batches.register(this.handlers);
    this.usage = new usageCounter.UsageCounter(clock, this.incarnation);
    this.handlers.on(calls.usageCollect, (_from, request) => this.usage.reply(request));
    this.tenantGate = new tenantGate.TenantGate(clock, region, this.dial.controls, bounds);
    this.server = new routerServer.RouterServer({
      clock,
      picker: this.picker,
      isReady: () => this.gate.allows(),
      recordSend: (request, runner) => this.prefillSharing.recordSend(request, runner),
      recordBegun: (tenant) => this.usage.record(tenant),
      machine: startup.limits,
      batches: this.batches,
      tenantGate: this.tenantGate,
    });
    this.follower = new feedSubscriber.FeedSubscriber(clock, region, this.dial, this.handlers, () => this.topics(), this);
    this.borrower = new limitBorrower.LimitBorrower(clock, this.incarnation, this.dial, this.limits);
    this.dial.addAddresses(settings.innerSeeds(startup));
    this.dial.registerHandlers(this.handlers);
    this.prefillSharing.hintExchange.register(this.handlers);
    this.picker.admission.isOn = startup.admission === "on";
    this.root = new tree.Supervisor("router", clock, []);
    this.addSupervisedParts();
  }

  private isReady(): boolean {
    return this.gate.allows() && !this.server.isDraining;
  }

  /** The router begins to serve once it has the membership of all regions; a region that is added later does not stop it. */
  private updateServeGate(): void {
    const hasAll = this.picker.routeTable !== null && this.follower.hasAllTopics(feedTopics.isListTopic) && this.tenantGate.isReady;
    this.gate.update(this.epoch, hasAll);
  }

  private onServing(): void {
    this.server.servePending();
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
    const { root, startup, server } = this;
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
    this.dial.sendHeartbeats({
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
    this.picker.admission.runPeriodically(WATCH_INTERVAL_MS);
    // After a delay of its own the router first reads what the control nodes have sent.
    const isDelayed = this.loopDelay.recordRun();
    if (!isDelayed) this.dial.maintainLinks();
    this.follower.selectPrimary();
    this.follower.updateSubscriptions();
    this.load.refresh(this.follower.replica);
    const primary = this.follower.primary;
    if (primary?.heartbeat && this.clock.now() - primary.heartbeatAt < link.HEARTBEAT_INTERVAL_MS * 3)
      this.limits.setRouterCount(primary.heartbeat.members);
    this.borrower.runPeriodically();
    this.tenantGate.runPeriodically();
    this.fleet.peerGroups.routers = this.limits.routers;
    this.server.checkSilence();
    this.fleet.restoreExpired();
    this.prefillSharing.hintExchange.publishUnresponsive(this.fleet.takeNewSuspects());
    if (!isDelayed) this.suspectUnreachableRegions();
  }

  private sendHints(hints: schema.Hints): void {
    this.follower.primary?.link.send(calls.hints, hints);
  }

  /** The runners of a region that can't be reached from here are suspected. */
  private suspectUnreachableRegions(): void {
    for (const region of networkPartitions.partitionedRegions(this.dial, this.startup.region, this.clock.now()))
      this.fleet.recordUnreachableRegion(region);
  }

  private topics(): string[] {
    return [...followedTopics.topicsOf(followedTopics.neededRegions(this.startup.zones)), ...this.load.followedTopics()];
  }

  onChange(applied: feedReplica.AppliedChange): void {
    if (applied.topic === feedTopics.REGISTER_TOPIC) this.applyConfiguration(applied);
    else if (feedTopics.isListTopic(applied.topic)) this.applyMembership(applied);
    else this.load.applyUpdate(applied);
  }

  onUnsubscribe(topic: string, keys: readonly string[]): void {
    if (feedTopics.isListTopic(topic)) this.fleet.unfollow(keys);
  }

  /** A configuration takes effect as one, between two requests (design/parts 4). */
  private applyConfiguration(applied: feedReplica.AppliedChange): void {
    const { config } = this;
    const isFirst = this.epoch < 0;
    config.applyChange(applied);
    this.epoch = types.small(applied.stamp);
    this.picker.routeTable = config.table;
    if (config.table) this.server.applyLimits(config.limits);
    this.tenantGate.applyConfiguration(this.epoch, config.tenants);
    for (const zone of this.rotation.applyEvacuations(config.evacuations, isFirst)) this.fleet.startWarmUp(zone, FAILBACK_WARM_UP_MS);
    log.state(`config: epoch ${this.epoch}, revision ${config.revision} in force`);
    this.sendHeartbeat();
    this.updateServeGate();
  }

  private applyMembership(applied: feedReplica.AppliedChange): void {
    const changed: schema.Instance[] = [];
    for (const body of applied.changed.values()) changed.push(schema.listed.fromBuffer(body).instance);
    this.fleet.applyChanges(changed, applied.removed);
    if (applied.removed.length > 0) {
      this.prefills.retainOnly(this.fleet);
      this.picker.admission.retainOnly(this.fleet);
    }
    this.updateServeGate();
  }

  /** The reports of a region are complete for one period. */
  private onRegionReports(region: string): void {
    this.picker.admission.applyReport({ region, reports: this.fleet.reportsOf(region) });
  }

  /** The settings were read again: seeds and limits take effect, the router's own addresses do not. */
  applySettings(startup: settings.Settings): void {
    this.startup = startup;
    this.dial.addAddresses(settings.innerSeeds(startup));
    this.limits.applyBounds(startup.bounds);
    this.tenantGate.applySettings(startup.bounds);
    this.picker.admission.isOn = startup.admission === "on";
    log.state("settings: read again");
  }

  private status(): unknown {
    return routerStatus.routerStatus({
      node: this.nodeInfo(),
      following: this.position().following,
      configuration: this.gate.status(),
      limits: this.limits,
      picker: this.picker,
      fleet: this.fleet,
      now: this.clock.now(),
    });
  }

  /** What it follows now, for observers in the same process (docs/experiment.md). */
  position(): routerStatus.RouterPosition {
    return { epoch: this.epoch, revision: this.config.revision, following: this.follower.primary?.node.name ?? null };
  }

  /** Graceful shutdown: finishes the requests under way, then stops all parts. */
  async stop(): Promise<void> {
    this.server.isDraining = true;
    this.sendHeartbeat();
    await gracefulShutdown.drainRequests(this.clock, this.server, this.startup.bounds.grace_s * 1000);
    log.state(this.picker.admission.stats.logLine());
    await this.root.stop();
    this.dial.close();
    this.fleet.closeIdle();
  }
}
