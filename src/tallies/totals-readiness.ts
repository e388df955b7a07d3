/**
 * Decides when a node that has started may serve totals, and when a new disk counts as complete (design/tallies 5): once it
 * holds what so many peers hold that every acknowledged add is among it.
 */
import * as events from "node:events";
import * as log from "../runtime/log.js";
import type * as types from "../wire/types.js";
import * as peerTable from "./peer-table.js";
import type * as counterStore from "./counter-store.js";

/** A node with a complete disk serves its totals after this time even if too few peers are in touch. */
const ALONE_TIMEOUT_MS = 6000;
/** A majority of new disks, none of them complete, is taken for a new system after this time. */
const NEW_SYSTEM_TIMEOUT_MS = 4000;
/** The same with too few complete disks among them: the missing peers may come back for this long. */
const MISSING_PEERS_TIMEOUT_MS = 15_000;

/** What decides on readiness. */
export interface ReadinessParts {
  clock: types.Clock;
  store: counterStore.CounterStore;
  peers: peerTable.PeerTable;
  /** Disks that must hold an add. */
  required(): number;
  /** Addresses of the other nodes that should keep tallies. */
  expected(): Iterable<string>;
}

/** `ready`: totals are served from now on. */
export interface ReadinessEvents {
  ready: [];
}

/** The start of one life. */
export class TotalsReadiness extends events.EventEmitter<ReadinessEvents> {
  private openedAt = Infinity;
  /** Whether totals may be served. */
  isReady = false;

  constructor(private readonly parts: ReadinessParts) {
    super();
    this.setMaxListeners(0);
  }

  /** Called each 100 ms and whenever a disk holds more. */
  update(): void {
    const { store, clock } = this.parts;
    if (this.isReady || !store.isOpen) return;
    this.openedAt = Math.min(this.openedAt, clock.now());
    if (!this.hasEnough()) return;
    if (!store.isComplete) store.markComplete();
    this.isReady = true;
    log.state("tallies: totals are served from now on");
    this.emit("ready");
  }

  /** Whether it may be ready within `ms`; resolves at once where it is. */
  waitUntilReady(ms: number): Promise<boolean> {
    if (this.isReady) return Promise.resolve(true);
    return new Promise((resolve) => {
      const end = (): void => {
        timer.stop();
        this.removeListener("ready", end);
        resolve(this.isReady);
      };
      const timer = this.parts.clock.schedule(ms, end);
      this.once("ready", end);
    });
  }

  private hasEnough(): boolean {
    const { peers: all, store, clock } = this.parts;
    const expected = [...this.parts.expected()];
    const members = expected.length + 1;
    const inTouch = [...all.all()].filter((peer) => peer.diskId !== "" && all.isInTouch(peer));
    const complete = inTouch.filter((peer) => peer.isComplete);
    if (!complete.every((peer) => this.hasAllOf(peer))) return false;
    const waitedMs = clock.now() - this.openedAt;
    // Each acknowledged add is on `required` disks; the own one may be one of them only if it is complete.
    const needed = members - this.parts.required() + (store.isComplete ? 0 : 1);
    if (complete.length >= needed || members === 1) return true;
    if (expected.every((address) => inTouch.some((peer) => peer.address === address))) return true;
    if (store.isComplete) return waitedMs >= ALONE_TIMEOUT_MS;
    if (complete.length + 1 > members / 2) return waitedMs >= ALONE_TIMEOUT_MS;
    return waitedMs >= (complete.length > 0 ? MISSING_PEERS_TIMEOUT_MS : NEW_SYSTEM_TIMEOUT_MS) && inTouch.length + 1 > members / 2;
  }

  private hasAllOf(peer: peerTable.Peer): boolean {
    const { state } = this.parts.store;
    for (const [stream, position] of peer.durableOffsets) if (state.offsetOf(stream) < position) return false;
    return true;
  }
}
