// What routers and owners of bounds say to each other, as avsc schemas (design/shares 4).
import * as avscTypes from "avsc/lib/types.js";
import * as schema from "./schema.js";
import * as types from "./types.js";

/** Further tries of a service. */
export const RETRY_BUDGET = 0;
/** Sends to a cold runner. */
export const SLOW_START = 1;
/** What is leased. */
export type Kind = typeof RETRY_BUDGET | typeof SLOW_START;

const needType = avscTypes.Type.forSchema({
  type: "record",
  name: "Need",
  fields: [
    { name: "kind", type: "int" },
    { name: "key", type: "string" },
    { name: "perS", type: "double" },
    { name: "wanted", type: "int" },
    { name: "isHot", type: "boolean" },
  ],
});
const doneType = avscTypes.Type.forSchema({
  type: "record",
  name: "Done",
  fields: [
    { name: "id", type: "long" },
    { name: "unused", type: "int" },
  ],
});
const grantType = avscTypes.Type.forSchema({
  type: "record",
  name: "Grant",
  fields: [
    { name: "id", type: "long" },
    { name: "kind", type: "int" },
    { name: "key", type: "string" },
    { name: "amount", type: "int" },
    { name: "lifeMs", type: "int" },
  ],
});

/** key: a service (tries) or a runner (cold), whose warmup_per_s is perS. isHot: wanted now, not for the case of need. */
export interface Need {
  kind: Kind;
  key: string;
  perS: number;
  wanted: number;
  isHot: boolean;
}
/** A lease that ended at the router, with what it did not use of it. */
export interface Done {
  id: number;
  unused: number;
}
/** lifeMs counts on the router's steady clock from when it sent its ask. */
export interface Grant {
  id: number;
  kind: Kind;
  key: string;
  amount: number;
  lifeMs: number;
}

/** router: the life of the asking process; life: the life of the owner whose leases ended. */
export interface LeaseRequest {
  router: string;
  life: string;
  needs: Need[];
  done: Done[];
}
/** Codec of LeaseAsk. */
export const leaseRequest = schema.record<LeaseRequest>("LeaseAsk", [
  { name: "router", type: "string" },
  { name: "life", type: "string" },
  { name: "needs", type: { type: "array", items: needType } },
  { name: "done", type: { type: "array", items: doneType } },
]);

/** What an owner grants. */
export interface LeaseReply {
  life: string;
  isGranting: boolean;
  grants: Grant[];
}
/** Codec of LeaseReply. */
export const leaseReply = schema.record<LeaseReply>("LeaseReply", [
  { name: "life", type: "string" },
  { name: "isGranting", type: "boolean" },
  { name: "grants", type: { type: "array", items: grantType } },
]);

/** What the asker holds to be chosen. */
export interface FenceRequest {
  voterEpoch: types.Epoch;
}
/** Codec of FenceAsk. */
export const fenceRequest = schema.record<FenceRequest>("FenceAsk", [{ name: "voterEpoch", type: "long" }]);

/** The newest voter epoch accepted on that disk, and for how long (ms) the asked one is known as chosen; -1: not. */
export interface FenceState {
  disk: string;
  voterEpoch: types.Epoch;
  knownMs: number;
}
/** With it the newest epoch accepted on that disk, and the newest one that is known there as chosen. */
export interface FenceReply extends FenceState {
  acceptedEpoch: types.Epoch;
  chosenEpoch: types.Epoch;
}
/** Codec of FenceReply. */
export const fenceReply = schema.record<FenceReply>("FenceReply", [
  { name: "disk", type: "string" },
  { name: "voterEpoch", type: "long" },
  { name: "knownMs", type: "double" },
  { name: "acceptedEpoch", type: "long" },
  { name: "chosenEpoch", type: "long" },
]);
