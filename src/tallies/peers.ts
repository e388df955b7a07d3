/**
 * What this node knows of the others that keep tallies: what their disks hold, and since when they have not answered
 * (design/tallies 4). Heard is not in touch: where packets pass one way only, beats come in and calls get no answer.
 */
import type { TallyBeat } from "../wire/tally-schema.js";
import type * as types from "../wire/types.js";

/** A peer is in touch while it answered a call that was sent no longer ago: two beats and a long way. */
export const TOUCH_MS = 800;

/** One other node, by its internal address. */
export interface Peer {
  readonly address: string;
  /** Empty while not known. */
  zone: string;
  isCounted: boolean;
  /** Identity of its disk; another one holds nothing of what this one held. Empty: nothing was told yet. */
  store: string;
  isWhole: boolean;
  era: number;
  /** How much of each stream its disk holds, as far as it was told. */
  readonly held: Map<string, number>;
  /** When the newest call that it answered was sent, on the own clock. */
  answeredAt: number;
  /** When it last told what it holds. */
  toldAt: number;
}

/** All peers that were ever met in this life. */
export class Peers {
  private readonly peers = new Map<string, Peer>();

  constructor(private readonly clock: types.Clock) {}

  all(): Iterable<Peer> {
    return this.peers.values();
  }

  get(address: string): Peer | undefined {
    return this.peers.get(address);
  }

  /** The peer at this address, made where it is new. */
  of(address: string): Peer {
    let peer = this.peers.get(address);
    if (peer) return peer;
    peer = {
      address,
      zone: "",
      isCounted: true,
      store: "",
      isWhole: false,
      era: 0,
      held: new Map(),
      answeredAt: -Infinity,
      toldAt: -Infinity,
    };
    this.peers.set(address, peer);
    return peer;
  }

  /** Takes a peer's word on itself. */
  hear(beat: TallyBeat): Peer {
    const peer = this.of(beat.address);
    if (peer.store !== beat.store) {
      peer.store = beat.store;
      peer.held.clear();
    }
    peer.isCounted = beat.isCounted;
    peer.isWhole = beat.isWhole;
    peer.era = beat.era;
    peer.toldAt = this.clock.now();
    for (const { stream, position } of beat.held) this.kept(peer, beat.store, stream, position);
    return peer;
  }

  /** The peer's disk holds so much of the stream; a word of another disk than the known one is passed over. */
  kept(peer: Peer, store: string, stream: string, position: number): void {
    if (peer.store === store && position > (peer.held.get(stream) ?? 0)) peer.held.set(stream, position);
  }

  /** It answered a call that was sent at that time. */
  answered(peer: Peer, sentAt: types.SteadyMs): void {
    peer.answeredAt = Math.max(peer.answeredAt, sentAt);
  }

  isInTouch(peer: Peer): boolean {
    return this.clock.now() - peer.answeredAt <= TOUCH_MS;
  }

  /** Counted peers whose disks hold the stream up to the position. */
  holders(stream: string, position: number): number {
    let count = 0;
    for (const peer of this.peers.values()) if (peer.isCounted && (peer.held.get(stream) ?? 0) >= position) count += 1;
    return count;
  }

  /** Counted peers in touch that have told what they hold. */
  countedInTouch(): Peer[] {
    return [...this.peers.values()].filter((peer) => peer.isCounted && peer.store !== "" && this.isInTouch(peer));
  }
}
