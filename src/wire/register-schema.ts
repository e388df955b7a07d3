// The register's records and messages: its value, ballots, votes, and what a voter keeps on disk (design 5).
import * as avscTypes from "avsc/lib/types.js"; // its types alone: containers and services would only slow a start
import * as avro from "./avro.js";
import type * as types from "./types.js";

const voterType = avscTypes.Type.forSchema({
  type: "record",
  name: "Voter",
  fields: [
    { name: "disk", type: "string" },
    { name: "node", type: "string" },
    { name: "address", type: "string" },
  ],
});
const valueType = avscTypes.Type.forSchema({
  type: "record",
  name: "Value",
  fields: [
    { name: "epoch", type: "long" },
    { name: "revision", type: "double" },
    { name: "config", type: "bytes" },
    { name: "taken", type: "bytes" },
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

export interface Voter {
  disk: string;
  node: string;
  address: string;
}
export interface Value {
  epoch: types.Epoch;
  revision: number;
  config: Buffer;
  /** The newest orders that were taken, packed (register/history.ts). */
  taken: Buffer;
  evacuations: string[];
  voterEpoch: types.Epoch;
  voters: Voter[];
  former: Voter[];
}
export interface Ballot {
  n: number;
  by: string;
}
export interface Accepted {
  ballot: Ballot;
  value: Value;
}
export interface Prepare {
  disk: string;
  ballot: Ballot;
}
export const prepare = avro.record<Prepare>("Prepare", [
  { name: "disk", type: "string" },
  { name: "ballot", type: ballotType },
]);

export interface Accept {
  disk: string;
  ballot: Ballot;
  /** The proposer knows that the voters of the value were chosen together with the former ones. */
  isSetChosen: boolean;
  value: Value;
}
export const accept = avro.record<Accept>("Accept", [
  { name: "disk", type: "string" },
  { name: "ballot", type: ballotType },
  { name: "isSetChosen", type: "boolean" },
  { name: "value", type: valueType },
]);

export interface Vote {
  isGranted: boolean;
  disk: string;
  ballot: Ballot;
  accepted: Accepted | null;
}
export const vote = avro.record<Vote>("Vote", [
  { name: "isGranted", type: "boolean" },
  { name: "disk", type: "string" },
  { name: "ballot", type: ballotType },
  { name: "accepted", type: ["null", acceptedType] },
]);

export interface Ask {
  epoch: types.Epoch;
}
export const ask = avro.record<Ask>("Ask", [{ name: "epoch", type: "long" }]);

export interface Chosen {
  value: Value | null;
}
export const chosen = avro.record<Chosen>("Chosen", [{ name: "value", type: ["null", valueType] }]);

export interface Disk {
  disk: string;
  promised: Ballot;
  accepted: Accepted | null;
}
/** What a voter keeps on disk. The store's files name this layout by its fingerprint, so that another release's is never misread. */
export const disk = avro.record<Disk>("Disk", [
  { name: "disk", type: "string" },
  { name: "promised", type: ballotType },
  { name: "accepted", type: ["null", acceptedType] },
]);
