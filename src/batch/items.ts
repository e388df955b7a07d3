/**
 * The packed states of a batch's items (design/batch 4): four bytes an item, which are its state, how many of its
 * tries failed, and how often it was sent. All functions are pure; a change makes new bytes.
 */

/**
 * `waiting`: not at work; what was sent before is proven not to have run, or may run again. `sent`: at work, or its end
 * is not known. `done`: its result is recorded. `unclear`: it may have run, and must not run twice. `failed`: refused
 * for good. `cancelled`: never answered.
 */
export type ItemState = "waiting" | "sent" | "done" | "unclear" | "failed" | "cancelled";

const STATES: readonly ItemState[] = ["waiting", "sent", "done", "unclear", "failed", "cancelled"];
const BYTES_PER_ITEM = 4;
const STATE_AT = 0;
const FAILURES_AT = 1;
const ATTEMPT_AT = 2;
const MAX_BYTE = 255;
/** An item that was sent so often, and never ran, is given up. */
export const MAX_ATTEMPTS = 60_000;

/** One item, unpacked. */
export interface Item {
  readonly state: ItemState;
  /** Of its newest send; 0: it was never sent. */
  readonly attempt: number;
  readonly failures: number;
}

/** The bytes of so many waiting items. */
export function allWaiting(count: number): Buffer {
  return Buffer.alloc(count * BYTES_PER_ITEM);
}

/** How many items the bytes hold. */
export function countOf(packed: Buffer): number {
  return packed.length / BYTES_PER_ITEM;
}

/** Throws for an index that is not there: that is an error of the caller. */
export function itemAt(packed: Buffer, index: number): Item {
  const at = index * BYTES_PER_ITEM;
  return {
    state: STATES[packed.readUInt8(at + STATE_AT)],
    attempt: packed.readUInt16BE(at + ATTEMPT_AT),
    failures: packed.readUInt8(at + FAILURES_AT),
  };
}

/** New bytes with one item changed. */
export function withItem(packed: Buffer, index: number, item: Item): Buffer {
  const made = Buffer.from(packed);
  const at = index * BYTES_PER_ITEM;
  made.writeUInt8(STATES.indexOf(item.state), at + STATE_AT);
  made.writeUInt8(Math.min(MAX_BYTE, item.failures), at + FAILURES_AT);
  made.writeUInt16BE(item.attempt, at + ATTEMPT_AT);
  return made;
}

/** How many items are in each state. */
export function tally(packed: Buffer): Map<ItemState, number> {
  const counts = new Map<ItemState, number>();
  for (let at = 0; at < packed.length; at += BYTES_PER_ITEM) {
    const state = STATES[packed[at + STATE_AT]];
    counts.set(state, (counts.get(state) ?? 0) + 1);
  }
  return counts;
}

/** The indexes of the items in a state, in their order. */
export function* indexesOf(packed: Buffer, state: ItemState): Generator<number> {
  const code = STATES.indexOf(state);
  for (let index = 0; index < countOf(packed); index += 1) if (packed[index * BYTES_PER_ITEM + STATE_AT] === code) yield index;
}

/** Whether any item may still be sent, or is at work. */
export function isOpen(packed: Buffer): boolean {
  const counts = tally(packed);
  return (counts.get("waiting") ?? 0) + (counts.get("sent") ?? 0) > 0;
}
