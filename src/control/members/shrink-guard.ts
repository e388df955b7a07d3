/** Holds back a view of the routers that shrinks by much at once, before it is acted on (design/members 5). */
import type * as schema from "../../wire/schema.js";
import type * as types from "../../wire/types.js";
import * as log from "../../runtime/log.js";

/** Losses within this time count as one. */
const LOSS_WINDOW_MS = 1000;
/** How long lost routers are kept. */
const HOLD_MS = 2000;
/** Fewer losses are always believed. */
const MIN_LOSSES = 3;
/** A larger share of the routers known is held back. */
const MAX_LOSS_SHARE = 1 / 3;

interface Loss {
  node: schema.NodeInfo;
  /** When it was missing for the first time. */
  at: number;
}

/** One router of the view. isConfirmed: it is in touch now; else it was lost, and is kept by the guard. */
export interface ObservedNode {
  node: schema.NodeInfo;
  isConfirmed: boolean;
}

/** Keeps the lost routers in the view for a moment when many vanish at once: this node may be the one cut off. */
export class ShrinkGuard {
  /** The ready routers of the last view, by name. */
  private ready = new Map<string, schema.NodeInfo>();
  private readonly losses = new Map<string, Loss>();
  /** Null while nothing is held back. */
  private holdUntil: number | null = null;

  constructor(private readonly clock: types.Clock) {}

  /** Whether lost routers are kept in the view now. */
  get isHolding(): boolean {
    return this.holdUntil !== null;
  }

  /** The view that follows from the routers in touch now. `isDraining` tells incarnations that announced their drain. */
  updateView(routers: readonly schema.NodeInfo[], isDraining: (incarnation: string) => boolean): ObservedNode[] {
    const now = this.clock.now();
    const ready = new Map<string, schema.NodeInfo>();
    for (const node of routers) if (node.isReady) ready.set(node.name, node);
    for (const [name, node] of this.ready) if (!ready.has(name)) this.losses.set(name, { node, at: now });
    for (const [name, { node, at }] of this.losses) {
      const isOld = !this.isHolding && now - at > LOSS_WINDOW_MS;
      if (ready.has(name) || isDraining(node.life) || isOld) this.losses.delete(name);
    }
    this.ready = ready;
    this.updateHold(now);
    return this.merge(routers);
  }

  private updateHold(now: number): void {
    if (this.holdUntil === null) {
      if (this.isLargeLoss()) this.beginHold(now);
    } else if (now >= this.holdUntil || this.losses.size === 0) this.endHold();
  }

  private isLargeLoss(): boolean {
    const lost = this.losses.size;
    return lost >= MIN_LOSSES && lost > (this.ready.size + lost) * MAX_LOSS_SHARE;
  }

  private beginHold(now: number): void {
    this.holdUntil = now + HOLD_MS;
    log.count("members.shrink_held");
    log.state(`members: ${this.losses.size} routers lost at once, ${this.ready.size} in touch: the lost ones are kept for ${HOLD_MS} ms`);
  }

  private endHold(): void {
    const lost = this.losses.size;
    log.state(`members: ${lost === 0 ? "all routers are in touch again" : `${lost} lost routers are removed`}`);
    this.holdUntil = null;
    this.losses.clear();
  }

  private merge(routers: readonly schema.NodeInfo[]): ObservedNode[] {
    const all = new Map<string, ObservedNode>();
    for (const node of routers) all.set(node.name, { node, isConfirmed: true });
    if (this.isHolding) for (const [name, { node }] of this.losses) all.set(name, { node, isConfirmed: false });
    return [...all.values()].sort(compareNames);
  }
}

function compareNames(left: ObservedNode, right: ObservedNode): number {
  return left.node.name < right.node.name ? -1 : left.node.name > right.node.name ? 1 : 0;
}
