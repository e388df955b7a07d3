// Control nodes with a disk of their own over a simulated network: restarted, wiped, stalled and filled by a test. The
// register, its membership and the feed are the program's own.
import * as configItems from "../../src/config/config-items.js";
import * as voterManager from "../../src/control/voters/voter-manager.js";
import * as registerReplica from "../../src/control/register-replica.js";
import * as operatorApi from "../../src/control/operator/operator-api.js";
import * as serve from "../../src/wire/serve.js";
import * as dialer from "../../src/feed/dialer.js";
import * as feedPublisher from "../../src/feed/feed-publisher.js";
import * as feedTopics from "../../src/feed/feed-topics.js";
import * as registerValue from "../../src/register/register-value.js";
import * as acceptor from "../../src/register/acceptor.js";
import * as calls from "../../src/wire/calls.js";
import * as link from "../../src/wire/link.js";
import * as schema from "../../src/wire/schema.js";
import * as types from "../../src/wire/types.js";
import * as simulatedNodes from "./simulated-nodes.js";
import * as networks from "./network.js";

const SYNC_MS = 5;
const TURN_MS = 100;
const POLL_MS = 20;

export function addressOf(name: string): string {
  return `${name}:1`;
}

export class NetworkDialer extends dialer.Dialer {
  reach: (address: string) => Promise<link.Link | null> = () => Promise.resolve(null);
  protected override connect(address: string): Promise<link.Link | null> {
    return this.reach(address);
  }
}

/** What outlives a process. */
class SimDisk {
  record: Buffer | null = null;
  isFull = false;
  isHung = false;
  wipes = 0;
  largest = 0;

  constructor(private readonly clock: types.Clock) {}

  async write(body: Buffer): Promise<void> {
    await this.wait(SYNC_MS);
    while (this.isHung) await this.wait(POLL_MS);
    if (this.isFull) throw new Error("no space left");
    this.record = body;
    this.largest = Math.max(this.largest, body.length);
  }

  private wait(ms: number): Promise<void> {
    return new Promise((resolve) => this.clock.schedule(ms, resolve));
  }
}

/** One life of a control node's process. */
export class Life {
  readonly handlers = new link.Handlers();
  readonly dial: NetworkDialer;
  readonly core: registerReplica.RegisterReplica;
  readonly feed: feedPublisher.FeedPublisher;
  private readonly operator: operatorApi.OperatorApi;
  private readonly voterManager: voterManager.VoterManager;
  private readonly callers = new Set<link.Link>();
  isOver = false;

  constructor(
    private readonly node: DurableNode,
    private readonly life: string,
    first: schema.Value,
  ) {
    const { world, network, name } = node;
    this.dial = new NetworkDialer(world, addressOf(name), this.handlers, () => this.describe(), link.LINK_TIMEOUT_MS);
    this.dial.reach = (address) => network.connect(name, address, this.handlers, world);
    this.dial.addAddresses(node.seeds.map(addressOf));
    this.feed = new feedPublisher.FeedPublisher(life);
    this.core = new registerReplica.RegisterReplica(world, { incarnation: life, address: addressOf(name), initialValue: first }, this.dial);
    this.operator = new operatorApi.OperatorApi(this.core, new Set(["north"]), () => null);
    this.voterManager = new voterManager.VoterManager(world, this.core, () => [this.describe(), ...this.peers()]);
    this.handle();
    this.every(TURN_MS, () => this.turn());
    this.every(link.HEARTBEAT_INTERVAL_MS, () => this.beat());
  }

  describe(): schema.NodeInfo {
    const { name } = this.node;
    const info = simulatedNodes.nodeOf(name, "control", "r", addressOf(name));
    return { ...info, life: this.life, disk: this.core?.disk ?? "", isCounted: true, epoch: this.epoch };
  }

  private peers(): schema.NodeInfo[] {
    return [...this.dial.controls.values()].map((control) => control.node);
  }

  get epoch(): types.Epoch {
    return this.core?.chosen?.epoch ?? types.NO_EPOCH;
  }

  private handle(): void {
    const { handlers, dial, core, feed } = this;
    const splitter = new configItems.ConfigSplitter();
    core.registerHandlers(handlers);
    handlers.on(calls.hello, (from, ask) => {
      this.callers.add(from);
      if (ask.node.role === "control") dial.dialWithoutBackoff(ask.node.address);
      return { node: this.describe(), controls: [], place: feed.incarnation, isConfirmed: true };
    });
    handlers.on(calls.heartbeat, (from, told) => {
      dial.receiveHeartbeat(from, told);
      if (told.epoch > this.epoch) void core.catchUp(from, told.epoch);
      return null;
    });
    handlers.on(calls.subscribe, (from, ask) => {
      feed.subscribe(from, ask);
      return null;
    });
    core.on("chosen", (value) => feed.publishSnapshot(feedTopics.REGISTER_TOPIC, splitter.split(value), types.small(value.epoch)));
    this.node.network.listen(this.node.name, handlers);
  }

  private every(ms: number, run: () => void): void {
    const again = (): void => {
      if (this.isOver) return;
      this.node.world.schedule(ms, again);
      run();
    };
    this.node.world.schedule(ms * this.node.world.random(), again);
  }

  private turn(): void {
    this.dial.maintainLinks();
    this.core.runPeriodically();
    this.voterManager.runPeriodically();
  }

  private beat(): void {
    const isSettled = this.core.hasQuorum();
    this.dial.sendHeartbeats({ isReady: true, epoch: this.epoch, isSettled, index: 0, members: 1, silentRegions: [] });
  }

  call(method: string, path: string, base = 0, body: Buffer = Buffer.alloc(0)): Promise<serve.HttpResponse> {
    const headers = { "x-cranewind-base-version": String(base) };
    return Promise.resolve(this.operator.handle({ method, path, query: new URLSearchParams(), headers, body, caller: serve.LOCAL_CALLER }));
  }

  end(): void {
    this.isOver = true;
    this.dial.close();
    for (const caller of this.callers) caller.end("process ended");
    this.core.detachVoter();
    this.node.network.close(this.node.name);
  }
}

/** A machine: its disk, and the life of the process that runs on it. */
export class DurableNode {
  readonly world: networks.NodeWorld;
  readonly disk: SimDisk;
  life!: Life;
  private lives = 0;

  constructor(
    readonly network: networks.SimNetwork,
    readonly name: string,
    readonly seeds: readonly string[],
  ) {
    this.world = new networks.NodeWorld(network, name);
    this.disk = new SimDisk(this.world);
    const first = registerValue.initialValue(seeds.map(addressOf));
    const accepted = { ballot: registerValue.NO_BALLOT, value: first };
    this.start(first, { disk: registerValue.initialDisk(addressOf(name)), promised: registerValue.NO_BALLOT, accepted });
  }

  private start(first: schema.Value, blank: schema.Disk): void {
    this.lives += 1;
    this.disk.record ??= schema.disk.toBuffer(blank);
    const state = acceptor.Acceptor.restore(this.disk.record);
    this.life = new Life(this, `${this.name}/${this.lives}`, first);
    this.life.core.attachVoter(new acceptor.Acceptor(this.disk, state));
  }

  stop(): void {
    this.life.end();
  }

  /** The process comes up again with what its disk holds; bootstrap is false by now. */
  up(): void {
    const disk = `disk:${this.name}-${this.disk.wipes}`;
    this.start(registerValue.initialValue([]), { disk, promised: registerValue.NO_BALLOT, accepted: null });
  }

  wipe(): void {
    this.disk.record = null;
    this.disk.wipes += 1;
  }
}
