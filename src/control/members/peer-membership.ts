/** The receiving side of a membership: what one peer published of its members, as far as its updates arrived (design/members 1). */
import type * as schema from "../../wire/schema.js";
import * as publishedMembership from "./published-membership.js";

/** Number of a replica that is incomplete: no delta begins there, so that only a snapshot is accepted. */
const INCOMPLETE = -1;

/** Replica of one peer's membership. */
export class PeerMembership {
  private readonly nodes = new Map<string, schema.NodeInfo>();
  private incarnation = "";
  private number = INCOMPLETE;
  private digest = 0;

  /** The members that the peer published; after a gap these are the ones known before it. */
  all(): Iterable<schema.NodeInfo> {
    return this.nodes.values();
  }

  /** Applies a snapshot or a delta. False: an update is missing, so that the caller must request a snapshot. */
  applyUpdate(update: schema.RosterUpdate): boolean {
    if (update.isWhole) this.clear();
    else if (update.life !== this.incarnation || update.from !== this.number) return false;
    for (const name of update.gone) this.set(name, null);
    for (const node of update.nodes) this.set(node.name, node);
    this.incarnation = update.life;
    this.number = update.number;
    const isComplete = this.nodes.size === update.count && this.digest === update.digest;
    if (!isComplete) this.number = INCOMPLETE;
    return isComplete;
  }

  private set(name: string, node: schema.NodeInfo | null): void {
    const previous = this.nodes.get(name);
    if (previous) this.digest -= publishedMembership.hashNode(previous);
    if (node) {
      this.digest += publishedMembership.hashNode(node);
      this.nodes.set(name, node);
    } else this.nodes.delete(name);
  }

  private clear(): void {
    this.nodes.clear();
    this.digest = 0;
  }
}
