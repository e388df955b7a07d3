/**
 * Which items are sent next, and to which region (design/batch 6): batches in the order of their numbers, items in
 * their own order, each where most room is. Pure but for the pauses of items that were turned away.
 */
import type * as schema from "../wire/batch-schema.js";
import type * as types from "../wire/types.js";
import * as items from "./items.js";
import type * as steps from "./steps.js";
import * as tables from "./table.js";
import * as trickle from "./trickle.js";

/** An attempt under way. */
export interface AtWork extends steps.ItemRef {
  service: string;
  region: string;
  sentAt: types.SteadyMs;
}

/** An item to be sent, where to. */
export interface Send extends steps.ItemRef {
  service: string;
  region: string;
}

/** What the list is made from. */
export interface Surroundings {
  /** The service of a route by the configuration in force; null: there is no such route any more. */
  serviceOf(route: string): string | null;
  /** The cells that a batch may run in now. */
  roomsOf(batch: schema.Batch, service: string): trickle.CellRoom[];
  /** Tokens of a prompt that are read for an item of the batch. */
  unreadOf(batch: schema.Batch): number;
}

/** Names an item among all batches. */
export function keyOf(ref: Pick<steps.ItemRef, "number" | "index">): string {
  return `${ref.number}/${ref.index}`;
}

function cellKey(service: string, region: string): string {
  return `${service}|${region}`;
}

/** Chooses sends; one for each owner. */
export class Worklist {
  /** Items that were turned away, and until when they are not sent. */
  private readonly pausedUntil = new Map<string, number>();
  private readonly readBudgets = new Map<string, trickle.ReadBudget>();

  constructor(
    private readonly clock: types.Clock,
    private readonly around: Surroundings,
  ) {}

  pause(ref: steps.ItemRef, ms: number): void {
    if (ms > 0) this.pausedUntil.set(keyOf(ref), this.clock.now() + ms);
  }

  /** The next sends, given what is at work. */
  next(table: schema.BatchTable, atWork: Iterable<AtWork>): Send[] {
    const now = this.clock.now();
    for (const [key, until] of this.pausedUntil) if (until <= now) this.pausedUntil.delete(key);
    const unreported = new Map<string, number>();
    let count = 0;
    for (const { service, region, sentAt } of atWork) {
      count += 1;
      if (now - sentAt <= trickle.UNREPORTED_MS) add(unreported, cellKey(service, region));
    }
    const most = Math.min(trickle.MAX_SENDS, trickle.MAX_AT_WORK - count);
    const round = { unreported, budgets: new Map<string, number>(), sends: [], most };
    for (const batch of tables.openBatches(table)) this.fill(batch, round);
    return round.sends;
  }

  private fill(batch: schema.Batch, round: Round): void {
    const service = this.around.serviceOf(batch.route);
    if (service === null || round.sends.length >= round.most) return;
    const cells = this.open(batch, service, round);
    const unread = this.around.unreadOf(batch);
    for (const index of items.indexesOf(batch.items, "waiting")) {
      if (round.sends.length >= round.most) return;
      if (this.pausedUntil.has(keyOf({ number: batch.number, index }))) continue;
      const region = this.takePlace(cells, unread, round);
      if (region === null) return;
      round.sends.push({ number: batch.number, index, attempt: items.itemAt(batch.items, index).attempt + 1, service, region });
    }
  }

  /** The cells that the batch may run in; those seen for the first time in this round get their budget. */
  private open(batch: schema.Batch, service: string, round: Round): Cell[] {
    const cells: Cell[] = [];
    for (const room of this.around.roomsOf(batch, service)) {
      const key = cellKey(service, room.region);
      cells.push({ key, region: room.region });
      if (round.budgets.has(key)) continue;
      round.budgets.set(key, trickle.mayStart(room, round.unreported.get(key) ?? 0));
      this.readBudgetOf(key).earn(this.clock.now(), room.readPerMs);
    }
    return cells;
  }

  private readBudgetOf(key: string): trickle.ReadBudget {
    let budget = this.readBudgets.get(key);
    if (!budget) {
      budget = new trickle.ReadBudget();
      this.readBudgets.set(key, budget);
    }
    return budget;
  }

  /** One place where most are left and the prompt may be read, by its region; null: there is none now. */
  private takePlace(cells: readonly Cell[], unread: number, { budgets }: Round): string | null {
    for (let best = roomiest(cells, budgets); best; best = roomiest(cells, budgets)) {
      if (this.readBudgetOf(best.key).spend(unread)) {
        budgets.set(best.key, budgets.get(best.key)! - 1);
        return best.region;
      }
      budgets.set(best.key, 0);
    }
    return null;
  }
}

interface Cell {
  key: string;
  region: string;
}

/** What is handed out in one call of `next`. */
interface Round {
  /** Sends that no report shows yet, by cell. */
  readonly unreported: ReadonlyMap<string, number>;
  /** Places left, by cell. */
  readonly budgets: Map<string, number>;
  readonly sends: Send[];
  readonly most: number;
}

function add(counts: Map<string, number>, key: string): void {
  counts.set(key, (counts.get(key) ?? 0) + 1);
}

/** The cell with the largest budget left; null: none has any. */
function roomiest(cells: readonly Cell[], budgets: ReadonlyMap<string, number>): Cell | null {
  let best: Cell | null = null;
  let most = 0;
  for (const cell of cells) {
    const left = budgets.get(cell.key) ?? 0;
    if (left > most) [best, most] = [cell, left];
  }
  return best;
}
