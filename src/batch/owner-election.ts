/**
 * Decides when a control node claims the batches for a new term (design/batch 7): the owner is disconnected, or has
 * changed nothing for too long. Nodes claim in rank order, each with a longer delay; of two claims on a term the second
 * has no effect.
 */
import type * as schema from "../wire/batch-schema.js";
import type * as types from "../wire/types.js";
import * as tables from "./table.js";

/** An owner that was disconnected for this long is replaced. */
const OWNER_TIMEOUT_MS = 2500;
/** An owner that is connected but changed nothing for this long is replaced, too. */
const OWNER_IDLE_TIMEOUT_MS = 15_000;
/** Additional delay per rank, so that claims rarely collide. */
const RANK_DELAY_MS = 700;

/** The other control nodes. */
export interface Peers {
  /** Whether the process with this incarnation is connected. */
  isConnected(incarnation: string): boolean;
  /** This node's rank among those that may own the batches; 0 is the first. */
  rank(): number;
}

/** State of one node that is not the owner; `shouldClaim` is called periodically. */
export class OwnerElection {
  private term = -1;
  private epoch: types.Epoch | null = null;
  private lastConnectedAt: types.SteadyMs;
  private lastChangeAt: types.SteadyMs;

  constructor(
    private readonly clock: types.Clock,
    private readonly peers: Peers,
  ) {
    this.lastConnectedAt = this.lastChangeAt = clock.now();
  }

  /** `epoch` is that of the register's value, which every change of the owner advances. */
  shouldClaim(table: schema.BatchTable, epoch: types.Epoch): boolean {
    const now = this.clock.now();
    if (table.term !== this.term || epoch !== this.epoch) this.lastChangeAt = now;
    if (table.term !== this.term) this.lastConnectedAt = now;
    this.term = table.term;
    this.epoch = epoch;
    if (this.peers.isConnected(table.owner)) this.lastConnectedAt = now;
    if (tables.openBatches(table).length === 0) return false;
    const delayMs = this.peers.rank() * RANK_DELAY_MS;
    const isDisconnected = now - this.lastConnectedAt >= (table.owner === "" ? 0 : OWNER_TIMEOUT_MS) + delayMs;
    return isDisconnected || now - this.lastChangeAt >= OWNER_IDLE_TIMEOUT_MS + delayMs;
  }
}
