/**
 * The publishing side of a control node's own membership: its members, numbered by change, so that each peer gets a delta since the
 * number it was sent last, or a snapshot when that is unknown or too old (design/members 1).
 */
import type * as schema from "../../wire/schema.js";
import * as textHash from "../../limits/text-hash.js";

/** Removals that are remembered for deltas; a peer that is further behind gets a snapshot. */
const MAX_REMOVALS = 1024;
/** Nodes of which only the epoch moved that are published with one heartbeat, whatever the number of routers. */
const MAX_EPOCHS_PER_HEARTBEAT = 2;
/** `from` of a snapshot. */
const BEFORE_ALL = -1;

interface Entry {
  node: schema.NodeInfo;
  hash: number;
  /** Of its last published change. */
  number: number;
  /** Its epoch moved after it was numbered last. */
  isEpochStale: boolean;
}

interface Removal {
  name: string;
  number: number;
}

/** Hash of a member without its epoch, which moves at every router with every change of the configuration. */
export function hashNode(node: schema.NodeInfo): number {
  const { name, role, life, zone, region, address, outside, disk, isCounted, isReady } = node;
  return textHash.hashText([name, role, life, zone, region, address, outside, disk, isCounted, isReady].join("\n"));
}

/** The own membership. Numbers count changes within one incarnation of this process. */
export class PublishedMembership {
  private readonly entries = new Map<string, Entry>();
  /** Incarnations of draining routers, with the number of the change that added them. */
  private readonly draining = new Map<string, number>();
  private removals: Removal[] = [];
  private number = 0;
  private oldestDeltaNumber = 0;
  private digest = 0;

  constructor(private readonly incarnation: string) {}

  /** Number of the newest change. */
  get newestNumber(): number {
    return this.number;
  }

  /** Replaces the members and the incarnations of draining routers, and numbers what differs from before. */
  update(nodes: readonly schema.NodeInfo[], draining: Iterable<string>): void {
    const names = new Set<string>();
    let epochs = 0;
    for (const node of nodes) {
      names.add(node.name);
      const previous = this.entries.get(node.name);
      if (previous && previous.node === node && !previous.isEpochStale) continue;
      const hash = hashNode(node);
      if (previous && previous.hash === hash) {
        previous.isEpochStale ||= previous.node.epoch !== node.epoch;
        previous.node = node;
        if (!previous.isEpochStale || epochs >= MAX_EPOCHS_PER_HEARTBEAT) continue;
        epochs += 1;
      }
      this.number += 1;
      this.digest += hash - (previous?.hash ?? 0);
      this.entries.set(node.name, { node, hash, number: this.number, isEpochStale: false });
    }
    for (const [name, entry] of this.entries) if (!names.has(name)) this.remove(name, entry);
    this.updateDraining(draining);
  }

  private remove(name: string, entry: Entry): void {
    this.number += 1;
    this.digest -= entry.hash;
    this.entries.delete(name);
    this.removals.push({ name, number: this.number });
    while (this.removals.length > MAX_REMOVALS) this.oldestDeltaNumber = this.removals.shift()!.number;
  }

  private updateDraining(incarnations: Iterable<string>): void {
    const current = new Set(incarnations);
    for (const incarnation of this.draining.keys()) if (!current.has(incarnation)) this.draining.delete(incarnation);
    for (const incarnation of current) {
      if (!this.draining.has(incarnation)) this.draining.set(incarnation, (this.number += 1));
    }
  }

  /** The delta since change `from`; a snapshot when the peer's number is unknown (-1) or older than what is remembered. */
  deltaSince(from: number): schema.RosterUpdate {
    const isSnapshot = from < this.oldestDeltaNumber || from > this.number;
    const after = isSnapshot ? BEFORE_ALL : from;
    const update: schema.RosterUpdate = {
      life: this.incarnation,
      isWhole: isSnapshot,
      from: after,
      number: this.number,
      count: this.entries.size,
      digest: this.digest,
      nodes: [],
      gone: [],
      leaving: [],
      controls: [],
    };
    if (after === this.number) return update;
    for (const entry of this.entries.values()) if (entry.number > after) update.nodes.push(entry.node);
    for (const [incarnation, number] of this.draining) if (number > after) update.leaving.push(incarnation);
    if (!isSnapshot) {
      for (const { name, number } of this.removals) if (number > after && !this.entries.has(name)) update.gone.push(name);
    }
    return update;
  }
}
