/**
 * The orders of operators that were taken (design 5.1, design/hardening/2-orders): a digest of each of the newest ones,
 * packed into a few bytes, so that an order sent again is acknowledged again and never refused.
 *
 * Each change builds on the revision that the one before it made, so that the orders taken form a chain of revisions,
 * each above the last. At most one order was ever taken on a base; it is found by its base and proved by its digest.
 *
 * Layout: the base of the oldest order remembered, then for each order how far it raised the revision, and its digest.
 * Numbers take seven bits a byte, lowest first. No bytes at all: no order was ever taken.
 */
import * as crypto from "node:crypto";

/** Orders remembered; a base below the oldest of them is unknown territory. */
export const MAX_ORDERS = 512;
/** Two orders on the same base are mistaken for one another once in 2^64. */
const DIGEST_BYTES = 8;
const VARINT_BITS = 128;

/** `forgotten`: the base is older than all that is remembered, so nothing can be said. */
export type Verdict = "taken" | "not_taken" | "forgotten";

interface Order {
  base: number;
  revision: number;
  digest: Buffer;
}

interface Cursor {
  bytes: Buffer;
  at: number;
}

function digestOf(mark: string): Buffer {
  return crypto.createHash("sha256").update(mark).digest().subarray(0, DIGEST_BYTES);
}

/** Whole numbers up to 2^53, as revisions are (config/check.ts). */
function encodeNumber(number: number): Buffer {
  const bytes: number[] = [];
  let rest = number;
  while (rest >= VARINT_BITS) {
    bytes.push((rest % VARINT_BITS) + VARINT_BITS);
    rest = Math.floor(rest / VARINT_BITS);
  }
  bytes.push(rest);
  return Buffer.from(bytes);
}

function readNumber(cursor: Cursor): number {
  let number = 0;
  let unit = 1;
  for (;;) {
    const byte = cursor.bytes.readUInt8(cursor.at);
    cursor.at += 1;
    number += (byte % VARINT_BITS) * unit;
    if (byte < VARINT_BITS) return number;
    unit *= VARINT_BITS;
  }
}

function decode(history: Buffer): Order[] {
  const orders: Order[] = [];
  if (history.length === 0) return orders;
  const cursor = { bytes: history, at: 0 };
  let base = readNumber(cursor);
  while (cursor.at < history.length) {
    const revision = base + readNumber(cursor);
    const digest = history.subarray(cursor.at, cursor.at + DIGEST_BYTES);
    cursor.at += DIGEST_BYTES;
    orders.push({ base, revision, digest });
    base = revision;
  }
  return orders;
}

function encode(orders: readonly Order[]): Buffer {
  const parts = [encodeNumber(orders[0].base)];
  for (const order of orders) parts.push(encodeNumber(order.revision - order.base), order.digest);
  return Buffer.concat(parts);
}

/** The history with one order more; beyond the bound the oldest one is forgotten. `base` is the revision so far. */
export function append(history: Buffer, base: number, revision: number, mark: string): Buffer {
  const orders = decode(history);
  orders.push({ base, revision, digest: digestOf(mark) });
  return encode(orders.slice(-MAX_ORDERS));
}

/** Whether the order with this mark was taken on this base; `current` is the revision that the history led to. */
export function lookUp(history: Buffer, current: number, base: number, mark: string): Verdict {
  if (base >= current) return "not_taken";
  const orders = decode(history);
  if (orders.length === 0 || base < orders[0].base) return "forgotten";
  for (const order of orders) {
    if (order.base === base) return order.digest.equals(digestOf(mark)) ? "taken" : "not_taken";
  }
  return "not_taken";
}
