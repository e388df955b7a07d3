/**
 * Load reports of the runners, and this router's lease of each cell's free slots (design/admission 4).
 *
 * Between two reports a router may send only as many requests to a cell as its lease has slots, so that the routers
 * together do not fill the same slots twice. Times are milliseconds of the steady clock.
 */
import type * as runnerEndpoint from "../runners/runner-endpoint.js";
import type * as schema from "../wire/schema.js";
import type * as types from "../wire/types.js";
import * as cellCapacity from "./cell-capacity.js";

/** Reports and leases older than this are ignored (ours). */
const STALE_MS = 3000;

/** The last report of one runner, and what was sent there since. */
interface ReportedLoad {
  /** When the report was received. */
  at: number;
  waiting: number;
  /** Tokens in the runner's memory; a capacity of 0 is unknown. */
  kvUsed: number;
  kvCapacity: number;
  /** Tokens that this router sent there since. */
  sentTokens: number;
}

/** The free slots of a cell that this router may use until the next report. */
interface Lease {
  /** When the lease was made, from the report received then. */
  at: number;
  /** The capacity of the cell by that report. */
  capacity: cellCapacity.CellCapacity;
  slots: number;
  /** Requests sent under the lease and not complete yet. */
  spent: number;
  /** Requests that all other routers are expected to send to one runner for each that this router sends to the cell. */
  othersPerSend: number;
}

function keyOf(runner: runnerEndpoint.RunnerEndpoint): string {
  return `${runner.region}|${runner.instance.service}`;
}

/** Reports and leases of all cells; owned by `Admission`. */
export class CellLeases {
  private readonly loads = new Map<string, ReportedLoad>();
  private readonly leases = new Map<string, Lease>();

  constructor(private readonly clock: types.Clock) {}

  private isFresh(item: { at: number }): boolean {
    return this.clock.now() - item.at <= STALE_MS;
  }

  private leaseFor(runner: runnerEndpoint.RunnerEndpoint): Lease | undefined {
    const lease = this.leases.get(keyOf(runner));
    return lease && this.isFresh(lease) ? lease : undefined;
  }

  /** Drops the reports of runners that are not listed, and expired leases. */
  retainOnly(listed: { has(id: string): boolean }): void {
    for (const id of this.loads.keys()) if (!listed.has(id)) this.loads.delete(id);
    for (const [key, lease] of this.leases) if (!this.isFresh(lease)) this.leases.delete(key);
  }

  /** Applies a report and renews the leases of its region; called after the fleet has applied the same report. */
  applyReport(report: schema.CellReport, runners: Iterable<runnerEndpoint.RunnerEndpoint>, routerCount: number): void {
    const at = this.clock.now();
    for (const item of report.reports) {
      if (item.isSpeaking)
        this.loads.set(item.id, { at, waiting: item.waiting, kvUsed: item.kvUsed, kvCapacity: item.kvCapacity, sentTokens: 0 });
    }
    const cells = new Map<string, runnerEndpoint.RunnerEndpoint[]>();
    for (const runner of runners) {
      if (runner.region !== report.region || !this.loads.has(runner.id)) continue;
      const key = keyOf(runner);
      const cell = cells.get(key) ?? [];
      cell.push(runner);
      cells.set(key, cell);
    }
    for (const [key, cell] of cells) this.leases.set(key, this.makeLease(cell, routerCount));
  }

  private makeLease(cell: readonly runnerEndpoint.RunnerEndpoint[], routerCount: number): Lease {
    let own = 0;
    let all = 0;
    for (const runner of cell) {
      own += runner.inflight;
      all += runner.requestCount();
    }
    const capacity = cellCapacity.sumCapacity(cell.map((runner) => this.reportedSlotUsage(0, runner)));
    const fraction = cellCapacity.routerFraction(own, all, routerCount);
    return {
      at: this.clock.now(),
      capacity,
      slots: cellCapacity.leasedSlots(capacity, fraction),
      spent: 0,
      othersPerSend: (1 / fraction - 1) / cell.length,
    };
  }

  /**
   * The runner's slots, with the requests that the other routers are expected to have sent there since the report,
   * extrapolated from this router's own.
   */
  slotUsageOf(backlogMs: number, runner: runnerEndpoint.RunnerEndpoint): cellCapacity.SlotUsage {
    const usage = this.reportedSlotUsage(backlogMs, runner);
    const lease = this.leaseFor(runner);
    if (lease) usage.used += Math.min(usage.capacity, lease.spent * lease.othersPerSend);
    return usage;
  }

  /** The runner's slots by its last report and this router's own requests. A stale report counts as none. */
  reportedSlotUsage(backlogMs: number, runner: runnerEndpoint.RunnerEndpoint): cellCapacity.SlotUsage {
    const known = this.loads.get(runner.id);
    const fresh = known && this.isFresh(known) ? known : undefined;
    return {
      capacity: runner.instance.capacity,
      // A stale report no longer says what other routers have in flight there.
      used: known && !fresh ? runner.inflight : runner.requestCount(),
      waiting: fresh?.waiting ?? 0,
      kvUsed: (fresh?.kvUsed ?? 0) + (fresh?.sentTokens ?? 0),
      kvCapacity: fresh?.kvCapacity ?? 0,
      backlogMs,
    };
  }

  /** The capacity of these runners now. A runner that rejected a request a moment ago counts as full. */
  capacityNow(runners: readonly runnerEndpoint.RunnerEndpoint[], now: number): cellCapacity.CellCapacity {
    const usages: cellCapacity.SlotUsage[] = [];
    for (const runner of runners) {
      const usage = this.reportedSlotUsage(0, runner);
      if (runner.fullUntil > now) usage.used = Math.max(usage.used, usage.capacity);
      usages.push(usage);
    }
    return cellCapacity.sumCapacity(usages);
  }

  /** Whether the lease of the runner's cell has a slot left. A cell without reports is not limited by a lease. */
  hasLeasedSlot(runner: runnerEndpoint.RunnerEndpoint): boolean {
    const lease = this.leaseFor(runner);
    return lease === undefined || lease.spent < lease.slots;
  }

  /** A request with this demand of tokens is sent to the runner. */
  spend(runner: runnerEndpoint.RunnerEndpoint, tokens: number): void {
    const lease = this.leaseFor(runner);
    if (lease) lease.spent += 1;
    const load = this.loads.get(runner.id);
    if (load) load.sentTokens += tokens;
  }

  /** An attempt at the runner has ended, whatever its outcome. */
  release(runner: runnerEndpoint.RunnerEndpoint): void {
    const lease = this.leaseFor(runner);
    if (lease) lease.spent = Math.max(0, lease.spent - 1);
  }

  /** The part `cells` of the admission's `status`. */
  status(): unknown {
    const rows: unknown[] = [];
    for (const [key, lease] of this.leases) {
      const [region, service] = key.split("|");
      rows.push({ region, service, room: lease.capacity, leased: lease.slots, spent: lease.spent });
    }
    return rows;
  }
}
