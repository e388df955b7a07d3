/**
 * The control role as a process runs it (design 4, 5, 6): describes the node, sends heartbeats, drives its parts by timers,
 * serves operators and clients, and shuts down gracefully. Which parts there are is in control-parts.ts.
 */
import * as crypto from "node:crypto";
import * as features from "../wire/features.js";
import * as link from "../wire/link.js";
import type * as schema from "../wire/schema.js";
import type * as serve from "../wire/serve.js";
import * as types from "../wire/types.js";
import * as timers from "../runtime/timers.js";
import * as log from "../runtime/log.js";
import * as loopDelay from "../runtime/loop-delay.js";
import * as drainWindows from "../settings/drain-windows.js";
import * as settings from "../settings/settings.js";
import * as files from "../store/files.js";
import * as dataDirLock from "../store/data-dir-lock.js";
import * as tree from "../supervisor/tree.js";
import type * as shrinkGuard from "./members/shrink-guard.js";
import * as operatorApi from "./operator/operator-api.js";
import * as operatorChain from "./operator/operator-chain.js";
import * as singletonRole from "./platform/singleton-role.js";
import * as voterDisk from "./voters/voter-disk.js";
import * as controlParts from "./control-parts.js";
import * as controlStatus from "./control-status.js";
import * as endpoints from "./endpoints.js";
import * as talliesHost from "./tallies-host.js";

/** Interval of everything that is checked periodically but heartbeats. */
const CHECK_INTERVAL_MS = 100;
/** The notice that a node shuts down reaches its neighbours before its links end. */
const DRAIN_NOTICE_MS = 150;
/** A planned restart must not wait longer than this for the hand-over of its vote. */
const HAND_OVER_TIMEOUT_MS = 1500;
/** Random part of an incarnation. */
const INCARNATION_BYTES = 6;

/** One control node; started and stopped by its root. */
export class ControlProgram {
  /** The supervisor of the node's servers, timers and disk. */
  readonly root: tree.Supervisor;
  private readonly incarnation = crypto.randomBytes(INCARNATION_BYTES).toString("hex");
  private readonly address: string;
  private readonly seeds: string[];
  private readonly handlers = new link.Handlers();
  private readonly parts: controlParts.ControlParts;
  /** Null on a node without a data folder, and before the start. */
  private disk: voterDisk.VoterDisk | null = null;
  private readonly loopDelay: loopDelay.LoopDelay;
  private isLeaving = false;
  private servers: serve.JsonServer[] = [];

  constructor(
    private readonly clock: types.Clock,
    private startup: settings.Settings,
  ) {
    this.address = `${startup.ip_address}:${startup.internal_port_range[0]}`;
    this.seeds = settings.innerSeeds(startup);
    this.loopDelay = new loopDelay.LoopDelay(clock);
    this.parts = controlParts.makeParts(this.host());
    this.root = new tree.Supervisor("control", clock, []);
    this.addChildren();
  }

  private host(): controlParts.ControlHost {
    const { clock, incarnation, address, handlers, seeds } = this;
    return {
      clock,
      incarnation,
      address,
      handlers,
      seeds,
      settings: () => this.startup,
      describe: () => this.describe(),
      controls: () => this.controls(),
      connectedControls: () => this.connectedControls(),
      isConfirmed: () => !this.isLeaving && this.parts.contact.isConfirmed(),
      eligibility: () => this.eligibility(),
      publishHeartbeats: () => this.publishHeartbeats(),
    };
  }

  private addChildren(): void {
    const { root, startup, parts } = this;
    const reply = this.operatorReply();
    root.add(endpoints.linkServer(this.clock, this.address, this.handlers));
    this.servers = [
      endpoints.operatorServer(this.clock, startup, talliesHost.withTallyCalls(parts.tallies, reply)),
      endpoints.directoryServer(this.clock, startup, this.directorySource()),
    ];
    for (const server of this.servers) root.add(server);
    root.add(root.turns("beats", link.HEARTBEAT_INTERVAL_MS, () => this.sendHeartbeats()));
    root.add(root.turns("turn", CHECK_INTERVAL_MS, () => this.runPeriodically()));
    root.add({ name: "disk", start: () => this.openDisk(), stop: () => this.closeDisk() });
    for (const part of [parts.batches, parts.duties]) if (part) root.add(part.child());
  }

  private operatorReply(): serve.RequestHandler {
    const { replica, batches, duties, dial, contact } = this.parts;
    const zones = new Set(Object.keys(this.startup.zones));
    const calls = new operatorApi.OperatorApi(replica, zones, () => this.status(), batches, duties?.rolloutCalls());
    const { clock, handlers } = this;
    return operatorChain.createOperatorHandler({ clock, handlers, dial, core: replica, contact }, (request) => calls.handle(request));
  }

  private directorySource(): endpoints.DirectorySource {
    const { members, replica } = this.parts;
    return {
      routers: () => this.resolvableRouters(),
      drains: {
        isDraining: (node) => members.isDraining(node),
        stillServes: (node) => members.stillServes(node, this.startup.bounds.grace_s * 1000),
      },
      chosen: () => replica.chosen,
    };
  }

  private describe(): schema.NodeInfo {
    const { replica } = this.parts;
    return {
      name: this.startup.node_name,
      role: "control",
      life: this.incarnation,
      zone: this.startup.zone,
      region: this.startup.region,
      address: this.address,
      outside: this.startup.bind_addresses.control_plane ?? "",
      disk: replica.disk,
      isCounted: this.startup.failure_counted,
      isReady: !this.isLeaving,
      epoch: replica.chosen?.epoch ?? types.NO_EPOCH,
    };
  }

  /** This control node and those it has links to. */
  private controls(): schema.ControlInfo[] {
    const { node_name: name, zone, region } = this.startup;
    return [{ address: this.address, name, zone, region }, ...this.parts.dial.connectedControls()];
  }

  /** This node and the control nodes that have a session here. */
  private connectedControls(): schema.NodeInfo[] {
    return [this.describe(), ...this.parts.members.connectedControls(this.startup.node_name)];
  }

  private eligibility(): singletonRole.Eligibility {
    if (this.isLeaving) return singletonRole.DRAINING;
    return this.parts.contact.isConfirmed() ? singletonRole.CONFIRMED : singletonRole.UNCONFIRMED;
  }

  /** The routers that the directory names: while no majority confirms this node, those with sessions here. */
  private resolvableRouters(): shrinkGuard.ObservedNode[] {
    const { contact, members } = this.parts;
    return contact.isConfirmed() ? members.routers() : members.ownRouters();
  }

  private sendHeartbeats(): void {
    this.parts.contact.requestConfirmations();
    this.publishHeartbeats();
  }

  /** Also at once when contact with a majority is found or lost. */
  private publishHeartbeats(): void {
    const { members, dial, contact } = this.parts;
    const { epoch, isReady } = this.describe();
    const isSettled = contact.isConfirmed();
    // What regions sent during a delay of this process may be unread.
    const silentRegions = this.loopDelay.wasDelayed(link.HEARTBEAT_INTERVAL_MS) ? [] : dial.silentRegions();
    const heartbeat = { isReady, epoch, isSettled, silentRegions, index: features.OWN_FEATURES };
    members.sendHeartbeats(heartbeat);
    dial.sendHeartbeats({ ...heartbeat, members: 1 });
    members.publishToPeers(this.describe(), dial.links(), this.controls());
  }

  private runPeriodically(): void {
    const { dial, members, replica, contact, fleetObserver, voterManager, tallies, batches, duties } = this.parts;
    // After a delay of its own the node first reads what its peers have sent.
    if (!this.loopDelay.recordRun()) {
      dial.maintainLinks();
      members.expireSilent();
    }
    replica.runPeriodically();
    contact.runPeriodically();
    fleetObserver.runPeriodically();
    voterManager.runPeriodically();
    tallies.runPeriodically();
    batches?.runPeriodically();
    duties?.runPeriodically();
  }

  /** Never waits for the disk: until it is read, this node runs without a vote. */
  private openDisk(): void {
    const { data_dir: name, bootstrap: isBootstrap } = this.startup;
    if (!name) return;
    const { replica, leases, tallies } = this.parts;
    const machine = { clock: this.clock, folder: new files.LocalFolder(name), processes: dataDirLock.systemProcesses };
    const node = { address: this.address, seeds: this.seeds, isBootstrap };
    this.disk = new voterDisk.VoterDisk(machine, node, (acceptor) => replica.attachVoter(acceptor));
    this.disk.start();
    void leases.quotas.open(machine.folder);
    tallies.open(machine.folder);
  }

  private async closeDisk(): Promise<void> {
    this.parts.replica.detachVoter();
    await Promise.all([this.disk?.stop(), this.parts.tallies.stop()]);
  }

  /** The settings were read again: seeds, bounds and the platform's address take effect; own addresses do not. */
  applySettings(startup: settings.Settings): void {
    const { dial, fleetObserver, leases, duties } = this.parts;
    this.startup = startup;
    duties?.applySettings(startup);
    dial.addAddresses(settings.innerSeeds(startup));
    fleetObserver.applySettings(startup);
    leases.updateSettings(startup.bounds);
    log.state("settings: read again");
  }

  /** As `cranewind status` shows it. */
  status(): unknown {
    const { replica, contact, members, fleetObserver, leases, tallies, batches, duties } = this.parts;
    return controlStatus.buildStatus({
      node: this.describe(),
      replica,
      contact,
      members,
      disk: this.disk?.status() ?? null,
      cells: fleetObserver.status(),
      quotas: leases.quotas.status(),
      tallies: tallies.status(),
      batches: batches?.status() ?? null,
      duties: duties?.status() ?? null,
    });
  }

  /** Hands over what others can take on, while it still votes; links end before the vote does, so that it is never silent. */
  async stop(): Promise<void> {
    const { dial, members, contact, fleetObserver, tallies } = this.parts;
    this.isLeaving = true;
    contact.withdraw();
    tallies.drain();
    this.publishHeartbeats();
    const { exitMs } = drainWindows.drainWindows(this.startup.bounds.grace_s * 1000);
    const isHandedOver = await timers.endsWithin(this.clock, exitMs, this.handOver());
    if (!isHandedOver) log.state("leaving: the grace period ends before all is handed over");
    dial.close();
    members.closeSessions();
    await this.root.stop();
    fleetObserver.stop();
  }

  /** The calls under way need the links and the disks of the peers: they are answered before these end. */
  private async handOver(): Promise<void> {
    const { voterManager, tallies, batches, duties } = this.parts;
    await Promise.all([
      this.answerCalls(),
      voterManager.handOver(HAND_OVER_TIMEOUT_MS),
      batches?.handOver(HAND_OVER_TIMEOUT_MS),
      duties?.handOver(HAND_OVER_TIMEOUT_MS),
      tallies.handOver(HAND_OVER_TIMEOUT_MS),
    ]);
  }

  private async answerCalls(): Promise<void> {
    await timers.sleep(this.clock, DRAIN_NOTICE_MS);
    await Promise.all(this.servers.map((server) => server.stop()));
  }
}
