/** What was told and sent to one other node over one link (design/tallies 4). A new link begins anew. */
import type * as controlNode from "../feed/control-node.js";
import * as calls from "../wire/calls.js";
import type { StreamPosition } from "../wire/tally-schema.js";
import type * as types from "../wire/types.js";
import * as peers from "./peers.js";
import type * as stores from "./store.js";

/** Adds of one push, and pushes of one stream under way: what a long cut left goes over in bounded pieces. */
const PUSH_ADDS = 1024;
const MAX_PUSHES = 4;
const PUSH_MS = 1500;
/** A push that failed is tried again after so long. */
const AGAIN_MS = 500;
const BEAT_TIMEOUT_MS = 1500;

/** Pushes of one stream: `sent` adds of it, some of which may be under way. */
interface Sending {
  sent: number;
  underWay: number;
  notBefore: number;
}

/** Who this node is, for its beats. */
export interface Self {
  /** Internal address. */
  address: string;
  isCounted: boolean;
}

/** The tallies' part of one link that this node dialled. */
export class Session {
  /** Positions as told on this link; null: all must be told. */
  private told: Map<string, number> | null = null;
  private readonly sendings = new Map<string, Sending>();
  private isBeating = false;
  private beatAt = -Infinity;

  constructor(
    private readonly clock: types.Clock,
    private readonly self: Self,
    private readonly store: stores.TallyStore,
    private readonly peers: peers.Peers,
    readonly control: controlNode.ControlNode,
    readonly peer: peers.Peer,
  ) {}

  /** Tells what this node holds, if that is due; `isBehind`: the other node has folded adds that this one lacks. */
  async beat(everyMs: number): Promise<{ isBehind: boolean }> {
    const sentAt = this.clock.now();
    if (this.isBeating || sentAt - this.beatAt < everyMs) return { isBehind: false };
    this.isBeating = true;
    this.beatAt = sentAt;
    const told = this.told ?? new Map<string, number>();
    const held = this.changes(told);
    const { store, isWhole, durableEra: era } = this.store;
    const ask = { address: this.self.address, isCounted: this.self.isCounted, store, isWhole, era, isFull: this.told === null, held };
    const heard = await this.control.link.call(calls.tallyBeat, ask, BEAT_TIMEOUT_MS);
    this.isBeating = false;
    if (!heard) return { isBehind: false };
    this.peers.answered(this.peer, sentAt);
    if (heard.isKnown) for (const { stream, position } of held) told.set(stream, position);
    this.told = heard.isKnown ? told : null;
    return { isBehind: heard.isBehind };
  }

  private changes(told: ReadonlyMap<string, number>): StreamPosition[] {
    return this.store.durablePositions().filter(({ stream, position }) => told.get(stream) !== position);
  }

  /** Sends what the other node lacks of the stream; nothing where it was not told what that node holds. */
  push(stream: string): void {
    const { peer, store, clock: world } = this;
    if (peer.store === "" || !store.isOpen) return;
    const held = peer.held.get(stream) ?? 0;
    const sending = this.sendingOf(stream);
    if (sending.notBefore > world.now()) return;
    sending.sent = Math.max(sending.sent, held);
    while (sending.underWay < MAX_PUSHES) {
      const adds = store.ledger.addsAfter(stream, sending.sent, PUSH_ADDS);
      if (adds.length === 0) return;
      const from = sending.sent + 1;
      sending.sent += adds.length;
      sending.underWay += 1;
      const sentAt = world.now();
      void this.control.link.call(calls.tallyPush, { stream, from, adds }, PUSH_MS).then((kept) => {
        sending.underWay -= 1;
        if (kept) {
          this.peers.answered(peer, sentAt);
          this.peers.kept(peer, kept.store, stream, kept.position);
        } else sending.notBefore = world.now() + AGAIN_MS;
        // What was not kept, as behind a gap, is sent again once nothing of the stream is under way.
        if (sending.underWay === 0) sending.sent = peer.held.get(stream) ?? 0;
        this.onKept();
        if (kept && this.control.link.isOpen) this.push(stream);
      });
    }
  }

  /** Called after each answer to a push. */
  onKept: () => void = () => {};

  private sendingOf(stream: string): Sending {
    let sending = this.sendings.get(stream);
    if (!sending) this.sendings.set(stream, (sending = { sent: 0, underWay: 0, notBefore: 0 }));
    return sending;
  }
}
