// A control node's roster and its differences: siblings hear what changed, and a gap asks for the whole
// (design/members 1).
import * as schema from "../../wire/schema.js";
import * as shares from "../../limits/shares.js";

/** Differences reach back so many removals; whoever is further behind gets the whole. */
const MAX_REMOVALS = 1024;
/** Epochs that moved are told so many a beat, whatever the number of routers. */
const MAX_EPOCHS_PER_HEARTBEAT = 2;

interface Entry {
  node: schema.NodeInfo;
  hash: number;
  number: number;
  isEpochStale: boolean;
}

interface Removal {
  name: string;
  number: number;
}

/** All but the epoch, which moves at every router with every change of the configuration. */
export function hashNode(node: schema.NodeInfo): number {
  const { name, role, life, zone, region, address, outside, disk, isCounted, isReady } = node;
  return shares.hash([name, role, life, zone, region, address, outside, disk, isCounted, isReady].join("\n"));
}

/** The sending side. A number is one change within the life of this process. */
export class Roster {
  private readonly entries = new Map<string, Entry>();
  private readonly leaving = new Map<string, number>();
  private removals: Removal[] = [];
  private number = 0;
  private oldestDeltaNumber = 0;
  private digest = 0;

  constructor(private readonly incarnation: string) {}

  get newestNumber(): number {
    return this.number;
  }

  /** Takes the roster as it is now; numbers what differs from before. */
  update(nodes: readonly schema.NodeInfo[], leaving: Iterable<string>): void {
    const names = new Set<string>();
    let epochs = 0;
    for (const node of nodes) {
      names.add(node.name);
      const before = this.entries.get(node.name);
      if (before && before.node === node && !before.isEpochStale) continue;
      const hashed = hashNode(node);
      if (before && before.hash === hashed) {
        before.isEpochStale ||= before.node.epoch !== node.epoch;
        before.node = node;
        if (!before.isEpochStale || epochs >= MAX_EPOCHS_PER_HEARTBEAT) continue;
        epochs += 1;
      }
      this.number += 1;
      this.digest += hashed - (before?.hash ?? 0);
      this.entries.set(node.name, { node, hash: hashed, number: this.number, isEpochStale: false });
    }
    for (const [name, entry] of this.entries) if (!names.has(name)) this.remove(name, entry);
    this.updateLeaving(leaving);
  }

  private remove(name: string, entry: Entry): void {
    this.number += 1;
    this.digest -= entry.hash;
    this.entries.delete(name);
    this.removals.push({ name, number: this.number });
    while (this.removals.length > MAX_REMOVALS) this.oldestDeltaNumber = this.removals.shift()!.number;
  }

  private updateLeaving(leaving: Iterable<string>): void {
    const lives = new Set(leaving);
    for (const life of this.leaving.keys()) if (!lives.has(life)) this.leaving.delete(life);
    for (const life of lives) if (!this.leaving.has(life)) this.leaving.set(life, (this.number += 1));
  }

  /** What changed after number `from`; all of it when that is not known (-1) or too long ago. */
  deltaSince(from: number): schema.Sessions {
    const isWhole = from < this.oldestDeltaNumber || from > this.number;
    const after = isWhole ? -1 : from;
    const told: schema.Sessions = {
      life: this.incarnation,
      isWhole,
      from: after,
      number: this.number,
      count: this.entries.size,
      digest: this.digest,
      nodes: [],
      gone: [],
      leaving: [],
      controls: [],
    };
    if (after === this.number) return told;
    for (const entry of this.entries.values()) if (entry.number > after) told.nodes.push(entry.node);
    for (const [life, number] of this.leaving) if (number > after) told.leaving.push(life);
    if (!isWhole) {
      for (const item of this.removals) if (item.number > after && !this.entries.has(item.name)) told.gone.push(item.name);
    }
    return told;
  }
}

/** The listener's side: a sibling's roster as far as it was told. */
export class PeerRoster {
  private readonly nodes = new Map<string, schema.NodeInfo>();
  private incarnation = "";
  private number = -1;
  private digest = 0;

  all(): Iterable<schema.NodeInfo> {
    return this.nodes.values();
  }

  /** False when something is missing: the whole must be asked for, and until then what was known stays. */
  applyUpdate(told: schema.Sessions): boolean {
    if (told.isWhole) this.clear();
    else if (told.life !== this.incarnation || told.from !== this.number) return false;
    for (const name of told.gone) this.set(name, null);
    for (const node of told.nodes) this.set(node.name, node);
    this.incarnation = told.life;
    this.number = told.number;
    const isSame = this.nodes.size === told.count && this.digest === told.digest;
    if (!isSame) this.number = -1;
    return isSame;
  }

  private set(name: string, node: schema.NodeInfo | null): void {
    const before = this.nodes.get(name);
    if (before) this.digest -= hashNode(before);
    if (node) {
      this.digest += hashNode(node);
      this.nodes.set(name, node);
    } else this.nodes.delete(name);
  }

  private clear(): void {
    this.nodes.clear();
    this.digest = 0;
  }
}
