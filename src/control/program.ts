// The control role put together: register, sessions, feed, cells, directory, operator (design 4, 5, 6).
import * as crypto from "node:crypto";
import * as features from "../wire/features.js";
import * as link from "../wire/link.js";
import * as schema from "../wire/schema.js";
import * as types from "../wire/types.js";
import * as timers from "../runtime/timers.js";
import * as log from "../runtime/log.js";
import * as settings from "../settings/settings.js";
import * as parts from "../config/parts.js";
import * as dialer from "../feed/dialer.js";
import * as feedPublisher from "../feed/feed-publisher.js";
import * as feedTopics from "../feed/feed-topics.js";
import * as registerValue from "../register/register-value.js";
import * as files from "../store/files.js";
import * as dataDirLock from "../store/data-dir-lock.js";
import * as tree from "../supervisor/tree.js";
import * as account from "./account.js";
import * as voterManager from "./voters/voter-manager.js";
import * as batches from "./batches/batches.js";
import * as fleetObserver from "./platform/fleet-observer.js";
import * as quorumContact from "./voters/quorum-contact.js";
import * as registerReplica from "./register-replica.js";
import * as voterDisk from "./voters/voter-disk.js";
import * as singletonRole from "./platform/singleton-role.js";
import * as endpoints from "./endpoints.js";
import * as leaseServer from "./leases/lease-server.js";
import * as sessionHandlers from "./members/session-handlers.js";
import * as operators from "./operator/operator.js";
import * as operatorChain from "./operator/operator-chain.js";
import * as membership from "./members/membership.js";
import * as tallies from "./tallies.js";

const TURN_MS = 100;
/** A leaving node's word reaches its neighbours before its links end. */
const LEAVE_MS = 150;
/** A planned restart must not wait longer than this for the hand-over of its vote. */
const HAND_OVER_MS = 1500;

/** One control node; started and stopped by its root. */
export class ControlProgram {
  private readonly life = crypto.randomBytes(6).toString("hex");
  private readonly address: string;
  private readonly handlers = new link.Handlers();
  private readonly dial: dialer.Dialer;
  private readonly members: membership.Membership;
  private readonly feed: feedPublisher.FeedPublisher;
  private readonly core: registerReplica.RegisterReplica;
  private readonly contact: quorumContact.QuorumContact;
  private readonly cells: fleetObserver.FleetObserver;
  private readonly leases: leaseServer.LeaseServer;
  private readonly voterManager: voterManager.VoterManager;
  private readonly tallies: ReturnType<typeof tallies.make>;
  /** Null where the setting `batches` is off. */
  private readonly batches: batches.Batches | null;
  private isLeaving = false;
  private disk: voterDisk.VoterDisk | null = null;
  readonly root: tree.Supervisor;

  constructor(
    private readonly clock: types.Clock,
    private startup: settings.Settings,
  ) {
    const port = startup.internal_port_range[0];
    this.address = `${startup.ip_address}:${port}`;
    this.dial = new dialer.Dialer(clock, this.address, this.handlers, this.describe.bind(this), link.SILENT_MS);
    this.members = new membership.Membership(clock, link.SILENT_MS, this.life);
    this.feed = new feedPublisher.FeedPublisher(this.life);
    const seeds = settings.innerSeeds(startup);
    this.dial.addAddresses(seeds);
    const first = startup.bootstrap ? registerValue.initialValue(seeds) : registerValue.initialValue([]);
    this.core = new registerReplica.RegisterReplica(clock, { life: this.life, address: this.address, first }, this.dial);
    this.leases = new leaseServer.LeaseServer(clock, this.life, startup.bounds, this.core);
    this.contact = new quorumContact.QuorumContact(clock, this.core, this.dial, this.leases.recordFenceReply.bind(this.leases));
    this.cells = new fleetObserver.FleetObserver(clock, startup, this.dial, this.feed, this.core, this.members, this.fitness.bind(this));
    this.voterManager = new voterManager.VoterManager(clock, this.core, this.heldControls.bind(this));
    this.tallies = tallies.make({ ...this.parts(), settings: () => this.startup });
    this.batches = this.makeBatches(seeds);
    this.root = new tree.Supervisor("control", clock, []);
    this.handle();
    this.plan(seeds);
  }

  private describe(): schema.NodeInfo {
    return {
      name: this.startup.node_name,
      role: "control",
      life: this.life,
      zone: this.startup.zone,
      region: this.startup.region,
      address: this.address,
      outside: this.startup.bind_addresses.control_plane ?? "",
      disk: this.core?.disk ?? "",
      isCounted: this.startup.failure_counted,
      isReady: !this.isLeaving,
      epoch: this.core?.chosen?.epoch ?? types.NO_EPOCH,
    };
  }

  private handle(): void {
    const { handlers, members, dial, core, contact, feed } = this;
    const describe = this.describe.bind(this);
    const controls = this.controls.bind(this);
    const splitter = new parts.Splitter();
    core.registerHandlers(handlers);
    this.cells.registerHandlers(handlers);
    this.leases.registerHandlers(handlers, this.contact);
    sessionHandlers.registerHandlers({
      handlers,
      members,
      dial,
      replica: core,
      contact,
      describe,
      controls,
      feedIncarnation: feed.incarnation,
    });
    dial.on("up", function met() {
      members.publishControls(controls());
    });
    feed.registerHandlers(handlers);
    contact.on("confirmed", this.tell.bind(this));
    contact.on("lost", this.tell.bind(this));
    core.on("chosen", function chosen(value) {
      feed.publishSnapshot(feedTopics.REGISTER_TOPIC, splitter.split(value), types.small(value.epoch));
    });
  }

  /** For parts with messages of their own. */
  private parts() {
    const { clock, life, address, dial, handlers, members, core } = this;
    return { clock, life, address, dial, handlers, members, core };
  }

  private makeBatches(seeds: string[]): batches.Batches | null {
    const { startup, feed, cells, core } = this;
    const isConfirmed = (): boolean => !this.isLeaving && this.contact.isConfirmed();
    const heldControls = this.heldControls.bind(this);
    const host = { ...this.parts(), startup, seeds, feed, cells, isConfirmed, heldControls };
    return batches.make(this.clock, { ...host, configuration: () => core.chosen });
  }

  private plan(seeds: string[]): void {
    const { root, startup } = this;
    const operator = new operators.Operator(this.core, new Set(Object.keys(startup.zones)), this.status.bind(this), this.batches);
    const reply = operatorChain.chain(
      { clock: this.clock, handlers: this.handlers, dial: this.dial, core: this.core, contact: this.contact },
      operator.reply.bind(operator),
    );
    const stillServes = this.members.stillServes.bind(this.members);
    const directory = { routers: this.resolvable.bind(this), stillServes, chosen: () => this.core.chosen };
    root.add(endpoints.internalChild(this.clock, this.address, this.handlers));
    root.add(endpoints.operatorChild(startup, tallies.before(this.tallies, reply)));
    root.add(endpoints.directoryChild(startup, directory));
    root.add(root.turns("beats", link.BEAT_MS, this.beat.bind(this)));
    root.add(root.turns("turn", TURN_MS, this.turn.bind(this)));
    root.add({ name: "disk", start: this.openDisk.bind(this, seeds), stop: this.stopDisk.bind(this) });
    if (this.batches) root.add(this.batches.child());
  }

  /** The loop never waits on the disk: until it is read, this node runs without a vote. */
  private openDisk(seeds: string[]): void {
    const { data_dir: name, bootstrap: isBootstrap } = this.startup;
    if (!name) return;
    const machine = { clock: this.clock, folder: new files.LocalFolder(name), processes: dataDirLock.systemProcesses };
    this.disk = new voterDisk.VoterDisk(machine, { address: this.address, seeds, isBootstrap }, this.core.attachVoter.bind(this.core));
    this.disk.start();
    void this.leases.quotas.open(machine.folder);
    this.tallies.open(machine.folder);
  }

  private async stopDisk(): Promise<void> {
    this.core.detachVoter();
    await Promise.all([this.disk?.stop(), this.tallies.stop()]);
  }

  private beat(): void {
    this.contact.requestConfirmations();
    this.tell();
  }

  /** Also at once when contact with a majority is found or lost. */
  private tell(): void {
    const { epoch, isReady } = this.describe();
    const isSettled = this.contact.isConfirmed();
    const base = { isReady, epoch, isSettled, silentRegions: this.dial.silentRegions(), index: features.OWN_FEATURES };
    this.members.sendHeartbeats(base);
    this.dial.sendHeartbeats({ ...base, members: 1 });
    this.members.publishRoster(this.describe(), this.dial.links(), this.controls());
  }

  /** The routers that the directory names: while nobody confirms this node, those that it hears itself. */
  private resolvable() {
    return this.contact.isConfirmed() ? this.members.routers() : this.members.ownRouters();
  }

  private fitness(): singletonRole.Eligibility {
    if (this.isLeaving) return singletonRole.DRAINING;
    return this.contact.isConfirmed() ? singletonRole.CONFIRMED : singletonRole.UNCONFIRMED;
  }

  /** This control node and those it has links to. */
  private controls(): schema.ControlInfo[] {
    const { node_name: name, zone, region } = this.startup;
    return [{ address: this.address, name, zone, region }, ...this.dial.connectedControls()];
  }

  private turn(): void {
    this.dial.maintainLinks();
    this.members.expireSilent();
    this.core.runPeriodically();
    this.contact.runPeriodically();
    this.cells.runPeriodically();
    this.voterManager.runPeriodically();
    this.tallies.turn();
    this.batches?.turn();
  }

  /** This node and the control nodes whose sessions it holds itself. */
  private heldControls(): schema.NodeInfo[] {
    return [this.describe(), ...this.members.connectedControls(this.startup.node_name)];
  }

  /** Settings read again: seeds, bounds and the platform's address take effect; addresses of its own do not. */
  resettle(startup: settings.Settings): void {
    this.startup = startup;
    this.dial.addAddresses(settings.innerSeeds(startup));
    this.cells.applySettings(startup);
    this.leases.updateSettings(startup.bounds);
    log.state("settings: read again");
  }

  status(): unknown {
    const { core, contact, members } = this;
    return account.account({
      node: this.describe(),
      core,
      contact,
      members,
      disk: this.disk?.status() ?? null,
      cells: this.cells.status(),
      quotas: this.leases.quotas.status(),
      tallies: this.tallies.status(),
      batches: this.batches?.status() ?? null,
    });
  }

  /** Hands over what others can take on, while it still votes; links end before the vote does, so that it is never silent. */
  async stop(): Promise<void> {
    this.isLeaving = true;
    this.contact.withdraw();
    this.tallies.leave();
    this.tell();
    await Promise.all([timers.sleep(this.clock, LEAVE_MS), this.voterManager.handOver(HAND_OVER_MS), this.batches?.handOver(HAND_OVER_MS)]);
    this.dial.close();
    this.members.closeSessions();
    await this.root.stop();
    this.cells.stop();
  }
}
