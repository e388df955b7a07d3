/**
 * Tallies at one control node, put together (design/tallies): counts that are kept on both sides of any cut and agree
 * afterwards. Nothing in here needs a majority or the register; the register only tells who the members are.
 */
import * as log from "../runtime/log.js";
import type * as files from "../store/files.js";
import type * as link from "../wire/link.js";
import type * as types from "../wire/types.js";
import * as timers from "../runtime/timers.js";
import * as acknowledgements from "./acknowledgements.js";
import * as eras from "./eras.js";
import * as peers from "./peers.js";
import * as readinesses from "./readiness.js";
import * as replication from "./replication.js";
import type * as request from "./request.js";
import * as stores from "./store.js";

/** A caller waits so long for an acknowledgement; it may have called another node by then. */
export const ANSWER_MS = 2500;
/** A caller waits so long for a total at a node that has just started. */
const READY_MS = 800;
/** Ids in memory at most: beyond it adds are refused until a cut is over and folding goes on. */
export const MAX_IDS = 250_000;
/** Pause between two looks at what may be folded, and whether an era ends. */
const FOLD_MS = 1000;

/** The control node around it. */
export interface Host {
  readonly life: string;
  /** Internal address of this node. */
  readonly address: string;
  readonly isCounted: boolean;
  readonly dial: replication.ControlLinks;
  readonly handlers: link.Handlers;
  newStore(): string;
  /** How many machines may lose their disks at once. */
  tolerated(): number;
  /** Internal addresses of all members, this node maybe among them. */
  members(): string[];
  hearsZone(zone: string): boolean;
}

/** What became of an add: `busy`: nothing was done; `full`: nothing was done; `unknown`: it may count. */
export type Added = "added" | "conflict" | "busy" | "full" | "unknown";

/** The tallies of one control node. */
export class Tallies {
  private readonly store: stores.TallyStore;
  private readonly peers: peers.Peers;
  private readonly replication: replication.Replication;
  private readonly acknowledgements: acknowledgements.Acknowledgements;
  private readonly readiness: readinesses.Readiness;
  private readonly eras: eras.Eras;
  private foldedAt: types.SteadyMs;
  private isLeaving = false;
  private wasApart = false;

  constructor(
    private readonly clock: types.Clock,
    private readonly host: Host,
  ) {
    const { life, address, isCounted, dial } = host;
    this.foldedAt = clock.now();
    this.store = new stores.TallyStore(clock, host.newStore.bind(host));
    this.peers = new peers.Peers(clock);
    const { store, peers: known } = this;
    this.replication = new replication.Replication({ clock, self: { address, isCounted }, life, store, peers: known, dial });
    const required = this.required.bind(this);
    const expected = this.expected.bind(this);
    const hearsZone = host.hearsZone.bind(host);
    this.acknowledgements = new acknowledgements.Acknowledgements({ clock, store, peers: known, isCounted, required, expected, hearsZone });
    this.readiness = new readinesses.Readiness({ clock, store, peers: known, required, expected });
    this.eras = new eras.Eras(clock, store);
    this.replication.register(host.handlers);
    this.replication.on("moved", this.moved.bind(this));
  }

  /** Reads the disk; the loop never waits for it. */
  open(folder: files.StoreFolder): void {
    void this.store.open(folder).then(() => this.turn());
  }

  /** Called each 100 ms. */
  turn(): void {
    this.replication.turn();
    this.moved();
    this.tellApart();
    if (this.clock.now() - this.foldedAt < FOLD_MS) return;
    this.foldedAt = this.clock.now();
    this.fold();
  }

  /** Adds to a tally; an id that was added before is acknowledged once more and counts once. */
  async add(tally: string, { id, amount }: request.AskedAdd): Promise<Added> {
    const { store, host } = this;
    if (this.isLeaving || !store.isOpen || !store.isWhole) return "busy";
    const known = store.ledger.find(tally, id);
    if (known && known.amount !== amount) return "conflict";
    if (known) {
      log.count("tallies.again");
      return this.durably(known.stream, known.position);
    }
    if (store.ledger.ids >= MAX_IDS) return "full";
    if (!this.acknowledgements.canAcknowledge()) return "busy";
    const position = store.ledger.held(host.life) + 1;
    const add = { tally, id, amount, era: store.ledger.era };
    void store.take(host.life, position, [add]).then(() => this.acknowledgements.check());
    this.replication.pushOwn();
    return this.durably(host.life, position);
  }

  private async durably(stream: string, position: number): Promise<Added> {
    const isFolded = position <= this.store.ledger.folded(stream) || stream === "";
    const outcome = isFolded ? "held" : await this.acknowledgements.wait(stream, position, ANSWER_MS);
    log.count(outcome === "held" ? "tallies.acknowledged" : "tallies.unknown");
    return outcome === "held" ? "added" : "unknown";
  }

  /** The total of a tally; null while this node can't tell one. */
  async total(tally: string): Promise<number | null> {
    return (await this.readiness.within(READY_MS)) ? this.store.ledger.total(tally) : null;
  }

  /** All totals by name; null while this node can't tell them. */
  async totals(): Promise<Map<string, number> | null> {
    if (!(await this.readiness.within(READY_MS))) return null;
    const { ledger } = this.store;
    return new Map(ledger.names().map((tally) => [tally, ledger.total(tally)]));
  }

  /** For `status`: names are read by `cranewind status`. */
  status(): unknown {
    const { store, acknowledgements: waiting } = this;
    return {
      disk: store.store,
      isReady: this.readiness.isReady,
      isWhole: store.isWhole,
      isApart: waiting.isApart(),
      required: this.required(),
      waiting: waiting.size,
      tallies: store.ledger.names().length,
      ids: store.ledger.ids,
      era: store.ledger.era,
      log: store.status(),
      peers: [...this.peers.all()].map(this.peerStatus.bind(this)),
    };
  }

  private peerStatus(peer: peers.Peer): unknown {
    const { ledger } = this.store;
    let lag = 0;
    for (const stream of ledger.streamNames()) lag += Math.max(0, ledger.held(stream) - (peer.held.get(stream) ?? 0));
    return { address: peer.address, disk: peer.store, isInTouch: this.peers.isInTouch(peer), isWhole: peer.isWhole, lag };
  }

  /** No add is accepted any more; what waits may still be acknowledged. */
  leave(): void {
    this.isLeaving = true;
  }

  async stop(): Promise<void> {
    await timers.endsWithin(this.clock, CLOSE_MS, this.store.close());
  }

  private moved(): void {
    // Before any add is accepted: one of an older era would not be known as the same as those of the others.
    this.catchUpEra();
    this.readiness.turn();
    this.acknowledgements.check();
  }

  private tellApart(): void {
    const isApart = this.acknowledgements.isApart();
    if (isApart === this.wasApart) return;
    this.wasApart = isApart;
    log.count(isApart ? "tallies.apart" : "tallies.joined");
    log.state(isApart ? "tallies: cut off; adds are acknowledged by the disks in reach" : "tallies: enough disks are in reach again");
  }

  /** So many disks outlive the loss of all that may be lost at once. */
  private required(): number {
    return Math.min(this.host.tolerated() + 1, this.expected().length + 1);
  }

  private expected(): string[] {
    return this.host.members().filter((address) => address !== this.host.address);
  }

  /** All members, where each of them has told what it holds; else null. */
  private members(): peers.Peer[] | null {
    const members: peers.Peer[] = [];
    for (const address of this.expected()) {
      const peer = this.peers.get(address);
      if (!peer || peer.store === "") return null;
      members.push(peer);
    }
    return members;
  }

  private fold(): void {
    const members = this.members();
    this.eras.turn(members);
    if (!members || !this.store.isWhole) return;
    const common = this.store.durablePositions().map(({ stream, position }) => {
      const least = Math.min(position, ...members.map((peer) => peer.held.get(stream) ?? 0));
      return { stream, position: least };
    });
    this.store.fold(common);
  }

  /** A node that was away for long, or whose disk is new, goes on where the others are. */
  private catchUpEra(): void {
    let newest = this.store.ledger.era;
    for (const peer of this.peers.all()) if (this.peers.isInTouch(peer)) newest = Math.max(newest, peer.era - 1);
    if (this.store.isOpen && newest > this.store.ledger.era) void this.store.enterEra(newest);
  }
}

/** How long an ending process waits for its disk. */
const CLOSE_MS = 1000;
