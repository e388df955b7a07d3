/**
 * The table of all batches as the batch register holds it (design/batch 3): packed into the value's `config`, with the
 * number of its changes as the value's revision. The register's own guarantees hold for it whole.
 */
import * as zlib from "node:zlib";
import * as registerValue from "../register/register-value.js";
import * as schema from "../wire/batch-schema.js";
import type * as registerSchema from "../wire/register-schema.js";
import * as types from "../wire/types.js";
import * as items from "./items.js";

/** The table before the first change. */
export const EMPTY: schema.BatchTable = { clockMs: 0, nextNumber: 1, owner: "", term: 0, batches: [] };

/** The table in a chosen value of the batch register. */
export function tableOf(value: registerSchema.Value): schema.BatchTable {
  return value.config.length === 0 ? EMPTY : schema.batchTable.fromBuffer(zlib.inflateRawSync(value.config));
}

/** The value with another table. */
export function withTable(value: registerSchema.Value, table: schema.BatchTable): registerSchema.Value {
  const config = registerValue.packText(schema.batchTable.toBuffer(table));
  return { ...value, epoch: types.nextEpoch(value.epoch), revision: value.revision + 1, config };
}

/** Whether the batch still has work to be done or ended. */
export function isOpen(batch: schema.Batch): boolean {
  return items.isOpen(batch.items);
}

/** The open batches in the order in which their items are sent. */
export function openBatches(table: schema.BatchTable): schema.Batch[] {
  return table.batches.filter(isOpen);
}

/** The batch with this number, if it is remembered. */
export function findNumber(table: schema.BatchTable, number: number): schema.Batch | undefined {
  return table.batches.find((batch) => batch.number === number);
}

/** The batch that was submitted under this key, if it is remembered. */
export function findKey(table: schema.BatchTable, key: string): schema.Batch | undefined {
  return table.batches.find((batch) => batch.key === key);
}

/** Its place among the open ones, 1 first; 0: it has ended. */
export function placeOf(table: schema.BatchTable, number: number): number {
  return openBatches(table).findIndex((batch) => batch.number === number) + 1;
}
