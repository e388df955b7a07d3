// One control node of the model: the real core, voter, ring, proposer and membership over a simulated machine.
import * as voterManager from "../../src/control/voters/voter-manager.js";
import * as registerReplica from "../../src/control/register-replica.js";
import * as dialer from "../../src/feed/dialer.js";
import type * as registerStep from "../../src/register/register-step.js";
import * as registerValue from "../../src/register/register-value.js";
import * as acceptor from "../../src/register/acceptor.js";
import * as format from "../../src/store/format.js";
import * as recordRing from "../../src/store/record-ring.js";
import * as link from "../../src/wire/link.js";
import * as schema from "../../src/wire/schema.js";
import * as types from "../../src/wire/types.js";
import * as disk from "./disk.js";
import * as mutations from "./mutations.js";
import type * as networks from "./network.js";
import * as network from "./network.js";

const UPKEEP_MS = 100;
const OPEN_AGAIN_MS = 500;

/** Timers of one process: they wait while it is frozen and are gone once it has ended. */
class NodeWorld implements types.Clock {
  constructor(private readonly node: ModelNode) {}

  now(): types.SteadyMs {
    return this.node.network.clock.now();
  }

  random(): number {
    return this.node.network.clock.random();
  }

  schedule(ms: number, run: () => void): types.Timer {
    const { node } = this;
    return node.network.clock.schedule(ms, node.deliver.bind(node, node.generation, run));
  }
}

export class ModelNode {
  isUp = false;
  isFrozen = false;
  /** Counts the processes of this machine. */
  generation = 0;
  disk: disk.ModelDisk;
  handlers = new link.Handlers();
  readonly links = new Map<string, network.ModelLink>();
  readonly clock: types.Clock = new NodeWorld(this);
  core: registerReplica.RegisterReplica | null = null;
  voter: acceptor.Acceptor | null = null;
  private dial: dialer.Dialer | null = null;
  private voterManager: voterManager.VoterManager | null = null;
  private held: (() => void)[] = [];
  private identities = 0;

  constructor(
    readonly network: networks.Network,
    readonly address: string,
    private readonly seeds: readonly string[],
    readonly mutations: mutations.Mutations,
    private readonly onChosen: (value: schema.Value) => void,
  ) {
    this.disk = new disk.ModelDisk(network.clock, mutations);
  }

  /** Runs in this process: later if it is frozen, never if it has ended. */
  deliver(generation: number, run: () => void): void {
    if (generation !== this.generation || !this.isUp) return;
    if (this.isFrozen) this.held.push(run);
    else run();
  }

  thaw(): void {
    this.isFrozen = false;
    const { held } = this;
    this.held = [];
    for (const run of held) run();
  }

  crash(): void {
    if (!this.isUp) return;
    this.isUp = this.isFrozen = false;
    this.generation += 1;
    this.held = [];
    this.core = this.voter = null;
    for (const held of this.links.values()) held.isOpen = false;
    this.links.clear();
    this.disk.crash();
  }

  wipe(): void {
    this.crash();
    this.disk = new disk.ModelDisk(this.network.clock, this.mutations);
  }

  async start(isBootstrap: boolean): Promise<void> {
    if (this.isUp) return;
    this.isUp = true;
    const { generation } = this;
    this.handlers = new link.Handlers();
    const life = `${this.address}/${generation}`;
    this.dial = new dialer.Dialer(this.clock, this.address, this.handlers, this.describe.bind(this), link.LINK_TIMEOUT_MS);
    this.dial.addAddresses(this.seeds);
    const first = registerValue.initialValue(isBootstrap ? this.seeds : []);
    this.core = this.mutations.makeCore(this.clock, { incarnation: life, address: this.address, initialValue: first }, this.dial);
    this.core.on("chosen", this.onChosen);
    this.core.registerHandlers(this.handlers);
    this.voterManager = new voterManager.VoterManager(this.clock, this.core, this.members.bind(this));
    this.clock.schedule(UPKEEP_MS * this.clock.random(), this.upkeep.bind(this));
    await this.readDisk(isBootstrap);
  }

  /** Until the disk can be read and takes its first record, the node runs without a vote. */
  private async readDisk(isBootstrap: boolean): Promise<void> {
    const { generation } = this;
    try {
      const { ring: records, newestBody: newest } = await recordRing.RecordRing.open(this.disk.open(this.clock), {
        layout: 1,
        newSetId: this.newSetId.bind(this),
      });
      const state = newest ? acceptor.Acceptor.restore(newest) : this.blank(isBootstrap);
      if (!newest) await records.write(schema.disk.toBuffer(state));
      if (!this.isAlive(generation)) return;
      this.voter = this.mutations.makeVoter(records, state);
      this.core?.attachVoter(this.voter);
    } catch {
      this.clock.schedule(OPEN_AGAIN_MS, this.readDiskAgain.bind(this, isBootstrap));
    }
  }

  private readDiskAgain(isBootstrap: boolean): void {
    void this.readDisk(isBootstrap);
  }

  private newSetId(): Buffer {
    const id = Buffer.alloc(format.SET_ID_BYTES);
    for (const index of id.keys()) id[index] = Math.floor(this.clock.random() * 256);
    return id;
  }

  private isAlive(generation: number): boolean {
    return this.isUp && this.generation === generation;
  }

  private blank(isBootstrap: boolean): schema.Disk {
    const isFirst = isBootstrap || (this.mutations.isIdentityKept && this.seeds.includes(this.address));
    this.identities += 1;
    const disk = isFirst ? registerValue.initialDisk(this.address) : `disk:${this.address}:${this.identities}`;
    const accepted = isBootstrap ? { ballot: registerValue.NO_BALLOT, value: registerValue.initialValue(this.seeds) } : null;
    return { disk, promised: registerValue.NO_BALLOT, accepted };
  }

  describe(): schema.NodeInfo {
    return {
      name: this.address,
      role: "control",
      life: `${this.address}/${this.generation}`,
      zone: "",
      region: "",
      address: this.address,
      outside: "",
      disk: this.core?.disk ?? "",
      isCounted: true,
      isReady: true,
      epoch: this.core?.chosen?.epoch ?? types.NO_EPOCH,
    };
  }

  private members(): schema.NodeInfo[] {
    const members = [this.describe()];
    for (const control of this.dial?.controls.values() ?? []) members.push(control.node);
    return members;
  }

  private upkeep(): void {
    this.clock.schedule(UPKEEP_MS, this.upkeep.bind(this));
    const peers = new Set(this.network.nodes.values());
    for (const held of this.links.values()) peers.add(held.to);
    for (const peer of peers) if (peer !== this) this.keepLink(peer);
    this.core?.runPeriodically();
    this.voterManager?.runPeriodically();
  }

  /** Opens, beats on, or ends the link to one peer, as the dialer and the beats do. */
  private keepLink(peer: ModelNode): void {
    const dial = this.dial as dialer.Dialer;
    let held = this.links.get(peer.address);
    const isReached = this.network.isConnected(this.address, peer.address) && !peer.isFrozen;
    if (held && (held.idleMs() > link.LINK_TIMEOUT_MS || held.generation !== peer.generation || !held.isOpen)) {
      held.isOpen = false;
      this.links.delete(peer.address);
      dial.controls.delete(peer.address);
      held = undefined;
    }
    if (!isReached || this.clock.random() < this.network.weather.lost) return;
    if (!held) {
      held = new network.ModelLink(this.network, this, peer);
      this.links.set(peer.address, held);
    }
    const node = peer.describe();
    held.heardMs = this.clock.now();
    const made = held.asLink();
    dial.controls.set(peer.address, {
      address: peer.address,
      node,
      feedIncarnation: "",
      link: made,
      wasConfirmed: true,
      heartbeat: null,
      heartbeatAt: this.clock.now(),
      roundTripMs: 1,
    });
    void this.core?.catchUp(made, node.epoch);
  }

  /** The process is told to stop: it hands over before it does. */
  handOver(withinMs: number): Promise<void> | null {
    return this.voterManager ? this.voterManager.handOver(withinMs) : null;
  }

  /** One change through this node's core, as the operator's call does it. */
  change(step: registerStep.Step, withinMs: number): Promise<registerStep.Outcome> | null {
    return this.core ? this.core.change(step, withinMs) : null;
  }
}
