/**
 * When a control node takes the batches over (design/batch 7): the owner is out of touch, or has not shown that it is
 * there. The nodes go in order, each next one with more patience; a claim that comes second changes nothing.
 */
import type * as schema from "../wire/batch-schema.js";
import type * as types from "../wire/types.js";
import * as tables from "./table.js";

/** An owner out of touch for so long is succeeded; one in touch that changes nothing, after longer. */
const GONE_MS = 2500;
const IDLE_MS = 15_000;
/** Patience of each next node in the order (*ours*). */
const RANK_MS = 700;

/** The other control nodes. */
export interface Siblings {
  /** Whether the process with this life is in touch. */
  isInTouch(life: string): boolean;
  /** This node's place among those that may own the batches; 0 is the first. */
  rank(): number;
}

/** Judged anew with each turn of a node that is not the owner. */
export class Succession {
  private term = -1;
  private epoch: types.Epoch | null = null;
  private goneSince: types.SteadyMs;
  private movedAt: types.SteadyMs;

  constructor(
    private readonly clock: types.Clock,
    private readonly siblings: Siblings,
  ) {
    this.goneSince = this.movedAt = clock.now();
  }

  /** epoch: of the register's value; it moves on with every change of the owner. */
  isDue(table: schema.BatchTable, epoch: types.Epoch): boolean {
    const now = this.clock.now();
    if (table.term !== this.term || epoch !== this.epoch) this.movedAt = now;
    if (table.term !== this.term) this.goneSince = now;
    this.term = table.term;
    this.epoch = epoch;
    if (this.siblings.isInTouch(table.owner)) this.goneSince = now;
    if (tables.openBatches(table).length === 0) return false;
    const patienceMs = this.siblings.rank() * RANK_MS;
    const isGone = now - this.goneSince >= (table.owner === "" ? 0 : GONE_MS) + patienceMs;
    return isGone || now - this.movedAt >= IDLE_MS + patienceMs;
  }
}
