/**
 * Replicates the counters between all control nodes by deltas (design/tallies 4): each node reports the durable offsets of
 * its disk, pushes its own stream at once, and relays the streams of other nodes to peers that have lacked them for a while,
 * so that adds travel around a partition between two nodes. Nothing in here needs a majority.
 */
import * as events from "node:events";
import type * as controlNode from "../feed/control-node.js";
import type * as dialer from "../feed/dialer.js";
import * as calls from "../wire/calls.js";
import * as features from "../wire/features.js";
import type * as link from "../wire/link.js";
import type { CounterHeartbeat, CounterHeartbeatReply, CounterPushReply, TallyPush } from "../wire/tally-schema.js";
import type * as types from "../wire/types.js";
import type * as peerTable from "./peer-table.js";
import * as peerSession from "./peer-session.js";
import * as snapshotTransfer from "./snapshot-transfer.js";
import type * as counterStore from "./counter-store.js";

/** Interval between heartbeats on a link. */
export const HEARTBEAT_INTERVAL_MS = 300;
/** A stream of another node is relayed to a peer that has lacked it for this long; each further relaying node waits a step longer. */
const RELAY_DELAY_MS = 250;
const RELAY_DELAY_STEP_MS = 150;

/** The links to other control nodes, as a dialer keeps them. */
export interface ControlLinks extends events.EventEmitter<dialer.DialerEvents> {
  readonly controls: ReadonlyMap<string, controlNode.ControlNode>;
}

/** What replication needs of its node. */
export interface ReplicationParts {
  clock: types.Clock;
  self: peerSession.Self;
  /** Name of the own stream: the incarnation of this process. */
  ownStream: string;
  store: counterStore.CounterStore;
  peers: peerTable.PeerTable;
  dial: ControlLinks;
}

/** `progress`: some disk holds more than before, or a peer has reported a change. */
export interface ReplicationEvents {
  progress: [];
}

/** Pushes, receives and relays adds. */
export class Replication extends events.EventEmitter<ReplicationEvents> {
  private readonly sessions = new Map<controlNode.ControlNode, peerSession.PeerSession>();
  /** Links on which a peer has reported all of its offsets. */
  private readonly linksWithFullState = new WeakSet<link.Link>();
  /** Since when a peer lacks adds of a stream, keyed by peer and stream. */
  private readonly laggingSince = new Map<string, number>();
  private readonly snapshots: snapshotTransfer.SnapshotTransfer;

  constructor(private readonly parts: ReplicationParts) {
    super();
    this.snapshots = new snapshotTransfer.SnapshotTransfer(parts.clock, parts.store);
    parts.dial.on("heartbeat", (control) => this.openSession(control));
    parts.dial.on("down", (control) => this.sessions.delete(control));
  }

  /** Registers the handlers of the peers' calls. */
  registerHandlers(handlers: link.Handlers): void {
    handlers.on(calls.counterHeartbeat, (from, beat) => this.receiveHeartbeat(from, beat));
    handlers.on(calls.counterPush, (_from, push) => this.receivePush(push));
    handlers.on(calls.counterSnapshot, (_from, ask) => this.snapshots.readPart(ask));
  }

  /** Called each 100 ms. */
  runPeriodically(): void {
    if (!this.parts.store.isOpen) return;
    for (const session of this.sessions.values()) {
      this.sendHeartbeat(session);
      this.relay(session);
    }
  }

  /** Sends the newest adds of the own stream. */
  pushOwn(): void {
    for (const session of this.sessions.values()) session.push(this.parts.ownStream);
  }

  private openSession(control: controlNode.ControlNode): void {
    const { clock, self, store, peers } = this.parts;
    if (this.sessions.has(control) || !control.heartbeat || !features.hasFeature(control.heartbeat, features.TALLIES)) return;
    const peer = peers.getOrAdd(control.address);
    peer.zone = control.node.zone;
    const session = new peerSession.PeerSession(clock, self, store, peers, control, peer);
    session.onAnswer = () => this.emit("progress");
    this.sessions.set(control, session);
    if (!store.isOpen) return;
    this.sendHeartbeat(session);
    // A peer that was met before has its offsets known already.
    session.push(this.parts.ownStream);
  }

  private sendHeartbeat(session: peerSession.PeerSession): void {
    void session.sendHeartbeat(HEARTBEAT_INTERVAL_MS).then(({ isBehind }) => {
      if (isBehind) void this.snapshots.fetchFrom(session.control.link).then(() => this.emit("progress"));
    });
  }

  private receiveHeartbeat(from: link.Link, beat: CounterHeartbeat): CounterHeartbeatReply {
    if (beat.isFull) this.linksWithFullState.add(from);
    if (!this.linksWithFullState.has(from)) return { isKnown: false, isBehind: false };
    const peer = this.parts.peers.applyHeartbeat(beat);
    for (const session of this.sessions.values()) if (session.peer === peer) session.push(this.parts.ownStream);
    this.emit("progress");
    return { isKnown: true, isBehind: this.isBehind(peer) };
  }

  /** Whether this node has compacted adds that the peer lacks. A peer that misses the reply learns it with its next heartbeat. */
  private isBehind(peer: peerTable.Peer): boolean {
    const { state } = this.parts.store;
    for (const stream of state.streamNames()) if (state.compactedOffset(stream) > (peer.durableOffsets.get(stream) ?? 0)) return true;
    return false;
  }

  private async receivePush({ stream, from, adds }: TallyPush): Promise<CounterPushReply | null> {
    const { store } = this.parts;
    if (!store.isOpen) return null;
    await store.appendAdds(stream, from, adds);
    this.emit("progress");
    return { store: store.diskId, position: store.durableOffset(stream) };
  }

  /** Relays streams of other nodes that the peer lacks. */
  private relay(session: peerSession.PeerSession): void {
    const { store, ownStream, clock, peers } = this.parts;
    const { peer } = session;
    if (peer.diskId === "" || !peers.isInTouch(peer)) return;
    for (const stream of store.state.streamNames()) {
      if (stream === ownStream) {
        session.push(stream);
        continue;
      }
      const key = `${peer.address} ${stream}`;
      if ((peer.durableOffsets.get(stream) ?? 0) >= store.state.offsetOf(stream)) {
        this.laggingSince.delete(key);
        continue;
      }
      const since = this.laggingSince.get(key) ?? clock.now();
      this.laggingSince.set(key, since);
      if (clock.now() - since >= RELAY_DELAY_MS + this.rank(peer) * RELAY_DELAY_STEP_MS) session.push(stream);
    }
  }

  /** Nodes relay a stream one after the other, in the order of their addresses: mostly one of them is enough. */
  private rank(to: peerTable.Peer): number {
    const { peers, self } = this.parts;
    let rank = 0;
    for (const peer of peers.all()) if (peer !== to && peer.address < self.address && peers.isInTouch(peer)) rank += 1;
    return rank;
  }
}
