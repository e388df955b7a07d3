// Whole control nodes over a simulated network: register, contact, sessions, feed, operator and directory as the
// program puts them together, without sockets.
import * as configItems from "../../src/config/config-items.js";
import * as quorumContact from "../../src/control/voters/quorum-contact.js";
import * as registerReplica from "../../src/control/register-replica.js";
import * as quorumConfirmation from "../../src/register/quorum-confirmation.js";
import * as directory from "../../src/control/directory/directory.js";
import * as singletonRole from "../../src/control/platform/singleton-role.js";
import * as leaseServer from "../../src/control/leases/lease-server.js";
import * as sessionHandlers from "../../src/control/members/session-handlers.js";
import * as operatorApi from "../../src/control/operator/operator-api.js";
import * as operatorChain from "../../src/control/operator/operator-chain.js";
import * as serve from "../../src/wire/serve.js";
import * as membership from "../../src/control/members/membership.js";
import * as dialer from "../../src/feed/dialer.js";
import * as feedPublisher from "../../src/feed/feed-publisher.js";
import * as feedTopics from "../../src/feed/feed-topics.js";
import * as registerValue from "../../src/register/register-value.js";
import * as acceptor from "../../src/register/acceptor.js";
import * as calls from "../../src/wire/calls.js";
import * as features from "../../src/wire/features.js";
import * as link from "../../src/wire/link.js";
import type * as schema from "../../src/wire/schema.js";
import * as types from "../../src/wire/types.js";
import * as simulatedNodes from "./simulated-nodes.js";
import * as networks from "./network.js";

const GRACE_MS = 8000;
export const ZONES = new Set(["z0", "z1", "z2", "z3", "z4", "z5", "z6", "z7"]);
const BOUNDS = {
  retry_ratio: 0.1,
  retry_window_s: 10,
  retry_extra: 20,
  warmup_overshoot: 1.5,
  warmup_tolerance: 3,
  quota_window_s: 5,
  quota_overshoot: 0.1,
  quota_tolerance: 20,
};

export class MemberDialer extends dialer.Dialer {
  reach: (address: string) => Promise<link.Link | null> = () => Promise.resolve(null);
  protected override connect(address: string): Promise<link.Link | null> {
    return this.reach(address);
  }
}

/** A guard that a test may break on purpose, to see the checker fail. */
export type Broken = "none" | "always_confirmed" | "any_epoch" | "no_bound";

class BrokenConfirmation extends quorumConfirmation.Confirmation {
  constructor(
    clock: types.Clock,
    private readonly broken: Broken,
  ) {
    super(clock);
  }
  override recordAnswer(disk: string, answer: quorumConfirmation.Answer): void {
    super.recordAnswer(disk, this.broken === "any_epoch" ? { ...answer, epoch: types.NO_EPOCH } : answer);
  }
  override isConfirmed(value: schema.Value | null): boolean {
    return this.broken === "always_confirmed" || super.isConfirmed(value);
  }
  protected override isRecent(sentAt: types.SteadyMs): boolean {
    return this.broken === "no_bound" || super.isRecent(sentAt);
  }
}

export interface Options {
  seeds: readonly string[];
  region: string;
  isVoter?: boolean;
  broken?: Broken;
}

/** What one heartbeat of the node said, with the time. */
export interface PublishedHeartbeat {
  at: number;
  isSettled: boolean;
  epoch: types.Epoch;
}

export class ControlNode {
  readonly handlers = new link.Handlers();
  readonly world: networks.NodeWorld;
  readonly dial: MemberDialer;
  readonly members: membership.Membership;
  readonly feed: feedPublisher.FeedPublisher;
  readonly replica: registerReplica.RegisterReplica;
  readonly leaseServer: leaseServer.LeaseServer;
  readonly contact: quorumContact.QuorumContact;
  private readonly reply: serve.RequestHandler;
  readonly publishedHeartbeats: PublishedHeartbeat[] = [];
  private readonly region: string;
  syncMs = 3;
  isDraining = false;

  constructor(
    readonly network: networks.SimNetwork,
    readonly name: string,
    options: Options,
  ) {
    const world = (this.world = new networks.NodeWorld(network, name));
    this.region = options.region;
    const seeds = options.seeds.map(addressOf);
    this.dial = new MemberDialer(world, addressOf(name), this.handlers, this.describe.bind(this), link.LINK_TIMEOUT_MS);
    this.dial.reach = (address) => network.connect(name, address, this.handlers, world);
    this.dial.addAddresses(seeds);
    this.members = new membership.Membership(world, link.LINK_TIMEOUT_MS, `${name}/1`);
    this.feed = new feedPublisher.FeedPublisher(`${name}/1`);
    const first = registerValue.initialValue(seeds);
    this.replica = new registerReplica.RegisterReplica(
      world,
      { incarnation: `${name}/1`, address: addressOf(name), initialValue: first },
      this.dial,
    );
    this.leaseServer = new leaseServer.LeaseServer(world, `${name}/1`, BOUNDS, this.replica);
    const confirmation = new BrokenConfirmation(world, options.broken ?? "none");
    this.contact = new quorumContact.QuorumContact(
      world,
      this.replica,
      this.dial,
      this.leaseServer.recordFenceReply.bind(this.leaseServer),
      confirmation,
    );
    const operator = new operatorApi.OperatorApi(this.replica, ZONES, () => ({ contact: this.contact.status() }));
    const { handlers, dial, replica: core, contact } = this;
    this.reply = operatorChain.createOperatorHandler({ clock: world, handlers, dial, core, contact }, operator.handle.bind(operator));
    this.handle();
    if (options.isVoter !== false) this.vote(first);
    this.run();
  }

  private handle(): void {
    const { handlers, members, dial, replica: core, contact, feed } = this;
    const splitter = new configItems.ConfigSplitter();
    core.registerHandlers(handlers);
    this.leaseServer.registerHandlers(handlers, contact);
    const describe = this.describe.bind(this);
    sessionHandlers.registerHandlers({
      handlers,
      members,
      dial,
      replica: core,
      contact,
      describe,
      controls: () => this.controls(),
      feedIncarnation: feed.incarnation,
    });
    handlers.on(calls.subscribe, (from, ask) => {
      feed.subscribe(from, ask);
      return null;
    });
    dial.on("up", () => members.publishControls(this.controls()));
    contact.on("confirmed", () => this.publishHeartbeats());
    contact.on("lost", () => this.publishHeartbeats());
    core.on("chosen", (value) => feed.publishSnapshot(feedTopics.REGISTER_TOPIC, splitter.split(value), types.small(value.epoch)));
    this.network.listen(this.name, handlers);
  }

  private vote(first: schema.Value): void {
    const accepted = { ballot: registerValue.NO_BALLOT, value: first };
    const state = { disk: registerValue.initialDisk(addressOf(this.name)), promised: registerValue.NO_BALLOT, accepted };
    const write = (): Promise<void> => new Promise((resolve) => this.world.schedule(this.syncMs, resolve));
    this.replica.attachVoter(new acceptor.Acceptor({ write }, state));
  }

  private run(): void {
    every(this.world, link.HEARTBEAT_INTERVAL_MS, () => this.sendHeartbeats());
    every(this.world, 100, () => this.runPeriodically());
  }

  private describe(): schema.NodeInfo {
    const disk = this.replica?.disk ?? "";
    return { ...simulatedNodes.nodeOf(this.name, "control", this.region, addressOf(this.name)), disk, epoch: this.epoch };
  }

  get epoch(): types.Epoch {
    return this.replica?.chosen?.epoch ?? types.NO_EPOCH;
  }

  private controls(): schema.ControlInfo[] {
    return [{ address: addressOf(this.name), name: this.name, zone: this.region, region: this.region }, ...this.dial.connectedControls()];
  }

  private sendHeartbeats(): void {
    this.contact.requestConfirmations();
    this.publishHeartbeats();
  }

  private publishHeartbeats(): void {
    const isSettled = this.contact.isConfirmed();
    this.publishedHeartbeats.push({ at: this.world.now(), isSettled, epoch: this.epoch });
    const { epoch, isDraining: isLeaving } = this;
    const base = { isReady: !isLeaving, epoch, isSettled, silentRegions: this.dial.silentRegions(), index: features.OWN_FEATURES };
    this.members.sendHeartbeats(base);
    this.dial.sendHeartbeats({ ...base, members: 1 });
    this.members.publishToPeers(this.describe(), this.dial.links(), this.controls());
  }

  private runPeriodically(): void {
    this.dial.maintainLinks();
    this.members.expireSilent();
    this.replica.runPeriodically();
    this.contact.runPeriodically();
  }

  drain(): void {
    this.isDraining = true;
    this.contact.withdraw();
    this.publishHeartbeats();
  }

  fitness(of: ControlNode): singletonRole.Eligibility | null {
    const control = this.dial.controls.get(addressOf(of.name));
    return control ? singletonRole.eligibilityOf(control) : null;
  }

  /** An operator's call to this very node; no redirect is followed. */
  async call(method: string, path: string, caller: serve.Caller = serve.LOCAL_CALLER): Promise<serve.HttpResponse> {
    return this.reply({ method, path, query: new URLSearchParams(), headers: {}, body: Buffer.alloc(0), caller });
  }

  evacuate(zone: string): Promise<serve.HttpResponse> {
    return this.call("POST", `/-/Evacuations.Start/${zone}`);
  }

  resolve(region: string): string[] {
    const routers = (): ReturnType<membership.Membership["routers"]> =>
      this.contact.isConfirmed() ? this.members.routers() : this.members.ownRouters();
    const response = directory.resolve(
      {
        routers,
        drains: { isDraining: (node) => this.members.isDraining(node), stillServes: (node) => this.members.stillServes(node, GRACE_MS) },
        homeRegionsOf: () => new Set(),
        maxTtlS: 2,
      },
      new URLSearchParams({ region, zone: region }),
    );
    return (response.json as { addresses?: string[] }).addresses ?? [];
  }
}

export function addressOf(name: string): string {
  return `${name}:1`;
}

/** Each process at a phase of its own. */
export function every(clock: types.Clock, ms: number, run: () => void): void {
  const again = (): void => {
    clock.schedule(ms, again);
    run();
  };
  clock.schedule(ms * clock.random(), again);
}
