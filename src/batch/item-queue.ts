/**
 * Which items are sent next, and to which region (design/batch 6): batches in the order of their numbers, items in
 * their own order, each to the cell with the most free slots. Its state is the retry times of refused items and the prefill budgets.
 */
import type * as schema from "../wire/batch-schema.js";
import type * as types from "../wire/types.js";
import * as items from "./items.js";
import type * as steps from "./steps.js";
import * as tables from "./table.js";
import * as pacing from "./pacing.js";

/** An attempt in flight. */
export interface InFlightAttempt extends steps.ItemRef {
  service: string;
  region: string;
  sentAt: types.SteadyMs;
}

/** An item to be sent, and its destination. */
export interface PlannedSend extends steps.ItemRef {
  service: string;
  region: string;
}

/** What the queue depends on. */
export interface QueueDependencies {
  /** The service of a route by the current configuration; null: the route was removed. */
  serviceOf(route: string): string | null;
  /** The cells that a batch may run in now. */
  capacitiesOf(batch: schema.Batch, service: string): pacing.CellCapacity[];
  /** Prompt tokens that an item of the batch prefills. */
  prefillTokensOf(batch: schema.Batch): number;
}

/** Identifies an item among all batches. */
export function itemKey(ref: Pick<steps.ItemRef, "number" | "index">): string {
  return `${ref.number}/${ref.index}`;
}

function cellKey(service: string, region: string): string {
  return `${service}|${region}`;
}

/** Chooses the next sends; one queue for each owner. */
export class ItemQueue {
  /** Earliest time of the next send, by item that was refused. */
  private readonly retryAt = new Map<string, number>();
  private readonly prefillBudgets = new Map<string, pacing.PrefillBudget>();

  constructor(
    private readonly clock: types.Clock,
    private readonly dependencies: QueueDependencies,
  ) {}

  /** The item is not sent again for `ms` milliseconds. */
  postpone(ref: steps.ItemRef, ms: number): void {
    if (ms > 0) this.retryAt.set(itemKey(ref), this.clock.now() + ms);
  }

  /** The next sends, given the attempts in flight. */
  nextSends(table: schema.BatchTable, inFlight: Iterable<InFlightAttempt>): PlannedSend[] {
    const now = this.clock.now();
    for (const [key, until] of this.retryAt) if (until <= now) this.retryAt.delete(key);
    const unreported = new Map<string, number>();
    let count = 0;
    for (const { service, region, sentAt } of inFlight) {
      count += 1;
      if (now - sentAt <= pacing.REPORT_DELAY_MS) increment(unreported, cellKey(service, region));
    }
    const maxSends = Math.min(pacing.MAX_SENDS, pacing.MAX_IN_FLIGHT - count);
    const round = { unreported, slotsLeft: new Map<string, number>(), sends: [], maxSends };
    for (const batch of tables.openBatches(table)) this.addSends(batch, round);
    return round.sends;
  }

  private addSends(batch: schema.Batch, round: Round): void {
    const service = this.dependencies.serviceOf(batch.route);
    if (service === null || round.sends.length >= round.maxSends) return;
    const cells = this.candidateCells(batch, service, round);
    const prefillTokens = this.dependencies.prefillTokensOf(batch);
    for (const index of items.indexesOf(batch.items, "waiting")) {
      if (round.sends.length >= round.maxSends) return;
      if (this.retryAt.has(itemKey({ number: batch.number, index }))) continue;
      const region = this.takeSlot(cells, prefillTokens, round);
      if (region === null) return;
      round.sends.push({ number: batch.number, index, attempt: items.itemAt(batch.items, index).attempt + 1, service, region });
    }
  }

  /** The cells that the batch may run in; those seen for the first time in this round get their slots and refill their prefill budget. */
  private candidateCells(batch: schema.Batch, service: string, round: Round): Cell[] {
    const cells: Cell[] = [];
    for (const capacity of this.dependencies.capacitiesOf(batch, service)) {
      const key = cellKey(service, capacity.region);
      cells.push({ key, region: capacity.region });
      if (round.slotsLeft.has(key)) continue;
      round.slotsLeft.set(key, pacing.startableItems(capacity, round.unreported.get(key) ?? 0));
      this.prefillBudgetOf(key).refill(this.clock.now(), capacity.prefillTokensPerMs);
    }
    return cells;
  }

  private prefillBudgetOf(key: string): pacing.PrefillBudget {
    let budget = this.prefillBudgets.get(key);
    if (!budget) {
      budget = new pacing.PrefillBudget();
      this.prefillBudgets.set(key, budget);
    }
    return budget;
  }

  /** Takes one slot of the cell with the most left whose prefill budget allows the prompt; its region, or null: none. */
  private takeSlot(cells: readonly Cell[], prefillTokens: number, { slotsLeft }: Round): string | null {
    for (let best = cellWithMostSlots(cells, slotsLeft); best; best = cellWithMostSlots(cells, slotsLeft)) {
      if (this.prefillBudgetOf(best.key).trySpend(prefillTokens)) {
        slotsLeft.set(best.key, slotsLeft.get(best.key)! - 1);
        return best.region;
      }
      slotsLeft.set(best.key, 0);
    }
    return null;
  }
}

interface Cell {
  key: string;
  region: string;
}

/** State of one call of `nextSends`. */
interface Round {
  /** Sends too recent for a report to show, by cell. */
  readonly unreported: ReadonlyMap<string, number>;
  /** Slots left, by cell. */
  readonly slotsLeft: Map<string, number>;
  readonly sends: PlannedSend[];
  readonly maxSends: number;
}

function increment(counts: Map<string, number>, key: string): void {
  counts.set(key, (counts.get(key) ?? 0) + 1);
}

/** The cell with the most slots left; null: none has any. */
function cellWithMostSlots(cells: readonly Cell[], slotsLeft: ReadonlyMap<string, number>): Cell | null {
  let best: Cell | null = null;
  let most = 0;
  for (const cell of cells) {
    const left = slotsLeft.get(cell.key) ?? 0;
    if (left > most) [best, most] = [cell, left];
  }
  return best;
}
