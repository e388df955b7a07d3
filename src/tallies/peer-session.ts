/** What was told and sent to one other node over one link (design/tallies 4). A new link begins anew. */
import type * as controlNode from "../feed/control-node.js";
import * as calls from "../wire/calls.js";
import type { StreamPosition } from "../wire/tally-schema.js";
import type * as types from "../wire/types.js";
import * as peerTable from "./peer-table.js";
import type * as counterStore from "./counter-store.js";

/** Adds of one push, and pushes of one stream under way: what a long cut left goes over in bounded pieces. */
const MAX_PUSH_ADDS = 1024;
const MAX_PUSHES_IN_FLIGHT = 4;
const PUSH_TIMEOUT_MS = 1500;
/** A push that failed is tried again after so long. */
const RETRY_INTERVAL_MS = 500;
const HEARTBEAT_TIMEOUT_MS = 1500;

/** Pushes of one stream: `sent` adds of it, some of which may be under way. */
interface PushState {
  sent: number;
  inFlight: number;
  notBefore: number;
}

/** Who this node is, for its beats. */
export interface Self {
  /** Internal address. */
  address: string;
  isCounted: boolean;
}

/** The tallies' part of one link that this node dialled. */
export class PeerSession {
  /** Positions as told on this link; null: all must be told. */
  private acknowledgedOffsets: Map<string, number> | null = null;
  private readonly pushes = new Map<string, PushState>();
  private isHeartbeatInFlight = false;
  private heartbeatAt = -Infinity;

  constructor(
    private readonly clock: types.Clock,
    private readonly self: Self,
    private readonly store: counterStore.CounterStore,
    private readonly peers: peerTable.PeerTable,
    readonly control: controlNode.ControlNode,
    readonly peer: peerTable.Peer,
  ) {}

  /** Tells what this node holds, if that is due; `isBehind`: the other node has folded adds that this one lacks. */
  async sendHeartbeat(everyMs: number): Promise<{ isBehind: boolean }> {
    const sentAt = this.clock.now();
    if (this.isHeartbeatInFlight || sentAt - this.heartbeatAt < everyMs) return { isBehind: false };
    this.isHeartbeatInFlight = true;
    this.heartbeatAt = sentAt;
    const told = this.acknowledgedOffsets ?? new Map<string, number>();
    const held = this.changes(told);
    const { diskId: store, isComplete: isWhole, durableEra: era } = this.store;
    const ask = {
      address: this.self.address,
      isCounted: this.self.isCounted,
      store,
      isWhole,
      era,
      isFull: this.acknowledgedOffsets === null,
      held,
    };
    const heard = await this.control.link.call(calls.tallyBeat, ask, HEARTBEAT_TIMEOUT_MS);
    this.isHeartbeatInFlight = false;
    if (!heard) return { isBehind: false };
    this.peers.recordAnswer(this.peer, sentAt);
    if (heard.isKnown) for (const { stream, position } of held) told.set(stream, position);
    this.acknowledgedOffsets = heard.isKnown ? told : null;
    return { isBehind: heard.isBehind };
  }

  private changes(told: ReadonlyMap<string, number>): StreamPosition[] {
    return this.store.durablePositions().filter(({ stream, position }) => told.get(stream) !== position);
  }

  /** Sends what the other node lacks of the stream; nothing where it was not told what that node holds. */
  push(stream: string): void {
    const { peer, store, clock: world } = this;
    if (peer.diskId === "" || !store.isOpen) return;
    const held = peer.durableOffsets.get(stream) ?? 0;
    const sending = this.pushStateOf(stream);
    if (sending.notBefore > world.now()) return;
    sending.sent = Math.max(sending.sent, held);
    while (sending.inFlight < MAX_PUSHES_IN_FLIGHT) {
      const adds = store.state.addsAfter(stream, sending.sent, MAX_PUSH_ADDS);
      if (adds.length === 0) return;
      const from = sending.sent + 1;
      sending.sent += adds.length;
      sending.inFlight += 1;
      const sentAt = world.now();
      void this.control.link.call(calls.tallyPush, { stream, from, adds }, PUSH_TIMEOUT_MS).then((kept) => {
        sending.inFlight -= 1;
        if (kept) {
          this.peers.recordAnswer(peer, sentAt);
          this.peers.recordDurable(peer, kept.store, stream, kept.position);
        } else sending.notBefore = world.now() + RETRY_INTERVAL_MS;
        // What was not kept, as behind a gap, is sent again once nothing of the stream is under way.
        if (sending.inFlight === 0) sending.sent = peer.durableOffsets.get(stream) ?? 0;
        this.onAnswer();
        if (kept && this.control.link.isOpen) this.push(stream);
      });
    }
  }

  /** Called after each answer to a push. */
  onAnswer: () => void = () => {};

  private pushStateOf(stream: string): PushState {
    let sending = this.pushes.get(stream);
    if (!sending) this.pushes.set(stream, (sending = { sent: 0, inFlight: 0, notBefore: 0 }));
    return sending;
  }
}
