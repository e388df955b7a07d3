/**
 * Says when an add may be acknowledged (design/tallies 2): once so many disks hold it that the loss of as many as may be
 * lost at once leaves one, or, while this node is cut off from that many, once all disks in reach hold it.
 */
import * as log from "../runtime/log.js";
import type * as types from "../wire/types.js";
import type * as loopDelay from "../runtime/loop-delay.js";
import * as timers from "../runtime/timers.js";
import * as peerTable from "./peer-table.js";
import type * as counterStore from "./counter-store.js";

/** A node that has just started, as after a loss of power everywhere, takes nobody for partitioned before this. */
const STARTUP_GRACE_MS = 5000;

/** Interval between checks of whether peers are in touch again. */
const REACHABLE_POLL_MS = 20;

/** What decides on acknowledgements. */
export interface AcknowledgementParts {
  clock: types.Clock;
  store: counterStore.CounterStore;
  peers: peerTable.PeerTable;
  /** Whether the loss of this node is counted: only then does its disk count. */
  isCounted: boolean;
  /** Disks that must hold an add. */
  required(): number;
  /** Addresses of the other nodes that should keep tallies. */
  expected(): Iterable<string>;
  /** Of this process: while it recovers from one, it takes nobody for partitioned. */
  loopDelay: loopDelay.LoopDelay;
  /** Whether any router of the zone has sent a heartbeat lately. */
  isZoneHeard(zone: string): boolean;
}

/** `durable`: on enough disks; `unknown`: some disks may hold it, and it may count. */
export type Outcome = "durable" | "unknown";

interface PendingAdd {
  stream: string;
  position: number;
  resolve(outcome: Outcome): void;
  timer: types.Timer;
}

/** Adds that wait to be acknowledged. */
export class Acknowledgements {
  private readonly pending = new Set<PendingAdd>();
  private readonly startedAt: types.SteadyMs;

  constructor(private readonly parts: AcknowledgementParts) {
    this.startedAt = parts.clock.now();
  }

  /** Adds that wait now. */
  get size(): number {
    return this.pending.size;
  }

  /** Resolves once enough disks hold the stream up to the position, or after the time-out. */
  wait(stream: string, position: number, timeoutMs: number): Promise<Outcome> {
    return new Promise((resolve) => {
      const timer = this.parts.clock.schedule(timeoutMs, () => this.end(item, "unknown"));
      const item: PendingAdd = { stream, position, resolve, timer };
      this.pending.add(item);
      this.resolveIfDurable(item, this.isPartitioned());
    });
  }

  /** Called whenever a disk holds more, and each 100 ms: a cut shows by time alone. */
  check(): void {
    if (this.pending.size === 0) return;
    const isPartitioned = this.isPartitioned();
    for (const item of [...this.pending]) this.resolveIfDurable(item, isPartitioned);
  }

  /** Whether enough disks are in reach for an add, or a cut excuses that they are not. */
  canAcknowledge(): boolean {
    return this.reachableDisks() >= this.parts.required() || this.isPartitioned();
  }

  /** Resolves once enough disks are in reach, or a cut excuses that they are not, or after the time-out. */
  async waitUntilReachable(timeoutMs: number): Promise<void> {
    const { clock } = this.parts;
    const until = clock.now() + timeoutMs;
    while (!this.canAcknowledge() && clock.now() < until) await timers.sleep(clock, REACHABLE_POLL_MS);
  }

  private resolveIfDurable(item: PendingAdd, isPartitioned: boolean): void {
    const { store, peers: all, isCounted } = this.parts;
    const isOwn = store.durableOffset(item.stream) >= item.position;
    const holders = all.countReplicas(item.stream, item.position) + (isOwn && isCounted ? 1 : 0);
    if (holders >= this.parts.required()) this.end(item, "durable");
    else if (isPartitioned && isOwn && this.allInTouchHold(item)) {
      log.count("tallies.acknowledged_apart");
      this.end(item, "durable");
    }
  }

  private allInTouchHold({ stream, position }: PendingAdd): boolean {
    return this.parts.peers.countedInTouch().every((peer) => (peer.durableOffsets.get(stream) ?? 0) >= position);
  }

  private reachableDisks(): number {
    const own = this.parts.isCounted && this.parts.store.isOpen ? 1 : 0;
    return this.parts.peers.countedInTouch().length + own;
  }

  /**
   * Whether this node is partitioned from so many peers that an add can't reach enough disks. Peers without power are no
   * partition: the remaining disks might be lost before they are back. A peer whose heartbeats arrive but which answers nothing is
   * behind a one-way partition; one that is silent together with all routers of its zone is taken for partitioned.
   */
  isPartitioned(): boolean {
    const { clock, loopDelay: ownDelay } = this.parts;
    if (clock.now() - this.startedAt < STARTUP_GRACE_MS || ownDelay.isRecovering(peerTable.IN_TOUCH_MS)) return false;
    if (this.reachableDisks() >= this.parts.required()) return false;
    for (const address of this.parts.expected()) if (this.isCutOff(address)) return true;
    return false;
  }

  private isCutOff(address: string): boolean {
    const peer = this.parts.peers.get(address);
    if (!peer || peer.zone === "") return true;
    if (this.parts.peers.isInTouch(peer)) return false;
    const isHeard = this.parts.clock.now() - peer.heartbeatAt <= peerTable.IN_TOUCH_MS;
    return isHeard || !this.parts.isZoneHeard(peer.zone);
  }

  private end(item: PendingAdd, outcome: Outcome): void {
    if (!this.pending.delete(item)) return;
    item.timer.stop();
    item.resolve(outcome);
  }
}
