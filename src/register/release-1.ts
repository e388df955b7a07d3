/**
 * The voter's record as release 1 stored it, and its conversion. Nothing is lost: disk identity, prepared ballot, accepted
 * value, and the history of orders, whose ids are computed as they were.
 *
 * The schemas repeat those of wire/register-schema.ts on purpose: this layout is fixed for ever, that one may change with a
 * release, and a shared piece would change the files that this module can read.
 */
import * as avscTypes from "avsc/lib/types.js"; // its types alone: containers and services would only slow a start
import * as avro from "../wire/avro.js";
import type * as schema from "../wire/schema.js";
import * as orderHistory from "./order-history.js";

/** Orders in a history of release 1; a shorter list contains all orders since the first. */
const MAX_ORDERS = 32;

interface Taken {
  revision: number;
  digest: string;
}
interface Value extends Omit<schema.Value, "taken"> {
  taken: Taken[];
}
interface Disk {
  disk: string;
  promised: schema.Ballot;
  accepted: { ballot: schema.Ballot; value: Value } | null;
}

const voterType = avscTypes.Type.forSchema({
  type: "record",
  name: "Voter",
  fields: [
    { name: "disk", type: "string" },
    { name: "node", type: "string" },
    { name: "address", type: "string" },
  ],
});
const takenType = avscTypes.Type.forSchema({
  type: "record",
  name: "Taken",
  fields: [
    { name: "revision", type: "double" },
    { name: "digest", type: "string" },
  ],
});
const valueType = avscTypes.Type.forSchema({
  type: "record",
  name: "Value",
  fields: [
    { name: "epoch", type: "long" },
    { name: "revision", type: "double" },
    { name: "config", type: "bytes" },
    { name: "taken", type: { type: "array", items: takenType } },
    { name: "evacuations", type: { type: "array", items: "string" } },
    { name: "voterEpoch", type: "long" },
    { name: "voters", type: { type: "array", items: voterType } },
    { name: "former", type: { type: "array", items: voterType } },
  ],
});
const ballotType = avscTypes.Type.forSchema({
  type: "record",
  name: "Ballot",
  fields: [
    { name: "n", type: "long" },
    { name: "by", type: "string" },
  ],
});
const acceptedType = avscTypes.Type.forSchema({
  type: "record",
  name: "Accepted",
  fields: [
    { name: "ballot", type: ballotType },
    { name: "value", type: valueType },
  ],
});
const disk = avro.record<Disk>("Disk", [
  { name: "disk", type: "string" },
  { name: "promised", type: ballotType },
  { name: "accepted", type: ["null", acceptedType] },
]);

/** The record in the layout of this release; throws for bytes that are not a record of release 1. */
export function convert(body: Buffer): schema.Disk {
  const old = disk.fromBuffer(body);
  const { accepted } = old;
  if (!accepted) return { ...old, accepted: null };
  const value = { ...accepted.value, taken: historyOf(accepted.value.taken) };
  return { ...old, accepted: { ballot: accepted.ballot, value } };
}

/** Each order built on the revision that the one before it made; the base of the oldest is known only if none was dropped. */
function historyOf(taken: readonly Taken[]): Buffer {
  let history = Buffer.alloc(0);
  const hasAll = taken.length < MAX_ORDERS;
  for (const [index, order] of taken.entries()) {
    if (index === 0 && !hasAll) continue;
    const base = index === 0 ? 0 : taken[index - 1].revision;
    history = Buffer.from(orderHistory.append(history, base, order.revision, order.digest));
  }
  return history;
}
