/**
 * Runner reports as room per cell and service, and what this router has spent of its part since the last report
 * (design/admission 4).
 *
 * Between two reports each router may spend only its lease of the free places, so that all routers together do not
 * fill the same places twice. Times are milliseconds of the steady clock.
 */
import type * as runnerEndpoint from "../runners/runner-endpoint.js";
import type * as schema from "../wire/schema.js";
import type * as types from "../wire/types.js";
import * as cellCapacity from "./cell-capacity.js";

/** What was reported longer ago says nothing any more (ours). */
const STALE_MS = 3000;

/** The last report of one runner, and what was sent there since. */
export interface ReportedLoad {
  /** When the report was taken. */
  at: number;
  waiting: number;
  /** Tokens held in the runner's memory; a capacity of 0 is unknown. */
  kvUsed: number;
  kvCapacity: number;
  /** Tokens that this router sent there since. */
  sentTokens: number;
}

/** The part of a cell's free places that this router may spend until the next report. */
interface Lease {
  at: number;
  room: cellCapacity.CellCapacity;
  places: number;
  spent: number;
  /** Sends of all other routers to one runner that are expected for each send from here. */
  othersPerSend: number;
}

function keyOf(runner: runnerEndpoint.RunnerEndpoint): string {
  return `${runner.region}|${runner.instance.service}`;
}

/** Load and leases of all cells; used by `Admission` alone. */
export class CellLeases {
  private readonly loads = new Map<string, ReportedLoad>();
  private readonly leases = new Map<string, Lease>();

  constructor(private readonly world: types.Clock) {}

  private isFresh(item: { at: number }): boolean {
    return this.world.now() - item.at <= STALE_MS;
  }

  private leaseFor(runner: runnerEndpoint.RunnerEndpoint): Lease | undefined {
    const lease = this.leases.get(keyOf(runner));
    return lease && this.isFresh(lease) ? lease : undefined;
  }

  /** Drops the loads of runners that are not listed, and leases that have expired. */
  retainOnly(listed: { has(id: string): boolean }): void {
    for (const id of this.loads.keys()) if (!listed.has(id)) this.loads.delete(id);
    for (const [key, lease] of this.leases) if (!this.isFresh(lease)) this.leases.delete(key);
  }

  /** Takes a report and renews the leases of its region; called after the fleet has taken the same report. */
  applyReport(report: schema.CellReport, runners: Iterable<runnerEndpoint.RunnerEndpoint>, routers: number): void {
    const at = this.world.now();
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
    for (const [key, cell] of cells) this.leases.set(key, this.leaseOf(cell, routers));
  }

  private leaseOf(cell: readonly runnerEndpoint.RunnerEndpoint[], routers: number): Lease {
    let own = 0;
    let all = 0;
    for (const runner of cell) {
      own += runner.inflight;
      all += runner.requestCount();
    }
    const room = cellCapacity.sumCapacity(cell.map(this.reportedSlotUsage.bind(this, 0)));
    const share = cellCapacity.routerFraction(own, all, routers);
    return {
      at: this.world.now(),
      room,
      places: cellCapacity.leasedSlots(room, share),
      spent: 0,
      othersPerSend: (1 / share - 1) / cell.length,
    };
  }

  /**
   * The runner's place with what the other routers are expected to have sent there since, going by this one's own
   * sends.
   */
  slotUsageOf(backlogMs: number, runner: runnerEndpoint.RunnerEndpoint): cellCapacity.SlotUsage {
    const place = this.reportedSlotUsage(backlogMs, runner);
    const lease = this.leaseFor(runner);
    if (lease) place.used += Math.min(place.capacity, lease.spent * lease.othersPerSend);
    return place;
  }

  /** The runner's place by its last report and this router's own requests. A stale report counts as none. */
  reportedSlotUsage(backlogMs: number, runner: runnerEndpoint.RunnerEndpoint): cellCapacity.SlotUsage {
    const known = this.loads.get(runner.id);
    const fresh = known && this.isFresh(known) ? known : undefined;
    return {
      // What others had there by a report that is stale is not known now.
      capacity: runner.instance.capacity,
      used: known && !fresh ? runner.inflight : runner.requestCount(),
      waiting: fresh?.waiting ?? 0,
      kvUsed: (fresh?.kvUsed ?? 0) + (fresh?.sentTokens ?? 0),
      kvCapacity: fresh?.kvCapacity ?? 0,
      backlogMs,
    };
  }

  /** A runner that handed a request back a moment ago is full whatever is known of it. */
  capacityNow(runners: readonly runnerEndpoint.RunnerEndpoint[], now: number): cellCapacity.CellCapacity {
    const places: cellCapacity.SlotUsage[] = [];
    for (const runner of runners) {
      const place = this.reportedSlotUsage(0, runner);
      if (runner.fullUntil > now) place.used = Math.max(place.used, place.capacity);
      places.push(place);
    }
    return cellCapacity.sumCapacity(places);
  }

  /** A cell that does not report has no lease, and no bound by one. */
  hasLease(runner: runnerEndpoint.RunnerEndpoint): boolean {
    const lease = this.leaseFor(runner);
    return lease === undefined || lease.spent < lease.places;
  }

  /** A request of so many tokens goes to this runner. */
  spend(runner: runnerEndpoint.RunnerEndpoint, tokens: number): void {
    const lease = this.leaseFor(runner);
    if (lease) lease.spent += 1;
    const load = this.loads.get(runner.id);
    if (load) load.sentTokens += tokens;
  }

  /** A request sent there is over, whatever became of it. */
  release(runner: runnerEndpoint.RunnerEndpoint): void {
    const lease = this.leaseFor(runner);
    if (lease) lease.spent = Math.max(0, lease.spent - 1);
  }

  /** The leases for `status`: region, service, room, places leased and spent. */
  status(): unknown {
    const made: unknown[] = [];
    for (const [key, lease] of this.leases) {
      const [region, service] = key.split("|");
      made.push({ region, service, room: lease.room, leased: lease.places, spent: lease.spent });
    }
    return made;
  }
}
