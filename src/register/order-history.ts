/**
 * The history of the operators' orders that were applied (design 5.1, design/hardening/2-orders): a digest of each of the
 * newest ones, encoded in a few bytes, so that a retried order is acknowledged again and never rejected (idempotence).
 *
 * Each order builds on the revision that the one before it made, so the applied orders form a chain of revisions, each
 * above the last. At most one order was ever applied on a base; it is found by its base and identified by its digest.
 *
 * Layout: the base of the oldest order in the history, then for each order the increase of the revision and the digest.
 * Numbers are varints, seven bits a byte, lowest first. No bytes at all: no order was ever applied.
 */
import * as crypto from "node:crypto";

/** Orders in a history; nothing is known about a base below the oldest of them. */
export const MAX_ORDERS = 512;
/** The chance that two orders on the same base have the same digest is 1 in 2^64. */
const DIGEST_BYTES = 8;
/** Values of the seven bits of a varint's byte; a byte from here on is followed by another one. */
const VARINT_BASE = 128;

/** Whether an order was applied; `forgotten`: its base is older than the history, so that is not known. */
export type OrderStatus = "taken" | "not_taken" | "forgotten";

interface Order {
  base: number;
  revision: number;
  digest: Buffer;
}

interface Cursor {
  bytes: Buffer;
  offset: number;
}

function digestOf(orderId: string): Buffer {
  return crypto.createHash("sha256").update(orderId).digest().subarray(0, DIGEST_BYTES);
}

/** Whole numbers up to 2^53, as revisions are (config/check.ts). */
function encodeNumber(number: number): Buffer {
  const bytes: number[] = [];
  let rest = number;
  while (rest >= VARINT_BASE) {
    bytes.push((rest % VARINT_BASE) + VARINT_BASE);
    rest = Math.floor(rest / VARINT_BASE);
  }
  bytes.push(rest);
  return Buffer.from(bytes);
}

function readNumber(cursor: Cursor): number {
  let number = 0;
  let unit = 1;
  for (;;) {
    const byte = cursor.bytes.readUInt8(cursor.offset);
    cursor.offset += 1;
    number += (byte % VARINT_BASE) * unit;
    if (byte < VARINT_BASE) return number;
    unit *= VARINT_BASE;
  }
}

function decode(history: Buffer): Order[] {
  const orders: Order[] = [];
  if (history.length === 0) return orders;
  const cursor = { bytes: history, offset: 0 };
  let base = readNumber(cursor);
  while (cursor.offset < history.length) {
    const revision = base + readNumber(cursor);
    const digest = history.subarray(cursor.offset, cursor.offset + DIGEST_BYTES);
    cursor.offset += DIGEST_BYTES;
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

/** The history with one more order; beyond MAX_ORDERS the oldest one is dropped. `base` is the revision before it. */
export function append(history: Buffer, base: number, revision: number, orderId: string): Buffer {
  const orders = decode(history);
  orders.push({ base, revision, digest: digestOf(orderId) });
  return encode(orders.slice(-MAX_ORDERS));
}

/** Whether the order with this id was applied on this base; `current` is the revision after the newest order. */
export function lookUp(history: Buffer, current: number, base: number, orderId: string): OrderStatus {
  if (base >= current) return "not_taken";
  const orders = decode(history);
  if (orders.length === 0 || base < orders[0].base) return "forgotten";
  for (const order of orders) {
    if (order.base === base) return order.digest.equals(digestOf(orderId)) ? "taken" : "not_taken";
  }
  return "not_taken";
}
