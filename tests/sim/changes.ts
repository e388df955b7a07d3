/** What a change of a topic holds. */
import * as keyed from "../../src/feed/keyed.js";
import type * as schema from "../../src/wire/schema.js";

export function keysOf(change: schema.Change): string[] {
  return [...keyed.unpack(change).keys()].sort();
}
