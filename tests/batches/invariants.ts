/** What must hold of the batch table with every change, whoever made it (design/batch 4). */
import * as items from "../../src/batch/items.js";
import * as tables from "../../src/batch/table.js";
import type * as schema from "../../src/wire/batch-schema.js";

export class Invariants {
  /** The attempt whose answer counted first, by item. */
  private readonly answered = new Map<string, number>();

  /** What the change broke; null: nothing. */
  broken(before: schema.BatchTable, after: schema.BatchTable, records: ReadonlyMap<string, Buffer>): string | null {
    const numbers = after.batches.map((batch) => batch.number);
    if (numbers.some((number, at) => at > 0 && number <= numbers[at - 1])) return "a batch lost its place";
    for (const batch of after.batches) {
      for (let index = 0; index < items.countOf(batch.items); index += 1) {
        const broken = this.brokenItem(batch, index, tables.findNumber(before, batch.number), records);
        if (broken) return `${batch.key}/${index}: ${broken}`;
      }
    }
    return null;
  }

  private brokenItem(
    batch: schema.Batch,
    index: number,
    old: schema.Batch | undefined,
    records: ReadonlyMap<string, Buffer>,
  ): string | null {
    const { state, attempt } = items.itemAt(batch.items, index);
    if (old && items.itemAt(old.items, index).state === "done" && state !== "done") return "an answer was taken back";
    if (state !== "done") return null;
    const name = `${batch.key}/${index}`;
    const first = this.answered.get(name) ?? attempt;
    this.answered.set(name, first);
    if (first !== attempt) return "answered twice";
    return records.has(`${batch.digest}/${index}/${attempt}`) ? null : "answered without a record";
  }
}
