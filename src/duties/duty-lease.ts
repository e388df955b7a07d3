/**
 * The lease on the duties at the platform, as one control node sees it (design/duties 3). The holder renews it in the register;
 * another node may claim it once it has observed the lease unchanged for the whole duration on its own steady clock. The holder
 * stops earlier than that, counted from before its last renewal began, so that it never acts beside its successor.
 */
import type * as dutySchema from "../wire/duty-schema.js";
import type * as types from "../wire/types.js";
import * as dutyTable from "./duty-table.js";

/** How much earlier the holder stops than others may claim: drift of steady clocks, and bytes that are still on their way. */
const SAFETY_MARGIN_MS = 600;
/** The shortest lease that leaves time for a renewal and a call. */
const MIN_DURATION_MS = 2500;
/** Renewals in the time that the holder may act. */
const RENEWALS_PER_LEASE = 2.4;
/** Additional delay per rank, so that claims rarely collide. */
const RANK_DELAY_MS = 500;

/** One control node's side of the lease; `observe` is called with each chosen table, in their order. */
export class DutyLease {
  private table: dutySchema.DutyTable | null = null;
  private unchangedSince: types.SteadyMs;
  /** Until then this process may act as the holder. */
  private validUntil = Number.NEGATIVE_INFINITY;
  /** The fence that this incarnation holds; null: it does not hold the lease. */
  private heldFence: number | null = null;
  private readonly durationMs: number;

  /** `leaseMs`: of the settings. */
  constructor(
    private readonly clock: types.Clock,
    leaseMs: number,
  ) {
    this.durationMs = Math.max(MIN_DURATION_MS, leaseMs);
    this.unchangedSince = clock.now();
  }

  /** Between two renewals, in milliseconds. */
  get renewalIntervalMs(): number {
    return (this.durationMs - SAFETY_MARGIN_MS) / RENEWALS_PER_LEASE;
  }

  /** The table observed last; null before the first. */
  get observed(): dutySchema.DutyTable | null {
    return this.table;
  }

  /** The fencing token, while this incarnation holds the lease; it may act only while `remainingMs` allows. */
  get fence(): number | null {
    return this.heldFence;
  }

  /** The newest chosen table, perhaps one that was observed before. */
  observe(table: dutySchema.DutyTable): void {
    if (!this.table || !dutyTable.isSameLease(table, this.table)) this.unchangedSince = this.clock.now();
    this.table = table;
    if (this.heldFence !== null && table.fence > this.heldFence) this.release();
  }

  /** Whether this node may claim the lease now; `rank`: among the nodes that may, 0 is the first. */
  mayClaim(rank: number): boolean {
    if (!this.table || this.heldFence !== null) return false;
    const delayMs = rank * RANK_DELAY_MS;
    const waitMs = this.table.holder === "" ? delayMs : this.durationMs + delayMs;
    return this.clock.now() - this.unchangedSince >= waitMs;
  }

  /** A claim or renewal that began at `startedAt` was chosen: the lease is held under this fence. */
  recordSuccess(fence: number, startedAt: types.SteadyMs): void {
    this.heldFence = fence;
    this.validUntil = startedAt + this.durationMs - SAFETY_MARGIN_MS;
  }

  /** How long the holder may still act, in milliseconds; 0 and less: not at all. Read again before each act. */
  remainingMs(): number {
    return this.heldFence === null ? Number.NEGATIVE_INFINITY : this.validUntil - this.clock.now();
  }

  /** This incarnation no longer holds the lease, or gives it up: it may claim again like any other node. */
  release(): void {
    this.heldFence = null;
    this.validUntil = Number.NEGATIVE_INFINITY;
  }

  /** For `status`. */
  status(): unknown {
    const { table } = this;
    return {
      holder: table?.holder ?? "",
      fence: table?.fence ?? 0,
      isHeldHere: this.heldFence !== null,
      remainingMs: this.heldFence === null ? 0 : Math.max(0, Math.round(this.remainingMs())),
    };
  }
}
