/**
 * What this node knows of the others that keep tallies: what their disks hold, and since when they have not answered
 * (design/tallies 4). Heard is not in touch: where packets pass one way only, beats come in and calls get no answer.
 */
import type { TallyBeat } from "../wire/tally-schema.js";
import type * as types from "../wire/types.js";

/** A peer is in touch while it answered a call that was sent no longer ago: two beats and a long way. */
export const IN_TOUCH_MS = 800;

/** One other node, by its internal address. */
export interface Peer {
  readonly address: string;
  /** Empty while not known. */
  zone: string;
  isCounted: boolean;
  /** Identity of its disk; another one holds nothing of what this one held. Empty: nothing was told yet. */
  diskId: string;
  isComplete: boolean;
  era: number;
  /** How much of each stream its disk holds, as far as it was told. */
  readonly durableOffsets: Map<string, number>;
  /** When the newest call that it answered was sent, on the own clock. */
  answeredAt: number;
  /** When it last told what it holds. */
  heartbeatAt: number;
}

/** All peers that were ever met in this life. */
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

  /** Takes a peer's word on itself. */
  applyHeartbeat(beat: TallyBeat): Peer {
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

  /** The peer's disk holds so much of the stream; a word of another disk than the known one is passed over. */
  recordDurable(peer: Peer, store: string, stream: string, position: number): void {
    if (peer.diskId === store && position > (peer.durableOffsets.get(stream) ?? 0)) peer.durableOffsets.set(stream, position);
  }

  /** It answered a call that was sent at that time. */
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

  /** Counted peers in touch that have told what they hold. */
  countedInTouch(): Peer[] {
    return [...this.peers.values()].filter((peer) => peer.isCounted && peer.diskId !== "" && this.isInTouch(peer));
  }
}
