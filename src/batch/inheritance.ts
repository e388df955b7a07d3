/**
 * Attempts that were under way when a term began (design/batch 7). Each counts as at work until it must have ended; a
 * result that was recorded counts, whoever recorded it. Without one, the item is sent again only if it may run twice.
 */
import type * as schema from "../wire/batch-schema.js";
import type * as types from "../wire/types.js";
import * as items from "./items.js";
import type * as replicas from "./replicas.js";
import type * as steps from "./steps.js";
import * as tables from "./table.js";

/** The former owner may have sent late, and its answer is recorded after it came. */
const MARGIN_MS = 5000;
const LOOK_EVERY_MS = 1000;

/** What is needed of the node around it. */
export interface Needs {
  readonly clock: types.Clock;
  readonly replicas: Pick<replicas.Replicas, "put" | "find">;
  longestMs(route: string): number;
}

interface Inherited extends steps.ItemRef {
  key: schema.RecordKey;
  overAt: number;
}

/** Settles what a term inherited, one look after the other. */
export class Inheritance {
  readonly term: number;
  private readonly open = new Map<string, Inherited>();
  private ends: steps.EndedAttempt[] = [];
  private lookedAt: types.SteadyMs;
  private isLooking = false;

  constructor(
    private readonly needs: Needs,
    table: schema.BatchTable,
  ) {
    this.term = table.term;
    this.lookedAt = needs.clock.now();
    for (const batch of tables.openBatches(table)) this.take(batch);
  }

  private take(batch: schema.Batch): void {
    const overAt = this.needs.clock.now() + this.needs.longestMs(batch.route) + MARGIN_MS;
    for (const index of items.indexesOf(batch.items, "sent")) {
      const { attempt } = items.itemAt(batch.items, index);
      const key = { digest: batch.digest, item: index, attempt };
      this.open.set(`${batch.number}/${index}`, { number: batch.number, index, attempt, key, overAt });
    }
  }

  /** The ends found since the last call. Called with each turn; looks for more meanwhile. */
  settled(): steps.EndedAttempt[] {
    const now = this.needs.clock.now();
    if (this.open.size > 0 && !this.isLooking && now - this.lookedAt >= LOOK_EVERY_MS) void this.look();
    const found = this.ends;
    this.ends = [];
    return found;
  }

  private async look(): Promise<void> {
    this.isLooking = true;
    for (const [name, item] of this.open) {
      const found = await this.needs.replicas.find(item.key);
      const isOver = this.needs.clock.now() >= item.overAt;
      if (found.kind === "found") await this.settleFound(name, item, found.body);
      else if (found.kind === "absent" && isOver) this.settle(name, item, "may_have_run");
    }
    this.lookedAt = this.needs.clock.now();
    this.isLooking = false;
  }

  /** The former owner may have ended in the middle of recording: it is recorded whole first. */
  private async settleFound(name: string, item: Inherited, body: Buffer): Promise<void> {
    if (await this.needs.replicas.put(item.key, body)) this.settle(name, item, "done");
  }

  private settle(name: string, { number, index, attempt }: Inherited, end: steps.AttemptEnd): void {
    this.open.delete(name);
    this.ends.push({ number, index, attempt, end });
  }
}
