/** Replication to one peer over one link: heartbeats and pushes (design/tallies 4). A new link starts from scratch. */
import type * as controlNode from "../feed/control-node.js";
import * as calls from "../wire/calls.js";
import type { StreamPosition } from "../wire/tally-schema.js";
import type * as types from "../wire/types.js";
import * as peerTable from "./peer-table.js";
import type * as counterStore from "./counter-store.js";

/** Adds of one push, and pushes of one stream in flight: the backlog of a long partition is sent in bounded messages. */
const MAX_PUSH_ADDS = 1024;
const MAX_PUSHES_IN_FLIGHT = 4;
const PUSH_TIMEOUT_MS = 1500;
/** A failed push is retried after this time. */
const RETRY_INTERVAL_MS = 500;
const HEARTBEAT_TIMEOUT_MS = 1500;

/** Pushes of one stream: `sent` is the offset up to which it was sent, acknowledged or in flight. */
interface PushState {
  sent: number;
  inFlight: number;
  notBefore: number;
}

/** Identifies this node in its heartbeats. */
export interface Self {
  /** Internal address. */
  address: string;
  isCounted: boolean;
}

/** Replicates to the peer at the other end of a link that this node dialled. */
export class PeerSession {
  /** Offsets that the peer has acknowledged on this link; null: the next heartbeat carries all offsets. */
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

  /** Sends the changed durable offsets, if a heartbeat is due; `isBehind`: the peer has compacted adds that this node lacks. */
  async sendHeartbeat(everyMs: number): Promise<{ isBehind: boolean }> {
    const sentAt = this.clock.now();
    if (this.isHeartbeatInFlight || sentAt - this.heartbeatAt < everyMs) return { isBehind: false };
    this.isHeartbeatInFlight = true;
    this.heartbeatAt = sentAt;
    const acknowledged = this.acknowledgedOffsets ?? new Map<string, number>();
    const held = this.changedOffsets(acknowledged);
    const { diskId: store, isComplete: isWhole, durableEra: era } = this.store;
    const heartbeat = {
      address: this.self.address,
      isCounted: this.self.isCounted,
      store,
      isWhole,
      era,
      isFull: this.acknowledgedOffsets === null,
      held,
    };
    const reply = await this.control.link.call(calls.counterHeartbeat, heartbeat, HEARTBEAT_TIMEOUT_MS);
    this.isHeartbeatInFlight = false;
    if (!reply) return { isBehind: false };
    this.peers.recordAnswer(this.peer, sentAt);
    if (reply.isKnown) for (const { stream, position } of held) acknowledged.set(stream, position);
    this.acknowledgedOffsets = reply.isKnown ? acknowledged : null;
    return { isBehind: reply.isBehind };
  }

  private changedOffsets(acknowledged: ReadonlyMap<string, number>): StreamPosition[] {
    return this.store.durablePositions().filter(({ stream, position }) => acknowledged.get(stream) !== position);
  }

  /** Sends the adds of the stream that the peer lacks; nothing before the peer has reported its offsets. */
  push(stream: string): void {
    const { peer, store, clock } = this;
    if (peer.diskId === "" || !store.isOpen) return;
    const durable = peer.durableOffsets.get(stream) ?? 0;
    const sending = this.pushStateOf(stream);
    if (sending.notBefore > clock.now()) return;
    sending.sent = Math.max(sending.sent, durable);
    while (sending.inFlight < MAX_PUSHES_IN_FLIGHT) {
      const adds = store.state.addsAfter(stream, sending.sent, MAX_PUSH_ADDS);
      if (adds.length === 0) return;
      const from = sending.sent + 1;
      sending.sent += adds.length;
      sending.inFlight += 1;
      const sentAt = clock.now();
      void this.control.link.call(calls.counterPush, { stream, from, adds }, PUSH_TIMEOUT_MS).then((reply) => {
        sending.inFlight -= 1;
        if (reply) {
          this.peers.recordAnswer(peer, sentAt);
          this.peers.recordDurable(peer, reply.store, stream, reply.position);
        } else sending.notBefore = clock.now() + RETRY_INTERVAL_MS;
        // What the peer did not store, as behind a gap, is sent again once no push of the stream is in flight.
        if (sending.inFlight === 0) sending.sent = peer.durableOffsets.get(stream) ?? 0;
        this.onAnswer();
        if (reply && this.control.link.isOpen) this.push(stream);
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
