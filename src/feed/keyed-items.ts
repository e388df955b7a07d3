/** Keyed items of one topic with a digest that is updated at the cost of what changes (design/parts 2). */
import * as zlib from "node:zlib";
import * as schema from "../wire/schema.js";
import * as types from "../wire/types.js";
import * as itemHash from "./item-hash.js";

const MIN_COMPRESSED_BYTES = 2048;
const COMPRESSION_LEVEL = 4;

interface Item {
  body: Buffer;
  high: number;
  low: number;
}

/** New bodies by key; null removes the item. */
export type Changes = ReadonlyMap<string, Buffer | null>;

/** The effect of a set of changes; nothing is visible before `apply`. */
export interface ChangePlan {
  changed: Map<string, Buffer>;
  removed: string[];
  digest: types.Digest;
  items: Map<string, Item>;
  high: number;
  low: number;
}

function makeItem(key: string, body: Buffer): Item {
  const [high, low] = itemHash.hashItem(key, body);
  // A copy of its own: a body kept for long must not hold on to the large buffer it was cut from.
  const ownBody = Buffer.allocUnsafeSlow(body.length);
  body.copy(ownBody);
  return { body: ownBody, high, low };
}

function formatDigest(high: number, low: number): types.Digest {
  return types.small(high.toString(16).padStart(8, "0") + low.toString(16).padStart(8, "0"));
}

/** The digest of no items. */
export const EMPTY_DIGEST = formatDigest(0, 0);

/** Items by key, with their digest kept up to date. */
export class KeyedItems {
  private readonly items = new Map<string, Item>();
  private high = 0;
  private low = 0;
  digest: types.Digest = EMPTY_DIGEST;

  keys(): Iterable<string> {
    return this.items.keys();
  }

  body(key: string): Buffer | undefined {
    return this.items.get(key)?.body;
  }

  bodies(): Map<string, Buffer> {
    const bodies = new Map<string, Buffer>();
    for (const [key, item] of this.items) bodies.set(key, item.body);
    return bodies;
  }

  /** The sums of all items' hashes, each half modulo 2^32: order-free, and only changed items are hashed. */
  plan(changes: Changes): ChangePlan {
    const plan: ChangePlan = { changed: new Map(), removed: [], digest: this.digest, items: new Map(), high: this.high, low: this.low };
    for (const [key, body] of changes) {
      const before = this.items.get(key);
      if (body === null ? !before : before?.body.equals(body)) continue;
      if (before) {
        plan.high = (plan.high - before.high) >>> 0;
        plan.low = (plan.low - before.low) >>> 0;
      }
      if (body === null) {
        plan.removed.push(key);
        continue;
      }
      const item = makeItem(key, body);
      plan.high = (plan.high + item.high) >>> 0;
      plan.low = (plan.low + item.low) >>> 0;
      plan.items.set(key, item);
      plan.changed.set(key, body);
    }
    plan.digest = formatDigest(plan.high, plan.low);
    return plan;
  }

  /** As `plan`, for a snapshot: items that it does not contain are removed. */
  planSnapshot(snapshot: Changes): ChangePlan {
    const changes = new Map<string, Buffer | null>(snapshot);
    for (const key of this.items.keys()) if (!changes.has(key)) changes.set(key, null);
    return this.plan(changes);
  }

  apply(plan: ChangePlan): void {
    for (const key of plan.removed) this.items.delete(key);
    for (const [key, item] of plan.items) this.items.set(key, item);
    this.high = plan.high;
    this.low = plan.low;
    this.digest = plan.digest;
  }
}

/** Whether a plan changes nothing. */
export function isEmpty(plan: ChangePlan): boolean {
  return plan.changed.size === 0 && plan.removed.length === 0;
}

/** Items as they are sent: compressed where that is worth it. */
export function packChanges(changes: Changes): { isPacked: boolean; items: Buffer } {
  const items: schema.Item[] = [];
  for (const [key, body] of changes) items.push({ key, body });
  const plain = schema.items.toBuffer({ items });
  if (plain.length < MIN_COMPRESSED_BYTES) return { isPacked: false, items: plain };
  return { isPacked: true, items: zlib.deflateRawSync(plain, { level: COMPRESSION_LEVEL }) };
}

/** The changes of a message; null removes the item. */
export function unpackChanges(change: schema.Change): Map<string, Buffer | null> {
  const { items } = schema.items.fromBuffer(change.isPacked ? zlib.inflateRawSync(change.items) : change.items);
  const changes = new Map<string, Buffer | null>();
  for (const { key, body } of items) changes.set(key, body);
  return changes;
}

/** The changes of a plan, ready to be packed. */
export function changesOf(plan: ChangePlan): Map<string, Buffer | null> {
  const changes = new Map<string, Buffer | null>(plan.changed);
  for (const key of plan.removed) changes.set(key, null);
  return changes;
}
