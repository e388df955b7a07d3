/**
 * Joins the tallies of all control nodes by difference (design/tallies 4): each node tells the others what its disk
 * holds, sends its own stream at once, and other nodes' streams to whoever has not got them for a while, so that they go
 * around a cut between two nodes. Nothing in here needs a majority.
 */
import * as events from "node:events";
import type * as controlNode from "../feed/control-node.js";
import type * as dialer from "../feed/dialer.js";
import * as calls from "../wire/calls.js";
import * as features from "../wire/features.js";
import type * as link from "../wire/link.js";
import type { TallyBeat, TallyHeard, TallyKept, TallyPush } from "../wire/tally-schema.js";
import type * as types from "../wire/types.js";
import type * as peers from "./peers.js";
import * as sessions from "./session.js";
import * as snapshots from "./snapshots.js";
import type * as stores from "./store.js";

/** Pause between two beats on a link. */
export const BEAT_MS = 300;
/** A stream of another node is passed on to a node that lacks it for so long; each further node waits a step longer. */
const RELAY_MS = 250;
const RELAY_STEP_MS = 150;

/** The links to other control nodes, as a dialer keeps them. */
export interface ControlLinks extends events.EventEmitter<dialer.DialerEvents> {
  readonly controls: ReadonlyMap<string, controlNode.ControlNode>;
}

/** What replication needs of its node. */
export interface ReplicationParts {
  clock: types.Clock;
  self: sessions.Self;
  /** Name of the own stream. */
  life: string;
  store: stores.TallyStore;
  peers: peers.Peers;
  dial: ControlLinks;
}

/** `moved`: some disk holds more than before, or a peer told something new. */
export interface ReplicationEvents {
  moved: [];
}

/** Sends, takes and passes on adds. */
export class Replication extends events.EventEmitter<ReplicationEvents> {
  private readonly sessions = new Map<controlNode.ControlNode, sessions.Session>();
  /** Links on which a peer told all that it holds. */
  private readonly full = new WeakSet<link.Link>();
  /** Since when a peer lacks adds of a stream: by peer and stream. */
  private readonly lagSince = new Map<string, number>();
  private readonly snapshots: snapshots.Snapshots;

  constructor(private readonly parts: ReplicationParts) {
    super();
    this.snapshots = new snapshots.Snapshots(parts.clock, parts.store);
    parts.dial.on("heartbeat", (control) => this.meet(control));
    parts.dial.on("down", (control) => this.sessions.delete(control));
  }

  /** Answers the other control nodes. */
  register(handlers: link.Handlers): void {
    handlers.on(calls.tallyBeat, (from, beat) => this.hear(from, beat));
    handlers.on(calls.tallyPush, (_from, push) => this.keep(push));
    handlers.on(calls.tallySnapshot, (_from, ask) => this.snapshots.part(ask));
  }

  /** Called each 100 ms. */
  turn(): void {
    if (!this.parts.store.isOpen) return;
    for (const session of this.sessions.values()) {
      this.beat(session);
      this.relay(session);
    }
  }

  /** Sends the newest adds of the own stream. */
  pushOwn(): void {
    for (const session of this.sessions.values()) session.push(this.parts.life);
  }

  private meet(control: controlNode.ControlNode): void {
    const { clock: world, self, store, peers } = this.parts;
    if (this.sessions.has(control) || !control.heartbeat || !features.hasFeature(control.heartbeat, features.TALLIES)) return;
    const peer = peers.of(control.address);
    peer.zone = control.node.zone;
    const session = new sessions.Session(world, self, store, peers, control, peer);
    session.onKept = () => this.emit("moved");
    this.sessions.set(control, session);
    if (!store.isOpen) return;
    this.beat(session);
    // What it held before the cut is known, if it was met before.
    session.push(this.parts.life);
  }

  private beat(session: sessions.Session): void {
    void session.beat(BEAT_MS).then(({ isBehind }) => {
      if (isBehind) void this.snapshots.takeFrom(session.control.link).then(() => this.emit("moved"));
    });
  }

  private hear(from: link.Link, beat: TallyBeat): TallyHeard {
    if (beat.isFull) this.full.add(from);
    if (!this.full.has(from)) return { isKnown: false, isBehind: false };
    const peer = this.parts.peers.hear(beat);
    for (const session of this.sessions.values()) if (session.peer === peer) session.push(this.parts.life);
    this.emit("moved");
    return { isKnown: true, isBehind: this.isBehind(peer) };
  }

  /** Whether this node has folded adds that the peer lacks. A peer that was not told the answer asks with its next beat. */
  private isBehind(peer: peers.Peer): boolean {
    const { ledger } = this.parts.store;
    for (const stream of ledger.streamNames()) if (ledger.folded(stream) > (peer.held.get(stream) ?? 0)) return true;
    return false;
  }

  private async keep({ stream, from, adds }: TallyPush): Promise<TallyKept | null> {
    const { store } = this.parts;
    if (!store.isOpen) return null;
    await store.take(stream, from, adds);
    this.emit("moved");
    return { store: store.store, position: store.durableOf(stream) };
  }

  /** Passes on streams of others that the peer lacks. */
  private relay(session: sessions.Session): void {
    const { store, life, clock: world, peers } = this.parts;
    const { peer } = session;
    if (peer.store === "" || !peers.isInTouch(peer)) return;
    for (const stream of store.ledger.streamNames()) {
      if (stream === life) {
        session.push(stream);
        continue;
      }
      const key = `${peer.address} ${stream}`;
      if ((peer.held.get(stream) ?? 0) >= store.ledger.held(stream)) {
        this.lagSince.delete(key);
        continue;
      }
      const since = this.lagSince.get(key) ?? world.now();
      this.lagSince.set(key, since);
      if (world.now() - since >= RELAY_MS + this.rank(peer) * RELAY_STEP_MS) session.push(stream);
    }
  }

  /** Nodes pass a stream on one after the other, by address: mostly one of them is enough. */
  private rank(to: peers.Peer): number {
    const { peers, self } = this.parts;
    let rank = 0;
    for (const peer of peers.all()) if (peer !== to && peer.address < self.address && peers.isInTouch(peer)) rank += 1;
    return rank;
  }
}
