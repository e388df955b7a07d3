/**
 * Says when a node that has started may tell totals, and when a new disk counts as whole (design/tallies 5): once it has
 * what enough others hold that every acknowledged add is among it.
 */
import * as events from "node:events";
import * as log from "../runtime/log.js";
import type * as types from "../wire/types.js";
import * as peerTable from "./peer-table.js";
import type * as counterStore from "./counter-store.js";

/** A node whose disk is whole tells what it has after so long, if fewer others are in touch than it should hear. */
const ALONE_TIMEOUT_MS = 6000;
/** New disks that are a majority, among them no whole one, are those of a new system after so long. */
const NEW_SYSTEM_TIMEOUT_MS = 4000;
/** The same with too few whole ones among them: the others may come back for so long. */
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

/** `ready`: from now on totals are told. */
export interface ReadinessEvents {
  ready: [];
}

/** The start of one life. */
export class TotalsReadiness extends events.EventEmitter<ReadinessEvents> {
  private openedAt = Infinity;
  /** Whether totals may be told. */
  isReady = false;

  constructor(private readonly parts: ReadinessParts) {
    super();
    this.setMaxListeners(0);
  }

  /** Called each 100 ms and whenever a disk holds more. */
  update(): void {
    const { store, clock: world } = this.parts;
    if (this.isReady || !store.isOpen) return;
    this.openedAt = Math.min(this.openedAt, world.now());
    if (!this.hasEnough()) return;
    if (!store.isComplete) store.markComplete();
    this.isReady = true;
    log.state("tallies: totals are told from now on");
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
    const { peers: all, store, clock: world } = this.parts;
    const expected = [...this.parts.expected()];
    const members = expected.length + 1;
    const inTouch = [...all.all()].filter((peer) => peer.diskId !== "" && all.isInTouch(peer));
    const whole = inTouch.filter((peer) => peer.isComplete);
    if (!whole.every((peer) => this.hasAllOf(peer))) return false;
    const waitedMs = world.now() - this.openedAt;
    // Each acknowledged add is on `required` disks; the own one may be one of them only if it is whole.
    const needed = members - this.parts.required() + (store.isComplete ? 0 : 1);
    if (whole.length >= needed || members === 1) return true;
    if (expected.every((address) => inTouch.some((peer) => peer.address === address))) return true;
    if (store.isComplete) return waitedMs >= ALONE_TIMEOUT_MS;
    if (whole.length + 1 > members / 2) return waitedMs >= ALONE_TIMEOUT_MS;
    return waitedMs >= (whole.length > 0 ? MISSING_PEERS_TIMEOUT_MS : NEW_SYSTEM_TIMEOUT_MS) && inTouch.length + 1 > members / 2;
  }

  private hasAllOf(peer: peerTable.Peer): boolean {
    const { state: ledger } = this.parts.store;
    for (const [stream, position] of peer.durableOffsets) if (ledger.offsetOf(stream) < position) return false;
    return true;
  }
}
