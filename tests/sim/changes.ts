/** What a change of a topic holds. */
import * as keyedItems from "../../src/feed/keyed-items.js";
import type * as schema from "../../src/wire/schema.js";

export function keysOf(change: schema.Change): string[] {
  return [...keyedItems.unpackChanges(change).keys()].sort();
}
