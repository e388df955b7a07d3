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

/** A disk that votes, and where it is. */
export interface Voter {
  disk: string;
  node: string;
  address: string;
}
/** The one value; see design 5.1. */
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
/** Orders rounds; unique by the life that proposes. */
export interface Ballot {
  n: number;
  by: string;
}
/** What a voter accepted last. */
export interface Accepted {
  ballot: Ballot;
  value: Value;
}
/** Asks for a promise. */
export interface Prepare {
  disk: string;
  ballot: Ballot;
}
/** Codec of Prepare. */
export const prepare = avro.record<Prepare>("Prepare", [
  { name: "disk", type: "string" },
  { name: "ballot", type: ballotType },
]);

/** Asks to accept a value. */
export interface Accept {
  disk: string;
  ballot: Ballot;
  /** The proposer knows that the voters of the value were chosen together with the former ones. */
  isSetChosen: boolean;
  value: Value;
}
/** Codec of Accept. */
export const accept = avro.record<Accept>("Accept", [
  { name: "disk", type: "string" },
  { name: "ballot", type: ballotType },
  { name: "isSetChosen", type: "boolean" },
  { name: "value", type: valueType },
]);

/** A voter's reply; `accepted` is null where it holds none, or was asked to accept. */
export interface Vote {
  isGranted: boolean;
  disk: string;
  ballot: Ballot;
  accepted: Accepted | null;
}
/** Codec of Vote. */
export const vote = avro.record<Vote>("Vote", [
  { name: "isGranted", type: "boolean" },
  { name: "disk", type: "string" },
  { name: "ballot", type: ballotType },
  { name: "accepted", type: ["null", acceptedType] },
]);

/** The newest epoch that the asker knows. */
export interface Ask {
  epoch: types.Epoch;
}
/** Codec of Ask. */
export const ask = avro.record<Ask>("Ask", [{ name: "epoch", type: "long" }]);

/** Null: nothing newer is known. */
export interface Chosen {
  value: Value | null;
}
/** Codec of Chosen. */
export const chosen = avro.record<Chosen>("Chosen", [{ name: "value", type: ["null", valueType] }]);

/** The record of one voter. */
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
