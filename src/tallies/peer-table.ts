/**
 * What this node knows of its peers: the durable offsets of their disks, and when they last answered a call (design/tallies 4).
 * Receiving heartbeats is not being in touch: behind a one-way partition heartbeats come in, and calls get no answer.
 */
import type { CounterHeartbeat } from "../wire/tally-schema.js";
import type * as types from "../wire/types.js";

/** A peer is in touch while it has answered a call sent within this time: two heartbeats and a long round trip. */
export const IN_TOUCH_MS = 800;

/** One other node, by its internal address. */
export interface Peer {
  readonly address: string;
  /** Empty while not known. */
  zone: string;
  isCounted: boolean;
  /** Identity of its disk; a new disk holds nothing of what the old one held. Empty: not reported yet. */
  diskId: string;
  isComplete: boolean;
  era: number;
  /** The offset up to which its disk holds each stream, as reported. */
  readonly durableOffsets: Map<string, number>;
  /** When the newest call that it answered was sent, on the own clock. */
  answeredAt: number;
  /** When its last heartbeat came. */
  heartbeatAt: number;
}

/** All peers that this incarnation has met. */
export class PeerTable {
  private readonly peers = new Map<string, Peer>();

  constructor(private readonly clock: types.Clock) {}

  all(): Iterable<Peer> {
    return this.peers.values();
  }

  get(address: string): Peer | undefined {
    return this.peers.get(address);
  }

  /** The peer at this address, made where it is new. */
  getOrAdd(address: string): Peer {
    let peer = this.peers.get(address);
    if (peer) return peer;
    peer = {
      address,
      zone: "",
      isCounted: true,
      diskId: "",
      isComplete: false,
      era: 0,
      durableOffsets: new Map(),
      answeredAt: -Infinity,
      heartbeatAt: -Infinity,
    };
    this.peers.set(address, peer);
    return peer;
  }

  /** Applies a heartbeat of a peer. */
  applyHeartbeat(beat: CounterHeartbeat): Peer {
    const peer = this.getOrAdd(beat.address);
    if (peer.diskId !== beat.store) {
      peer.diskId = beat.store;
      peer.durableOffsets.clear();
    }
    peer.isCounted = beat.isCounted;
    peer.isComplete = beat.isWhole;
    peer.era = beat.era;
    peer.heartbeatAt = this.clock.now();
    for (const { stream, position } of beat.held) this.recordDurable(peer, beat.store, stream, position);
    return peer;
  }

  /** Records how much of the stream the peer's disk holds; ignored when it is not the disk that is known. */
  recordDurable(peer: Peer, store: string, stream: string, position: number): void {
    if (peer.diskId === store && position > (peer.durableOffsets.get(stream) ?? 0)) peer.durableOffsets.set(stream, position);
  }

  /** Records that the peer answered a call sent at that time. */
  recordAnswer(peer: Peer, sentAt: types.SteadyMs): void {
    peer.answeredAt = Math.max(peer.answeredAt, sentAt);
  }

  isInTouch(peer: Peer): boolean {
    return this.clock.now() - peer.answeredAt <= IN_TOUCH_MS;
  }

  /** Counted peers whose disks hold the stream up to the position. */
  countReplicas(stream: string, position: number): number {
    let count = 0;
    for (const peer of this.peers.values()) if (peer.isCounted && (peer.durableOffsets.get(stream) ?? 0) >= position) count += 1;
    return count;
  }

  /** Counted peers in touch that have reported their offsets. */
  countedInTouch(): Peer[] {
    return [...this.peers.values()].filter((peer) => peer.isCounted && peer.diskId !== "" && this.isInTouch(peer));
  }
}
