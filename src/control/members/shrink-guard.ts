// A view that shrinks by much at once is held back before it is believed (design/members 5).
import * as schema from "../../wire/schema.js";
import * as types from "../../wire/types.js";
import * as log from "../../runtime/log.js";

const AT_ONCE_MS = 1000;
const HOLD_MS = 2000;
const MIN_LOST = 3;
const MUCH_SHARE = 1 / 3;

interface Lost {
  node: schema.NodeInfo;
  at: number;
}

/** One router of the view. isSure: it is heard now; else it is only believed to be there still. */
export interface ObservedNode {
  node: schema.NodeInfo;
  isConfirmed: boolean;
}

/** Keeps the former view for a moment when many routers vanish at once. */
export class ShrinkGuard {
  private before = new Map<string, schema.NodeInfo>();
  private readonly lost = new Map<string, Lost>();
  private until = -1;

  constructor(private readonly world: types.Clock) {}

  get isHolding(): boolean {
    return this.until >= 0;
  }

  /** The routers as heard now, in; as to be believed, out. hasLeft tells lives that said they leave. */
  updateView(routers: readonly schema.NodeInfo[], hasLeft: (life: string) => boolean): ObservedNode[] {
    const now = this.world.now();
    const heard = new Map<string, schema.NodeInfo>();
    for (const node of routers) if (node.isReady) heard.set(node.name, node);
    for (const [name, node] of this.before) if (!heard.has(name)) this.lost.set(name, { node, at: now });
    for (const [name, { node, at }] of this.lost) {
      const isOld = !this.isHolding && now - at > AT_ONCE_MS;
      if (heard.has(name) || hasLeft(node.life) || isOld) this.lost.delete(name);
    }
    this.before = heard;
    this.updateHold(now, heard.size);
    return this.merged(routers);
  }

  private updateHold(now: number, heard: number): void {
    const isMuch = this.lost.size >= MIN_LOST && this.lost.size > (heard + this.lost.size) * MUCH_SHARE;
    if (!this.isHolding && isMuch) {
      this.until = now + HOLD_MS;
      log.count("members.doubted");
      log.state(`members: ${this.lost.size} routers lost at once, ${heard} heard: the former view is kept`);
    } else if (this.isHolding && (now >= this.until || this.lost.size === 0)) {
      log.state(`members: ${this.lost.size === 0 ? "all are heard again" : `${this.lost.size} lost routers are believed lost`}`);
      this.until = -1;
      this.lost.clear();
    }
  }

  private merged(routers: readonly schema.NodeInfo[]): ObservedNode[] {
    const all = new Map<string, ObservedNode>();
    for (const node of routers) all.set(node.name, { node, isConfirmed: true });
    if (this.isHolding) for (const [name, { node }] of this.lost) all.set(name, { node, isConfirmed: false });
    return [...all.values()].sort(byName);
  }
}

function byName(left: ObservedNode, right: ObservedNode): number {
  return left.node.name < right.node.name ? -1 : left.node.name > right.node.name ? 1 : 0;
}
