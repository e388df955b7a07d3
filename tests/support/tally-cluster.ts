// Control nodes that keep tallies over links that a test cuts, with disks that it stalls, wipes and takes the power from.
import * as events from "node:events";
import type * as controlNode from "../../src/feed/control-node.js";
import type * as dialer from "../../src/feed/dialer.js";
import * as replicatedCounters from "../../src/tallies/replicated-counters.js";
import type * as calls from "../../src/wire/calls.js";
import * as features from "../../src/wire/features.js";
import * as link from "../../src/wire/link.js";
import type * as types from "../../src/wire/types.js";
import * as clock from "../model/clock.js";
import * as tallyDisk from "./tally-disk.js";

const TURN_MS = 100;
const REDIAL_MS = 100;
const SILENT_MS = 1800;

/** Guards that a test takes out; the rest of them is in tally-guards.ts. */
export interface Weaknesses {
  /** Each life goes on with the stream of the one before. */
  sharesLives?: boolean;
  /** Disks forget what was synced. */
  losesSyncs?: boolean;
  /** Adds are acknowledged by one disk. */
  asksOneDisk?: boolean;
}

class SimDial extends events.EventEmitter<dialer.DialerEvents> {
  readonly controls = new Map<string, controlNode.ControlNode>();
}

/** One life of one node's process. */
interface Life {
  name: string;
  kept: replicatedCounters.ReplicatedCounters;
  dial: SimDial;
  handlers: link.Handlers;
  isDead: boolean;
}

/** One machine. */
export class SimNode {
  readonly disk: tallyDisk.MemoryDisk;
  life: Life | null = null;
  lives = 0;
  wipes = 0;
  /** Until then its process is suspended: nothing of it runs, and what is sent to it waits. */
  suspendedUntil = 0;

  constructor(
    private readonly cluster: TallyCluster,
    readonly address: string,
  ) {
    this.disk = new tallyDisk.MemoryDisk(cluster.clock, 3);
    this.disk.losesSyncs = cluster.weak.losesSyncs ?? false;
  }

  get tallies(): replicatedCounters.ReplicatedCounters | null {
    return this.life?.kept ?? null;
  }

  start(): void {
    if (this.life) return;
    this.lives += 1;
    const { cluster, address } = this;
    const name = cluster.weak.sharesLives ? `stream-${address}` : `stream-${address}-${this.lives}`;
    const dial = new SimDial();
    const handlers = new link.Handlers();
    const isDead = (): boolean => life.isDead;
    const clock: types.Clock = {
      now: () => cluster.clock.now(),
      random: () => cluster.clock.random(),
      schedule: (ms, run) => cluster.clock.schedule(ms, () => this.runWhenResumed(() => !isDead() && run())),
    };
    const kept = new replicatedCounters.ReplicatedCounters(clock, {
      incarnation: name,
      address,
      isCounted: true,
      dial,
      handlers,
      newDiskId: () => `disk-${address}-${this.wipes}`,
      tolerated: () => (cluster.weak.asksOneDisk ? 0 : cluster.tolerated),
      members: () => [...cluster.nodes.keys()],
      isZoneHeard: (zone) => cluster.hearsRouters(address, zone),
    });
    const life: Life = { name, kept, dial, handlers, isDead: false };
    this.life = life;
    kept.open(this.disk.mount(isDead));
    const turn = (): void => {
      if (isDead()) return;
      cluster.dialAll(this);
      kept.runPeriodically();
      clock.schedule(TURN_MS, turn);
    };
    turn();
  }

  /** Runs at once, or when the process is resumed. */
  runWhenResumed(run: () => void): void {
    const { clock } = this.cluster;
    if (clock.now() < this.suspendedUntil) clock.schedule(this.suspendedUntil - clock.now(), run);
    else run();
  }

  kill(): void {
    if (this.life) this.life.isDead = true;
    this.life = null;
  }
}

/** One connection, as seen by both of its ends. */
class SimLink {
  isOpen = true;
  heardAt: number;
  private lastAt = 0;

  constructor(
    private readonly cluster: TallyCluster,
    private readonly from: SimNode,
    private readonly to: SimNode,
    readonly lives: [Life, Life],
  ) {
    this.heardAt = cluster.clock.now();
  }

  /** Calls may come late, and get lost in cuts; what arrives does so in order. */
  call<Ask, Reply>(pair: calls.Call<Ask, Reply>, ask: Ask, withinMs: number): Promise<Reply | null> {
    const { cluster, from, to, lives } = this;
    const bytes = pair.request.toBuffer(ask);
    return new Promise((resolve) => {
      cluster.clock.schedule(withinMs, () => !lives[0].isDead && resolve(null));
      this.deliver(from, to, () => {
        const run = lives[1].handlers.get(pair.code);
        if (!run || lives[1].isDead) return;
        void Promise.resolve(run(this as unknown as link.Link, pair.request.fromBuffer(bytes) as never)).then((reply) => {
          if (reply === null || lives[1].isDead) return;
          const told = pair.reply.toBuffer(reply as Reply);
          this.deliver(to, from, () => {
            this.heardAt = cluster.clock.now();
            if (!lives[0].isDead) resolve(pair.reply.fromBuffer(told));
          });
        });
      });
    });
  }

  private deliver(from: SimNode, to: SimNode, run: () => void): void {
    const { clock } = this.cluster;
    const at = Math.max(this.lastAt, clock.now() + 2 + clock.random() * this.cluster.delayMs);
    this.lastAt = at;
    const receive = (): unknown => this.isOpen && !this.cluster.isCut(from.address, to.address) && run();
    clock.schedule(at - clock.now(), () => to.runWhenResumed(receive));
  }
}

/** All nodes and what is between them. */
export class TallyCluster {
  readonly clock: clock.ModelClock;
  readonly nodes = new Map<string, SimNode>();
  /** `from>to`: nothing passes that way. */
  readonly cuts = new Set<string>();
  /** Whether cuts keep the routers of the other side away, too. */
  cutsRouters = true;
  delayMs = 50;

  constructor(
    seed: number,
    count: number,
    readonly tolerated: number,
    readonly weak: Weaknesses = {},
  ) {
    this.clock = new clock.ModelClock(seed);
    for (let index = 1; index <= count; index += 1) this.nodes.set(`n${index}`, new SimNode(this, `n${index}`));
    for (const node of this.nodes.values()) node.start();
  }

  isCut(from: string, to: string): boolean {
    return this.cuts.has(`${from}>${to}`);
  }

  /** Routers stand beside their node, whether that runs or not. */
  hearsRouters(address: string, zone: string): boolean {
    return !this.cutsRouters || !this.isCut(zone, address);
  }

  /** Ends links that were silent, and dials what is in reach. */
  dialAll(node: SimNode): void {
    const { life } = node;
    if (!life) return;
    for (const [address, control] of life.dial.controls) {
      const held = control.link as unknown as SimLink;
      if (!held.lives[1].isDead && this.clock.now() - held.heardAt < SILENT_MS) continue;
      held.isOpen = false;
      life.dial.controls.delete(address);
      life.dial.emit("down", control);
    }
    for (const other of this.nodes.values()) this.dial(node, life, other);
  }

  private dial(node: SimNode, life: Life, other: SimNode): void {
    const isInReach = other.life && !this.isCut(node.address, other.address) && !this.isCut(other.address, node.address);
    if (other === node || life.dial.controls.has(other.address) || !isInReach || this.clock.random() < 0.3) return;
    const made = new SimLink(this, node, other, [life, other.life!]);
    const control = {
      address: other.address,
      node: { address: other.address, zone: other.address },
      link: made,
      heartbeat: { index: features.OWN_FEATURES },
    } as unknown as controlNode.ControlNode;
    life.dial.controls.set(other.address, control);
    this.clock.schedule(REDIAL_MS, () => !life.isDead && made.isOpen && life.dial.emit("heartbeat", control));
  }

  play(ms: number): Promise<void> {
    return this.clock.play(ms);
  }
}
