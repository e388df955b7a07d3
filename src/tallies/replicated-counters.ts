/**
 * The replicated counters of one control node, "tallies" on the wire and in commands (design/tallies): sums that go on at both
 * sides of any network partition and agree afterwards. Nothing in here needs a majority; the register only says who the members are.
 */
import * as log from "../runtime/log.js";
import * as loopDelay from "../runtime/loop-delay.js";
import type * as files from "../store/files.js";
import type * as link from "../wire/link.js";
import type * as types from "../wire/types.js";
import * as timers from "../runtime/timers.js";
import * as acknowledgements from "./acknowledgements.js";
import * as eraAdvancer from "./era-advancer.js";
import * as peerTable from "./peer-table.js";
import * as totalsReadiness from "./totals-readiness.js";
import * as replication from "./replication.js";
import type * as tallyRequest from "./tally-request.js";
import * as counterStore from "./counter-store.js";

/** A caller waits so long for an acknowledgement; it may have called another node by then. */
export const ACKNOWLEDGE_TIMEOUT_MS = 2500;
/** A caller waits so long for a total at a node that has just started. */
const READY_TIMEOUT_MS = 800;
/** An add at a process that was not run for a while waits so long for its peers. */
const REGAIN_TIMEOUT_MS = 1200;
/** Ids in memory at most: beyond it adds are rejected until a partition is over and compaction goes on. */
export const MAX_IDS = 250_000;
/** Interval between checks of what the peers hold, while this node leaves. */
const HAND_OVER_POLL_MS = 50;
/** Interval between checks of what may be compacted, and of whether an era ends. */
const COMPACT_INTERVAL_MS = 1000;

/** The control node around it. */
export interface CounterHost {
  readonly incarnation: string;
  /** Internal address of this node. */
  readonly address: string;
  readonly isCounted: boolean;
  readonly dial: replication.ControlLinks;
  readonly handlers: link.Handlers;
  newDiskId(): string;
  /** How many machines may lose their disks at once. */
  tolerated(): number;
  /** Internal addresses of all members, this node maybe among them. */
  members(): string[];
  isZoneHeard(zone: string): boolean;
}

/** What became of an add: `busy`: nothing was done; `full`: nothing was done; `unknown`: it may count. */
export type AddOutcome = "added" | "conflict" | "busy" | "full" | "unknown";

/** The replicated counters of one control node. */
export class ReplicatedCounters {
  private readonly store: counterStore.CounterStore;
  private readonly peers: peerTable.PeerTable;
  private readonly replication: replication.Replication;
  private readonly acknowledgements: acknowledgements.Acknowledgements;
  private readonly readiness: totalsReadiness.TotalsReadiness;
  private readonly eras: eraAdvancer.EraAdvancer;
  private compactedAt: types.SteadyMs;
  private readonly loopDelay: loopDelay.LoopDelay;
  private isDraining = false;
  private wasPartitioned = false;

  constructor(
    private readonly clock: types.Clock,
    private readonly host: CounterHost,
  ) {
    const { incarnation, address, isCounted, dial } = host;
    this.compactedAt = clock.now();
    this.loopDelay = new loopDelay.LoopDelay(clock);
    this.store = new counterStore.CounterStore(clock, () => host.newDiskId());
    this.peers = new peerTable.PeerTable(clock);
    const { store, peers: known } = this;
    this.replication = new replication.Replication({
      clock,
      self: { address, isCounted },
      ownStream: incarnation,
      store,
      peers: known,
      dial,
    });
    const required = (): number => this.required();
    const expected = (): string[] => this.expected();
    const isZoneHeard = (zone: string): boolean => host.isZoneHeard(zone);
    this.acknowledgements = new acknowledgements.Acknowledgements({
      clock,
      store,
      peers: known,
      isCounted,
      required,
      expected,
      loopDelay: this.loopDelay,
      isZoneHeard,
    });
    this.readiness = new totalsReadiness.TotalsReadiness({ clock, store, peers: known, required, expected });
    this.eras = new eraAdvancer.EraAdvancer(clock, store);
    this.replication.registerHandlers(host.handlers);
    this.replication.on("progress", () => this.onProgress());
  }

  /** Reads the disk; the loop never waits for it. */
  open(folder: files.StoreFolder): void {
    void this.store.open(folder).then(() => this.runPeriodically());
  }

  /** Called each 100 ms. */
  runPeriodically(): void {
    this.loopDelay.recordRun();
    this.replication.runPeriodically();
    this.onProgress();
    this.reportPartition();
    if (this.clock.now() - this.compactedAt < COMPACT_INTERVAL_MS) return;
    this.compactedAt = this.clock.now();
    this.compact();
  }

  /** Adds to a tally; an id that was added before is acknowledged once more and counts once. */
  async add(tally: string, { id, amount }: tallyRequest.AddRequest): Promise<AddOutcome> {
    const { store, host } = this;
    await this.regainPeers();
    if (this.isDraining || !store.isOpen || !store.isComplete) return "busy";
    const known = store.state.find(tally, id);
    if (known && known.amount !== amount) return "conflict";
    if (known) {
      log.count("tallies.again");
      return this.waitUntilDurable(known.stream, known.position);
    }
    if (store.state.ids >= MAX_IDS) return "full";
    if (!this.acknowledgements.canAcknowledge()) return "busy";
    const position = store.state.offsetOf(host.incarnation) + 1;
    const add = { tally, id, amount, era: store.state.era };
    void store.appendAdds(host.incarnation, position, [add]).then(() => this.acknowledgements.check());
    this.replication.pushOwn();
    return this.waitUntilDurable(host.incarnation, position);
  }

  /** A process that was not run for a while hears from its peers again before it takes them for gone. */
  private async regainPeers(): Promise<void> {
    const waiting = this.acknowledgements;
    if (!this.store.isOpen || waiting.canAcknowledge() || !this.loopDelay.isRecovering(peerTable.IN_TOUCH_MS)) return;
    log.count("tallies.waited_for_peers");
    await waiting.waitUntilReachable(REGAIN_TIMEOUT_MS);
  }

  private async waitUntilDurable(stream: string, position: number): Promise<AddOutcome> {
    const isCompacted = position <= this.store.state.compactedOffset(stream) || stream === "";
    const outcome = isCompacted ? "durable" : await this.acknowledgements.wait(stream, position, ACKNOWLEDGE_TIMEOUT_MS);
    log.count(outcome === "durable" ? "tallies.acknowledged" : "tallies.unknown");
    return outcome === "durable" ? "added" : "unknown";
  }

  /** The total of a tally; null while this node may not serve totals yet. */
  async total(tally: string): Promise<number | null> {
    return (await this.readiness.waitUntilReady(READY_TIMEOUT_MS)) ? this.store.state.total(tally) : null;
  }

  /** All totals by name; null while this node may not serve totals yet. */
  async totals(): Promise<Map<string, number> | null> {
    if (!(await this.readiness.waitUntilReady(READY_TIMEOUT_MS))) return null;
    const { state } = this.store;
    return new Map(state.names().map((tally) => [tally, state.total(tally)]));
  }

  /** For `status`: names are read by `cranewind status`. */
  status(): unknown {
    const { store, acknowledgements: waiting } = this;
    return {
      disk: store.diskId,
      isReady: this.readiness.isReady,
      isWhole: store.isComplete,
      isApart: waiting.isPartitioned(),
      required: this.required(),
      waiting: waiting.size,
      tallies: store.state.names().length,
      ids: store.state.ids,
      era: store.state.era,
      log: store.status(),
      peers: [...this.peers.all()].map((peer) => this.peerStatus(peer)),
    };
  }

  private peerStatus(peer: peerTable.Peer): unknown {
    const { state } = this.store;
    let lag = 0;
    for (const stream of state.streamNames()) lag += Math.max(0, state.offsetOf(stream) - (peer.durableOffsets.get(stream) ?? 0));
    return { address: peer.address, disk: peer.diskId, isInTouch: this.peers.isInTouch(peer), isWhole: peer.isComplete, lag };
  }

  /** No add is accepted any more; what waits may still be acknowledged. */
  drain(): void {
    this.isDraining = true;
  }

  /**
   * Resolves when each counted peer in touch holds on disk all adds that this node holds, or after the time-out: the node
   * may leave for good, and take its disk along.
   */
  async handOver(timeoutMs: number): Promise<void> {
    const until = this.clock.now() + timeoutMs;
    while (!this.isHeldByPeers()) {
      if (this.clock.now() >= until) {
        log.count("tallies.hand_over_late");
        return;
      }
      await timers.sleep(this.clock, HAND_OVER_POLL_MS);
    }
  }

  private isHeldByPeers(): boolean {
    const { state } = this.store;
    const streams = [...state.streamNames()];
    const isBehind = (peer: peerTable.Peer, stream: string): boolean => (peer.durableOffsets.get(stream) ?? 0) < state.offsetOf(stream);
    return !this.peers.countedInTouch().some((peer) => streams.some((stream) => isBehind(peer, stream)));
  }

  async stop(): Promise<void> {
    await timers.endsWithin(this.clock, CLOSE_TIMEOUT_MS, this.store.close());
  }

  private onProgress(): void {
    // Before any add is accepted: one of an older era would not be known as the same as those of the others.
    this.catchUpEra();
    this.readiness.update();
    this.acknowledgements.check();
  }

  private reportPartition(): void {
    const isPartitioned = this.acknowledgements.isPartitioned();
    if (isPartitioned === this.wasPartitioned) return;
    this.wasPartitioned = isPartitioned;
    log.count(isPartitioned ? "tallies.apart" : "tallies.joined");
    log.state(isPartitioned ? "tallies: cut off; adds are acknowledged by the disks in reach" : "tallies: enough disks are in reach again");
  }

  /** So many disks outlive the loss of all that may be lost at once. */
  private required(): number {
    return Math.min(this.host.tolerated() + 1, this.expected().length + 1);
  }

  private expected(): string[] {
    return this.host.members().filter((address) => address !== this.host.address);
  }

  /** All members, if each of them has reported its offsets; else null. */
  private members(): peerTable.Peer[] | null {
    const members: peerTable.Peer[] = [];
    for (const address of this.expected()) {
      const peer = this.peers.get(address);
      if (!peer || peer.diskId === "") return null;
      members.push(peer);
    }
    return members;
  }

  private compact(): void {
    const members = this.members();
    this.eras.advanceIfDue(members);
    if (!members || !this.store.isComplete) return;
    const common = this.store.durablePositions().map(({ stream, position }) => {
      const durableEverywhere = Math.min(position, ...members.map((peer) => peer.durableOffsets.get(stream) ?? 0));
      return { stream, position: durableEverywhere };
    });
    this.store.compact(common);
  }

  /** A node that was away for long, or whose disk is new, goes on where the others are. */
  private catchUpEra(): void {
    let newest = this.store.state.era;
    for (const peer of this.peers.all()) if (this.peers.isInTouch(peer)) newest = Math.max(newest, peer.era - 1);
    if (this.store.isOpen && newest > this.store.state.era) void this.store.enterEra(newest);
  }
}

/** How long an ending process waits for its disk. */
const CLOSE_TIMEOUT_MS = 1000;
