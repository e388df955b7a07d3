// The runners' reports as rooms of cells, and what this router spent of its parts since (design/admission 4).
import type * as fleets from "../router/fleet.js";
import type * as schema from "../wire/schema.js";
import * as rooms from "./room.js";

export interface Reported {
  waiting: number;
  kvUsed: number;
  kvCapacity: number;
  /** Tokens that this router sent there since. */
  sentTokens: number;
}

interface Lease {
  room: rooms.Room;
  places: number;
  spent: number;
  /** What the others send for each send from here, a runner. */
  othersPer: number;
}

function keyOf(runner: fleets.Runner): string {
  return `${runner.region}|${runner.instance.service}`;
}

export class Cells {
  private readonly reported = new Map<string, Reported>();
  private readonly leases = new Map<string, Lease>();

  of(runner: fleets.Runner): Reported | undefined {
    return this.reported.get(runner.id);
  }

  /** Taken after the fleet has taken the same report. */
  takeReport(report: schema.CellReport, runners: Iterable<fleets.Runner>, routers: number): void {
    for (const item of report.reports) {
      if (item.isSpeaking) this.reported.set(item.id, { waiting: item.waiting, kvUsed: item.kvUsed, kvCapacity: item.kvCapacity, sentTokens: 0 });
    }
    const cells = new Map<string, fleets.Runner[]>();
    const standing = new Set<string>();
    for (const runner of runners) {
      standing.add(runner.id);
      if (runner.region !== report.region || !this.reported.has(runner.id)) continue;
      const key = keyOf(runner);
      const cell = cells.get(key) ?? [];
      cell.push(runner);
      cells.set(key, cell);
    }
    for (const id of this.reported.keys()) if (!standing.has(id)) this.reported.delete(id);
    for (const [key, cell] of cells) this.leases.set(key, this.leaseOf(cell, routers));
  }

  private leaseOf(cell: readonly fleets.Runner[], routers: number): Lease {
    let own = 0;
    let all = 0;
    for (const runner of cell) {
      own += runner.inflight;
      all += runner.usage();
    }
    const room = rooms.roomOf(cell.map(this.reportedPlace.bind(this, 0)));
    const part = rooms.partOf(own, all, routers);
    return { room, places: rooms.leaseOf(room, part), spent: 0, othersPer: (1 / part - 1) / cell.length };
  }

  /** With what the other routers are expected to have sent there since, going by this one's own sends. */
  placeOf(backlogMs: number, runner: fleets.Runner): rooms.Place {
    const place = this.reportedPlace(backlogMs, runner);
    const lease = this.leases.get(keyOf(runner));
    if (lease) place.used += Math.min(place.capacity, lease.spent * lease.othersPer);
    return place;
  }

  reportedPlace(backlogMs: number, runner: fleets.Runner): rooms.Place {
    const told = this.reported.get(runner.id);
    return {
      capacity: runner.instance.capacity, used: runner.usage(), waiting: told?.waiting ?? 0,
      kvUsed: (told?.kvUsed ?? 0) + (told?.sentTokens ?? 0), kvCapacity: told?.kvCapacity ?? 0, backlogMs,
    };
  }

  /** A cell that does not report has no lease, and no bound by one. */
  hasLease(runner: fleets.Runner): boolean {
    const lease = this.leases.get(keyOf(runner));
    return lease === undefined || lease.spent < lease.places;
  }

  spend(runner: fleets.Runner, tokens: number): void {
    const lease = this.leases.get(keyOf(runner));
    if (lease) lease.spent += 1;
    const told = this.reported.get(runner.id);
    if (told) told.sentTokens += tokens;
  }

  giveBack(runner: fleets.Runner): void {
    const lease = this.leases.get(keyOf(runner));
    if (lease) lease.spent = Math.max(0, lease.spent - 1);
  }

  status(): unknown {
    const made: unknown[] = [];
    for (const [key, lease] of this.leases) {
      const [region, service] = key.split("|");
      made.push({ region, service, room: lease.room, leased: lease.places, spent: lease.spent });
    }
    return made;
  }
}
