/**
 * Batches on the wire and on disk (design/batch): the table that the batch register holds, its replicated records, the
 * loads that the forecast is learned from, and the pass by which a router knows batch items.
 */
import * as avscTypes from "avsc/lib/types.js"; // its types alone: containers and services would only slow a start
import * as avro from "./avro.js";

/** Times of a batch count on the batch clock, in milliseconds: the sum of all time that an owner has worked on batches. */
export interface Projection {
  /** The median of the wait until the first item begins, and of the time until the last one ends. */
  beginMs: number;
  endMs: number;
  /** The lower and upper bound of the end: nine of ten ends are to lie between them. */
  earlyEndMs: number;
  lateEndMs: number;
  /** The median end by the model alone, before it was corrected by the errors of earlier projections. */
  modelMs: number;
}

/** One batch as the table holds it; its place among the open ones is the order of their numbers. */
export interface Batch {
  number: number;
  /** Chosen by the operator: a submission with the same key is the same batch. */
  key: string;
  /** Of the whole submission; names its records, too. */
  digest: string;
  route: string;
  /** Whether an item may run more than once, by the route at the time of the submission. */
  isRepeatable: boolean;
  isCancelled: boolean;
  /** Packed states of the items (batch/items.ts). */
  items: Buffer;
  /** Batch clock: when it was taken, by when it is wanted (0: no matter), first and last work (0: not yet). */
  submittedMs: number;
  dueMs: number;
  startedMs: number;
  endedMs: number;
  /** Regions that it may run in; empty: all that the route allows. */
  homes: string[];
  /** Bytes set aside for its submission and its results. */
  reservedBytes: number;
  /** What was projected when it was taken, from that moment on; null: too little was known. */
  projected: Projection | null;
}

/** All that the batch register holds. */
export interface BatchTable {
  clockMs: number;
  nextNumber: number;
  /** Life of the control node that owns the batches; empty before the first. */
  owner: string;
  /** Grows with each change of owner; fences the former one. */
  term: number;
  batches: Batch[];
}

const projectionType = avscTypes.Type.forSchema({
  type: "record",
  name: "Projection",
  fields: [
    { name: "beginMs", type: "double" },
    { name: "endMs", type: "double" },
    { name: "earlyEndMs", type: "double" },
    { name: "lateEndMs", type: "double" },
    { name: "modelMs", type: "double" },
  ],
});
const batchType = avro.record<Batch>("Batch", [
  { name: "number", type: "long" },
  { name: "key", type: "string" },
  { name: "digest", type: "string" },
  { name: "route", type: "string" },
  { name: "isRepeatable", type: "boolean" },
  { name: "isCancelled", type: "boolean" },
  { name: "items", type: "bytes" },
  { name: "submittedMs", type: "double" },
  { name: "dueMs", type: "double" },
  { name: "startedMs", type: "double" },
  { name: "endedMs", type: "double" },
  { name: "homes", type: { type: "array", items: "string" } },
  { name: "reservedBytes", type: "long" },
  { name: "projected", type: ["null", projectionType] },
]);
/** Codec of BatchTable. */
export const batchTable = avro.record<BatchTable>("BatchTable", [
  { name: "clockMs", type: "double" },
  { name: "nextNumber", type: "long" },
  { name: "owner", type: "string" },
  { name: "term", type: "long" },
  { name: "batches", type: { type: "array", items: batchType } },
]);

/** The answer to one item as it is recorded. */
export interface ItemResult {
  status: number;
  contentType: string;
  seal: string;
  body: Buffer;
}
/** Codec of ItemResult. */
export const itemResult = avro.record<ItemResult>("ItemResult", [
  { name: "status", type: "int" },
  { name: "contentType", type: "string" },
  { name: "seal", type: "string" },
  { name: "body", type: "bytes" },
]);

/** A control node tells its siblings its disk in the batch register; empty: it has none there yet. */
export interface BatchNode {
  /** Of its links. */
  address: string;
  disk: string;
}
/** Codec of BatchNode. */
export const batchNode = avro.record<BatchNode>("BatchNode", [
  { name: "address", type: "string" },
  { name: "disk", type: "string" },
]);

/** Names one record: the submission of a batch (item -1), or the result of one attempt at one item. */
export interface RecordKey {
  digest: string;
  item: number;
  attempt: number;
}
const recordFields = [
  { name: "digest", type: "string" },
  { name: "item", type: "int" },
  { name: "attempt", type: "int" },
];
/** Codec of RecordKey. */
export const recordKey = avro.record<RecordKey>("RecordKey", recordFields);

/** A record to be kept. */
export interface RecordPut extends RecordKey {
  body: Buffer;
}
/** Codec of RecordPut. */
export const recordPut = avro.record<RecordPut>("RecordPut", [...recordFields, { name: "body", type: "bytes" }]);

/** disk: whose word this is; isKept: the record is there, durable, with the body that was sent. */
export interface RecordKept {
  disk: string;
  isKept: boolean;
}
/** Codec of RecordKept. */
export const recordKept = avro.record<RecordKept>("RecordKept", [
  { name: "disk", type: "string" },
  { name: "isKept", type: "boolean" },
]);

/** body: null where the disk does not hold the record. */
export interface RecordFound {
  disk: string;
  body: Buffer | null;
}
/** Codec of RecordFound. */
export const recordFound = avro.record<RecordFound>("RecordFound", [
  { name: "disk", type: "string" },
  { name: "body", type: ["null", "bytes"] },
]);

/** A control node tells a router by which pass it will know that node's batch items; empty: none will come. */
export interface BatchPass {
  pass: string;
}
/** Codec of BatchPass. */
export const batchPass = avro.record<BatchPass>("BatchPass", [{ name: "pass", type: "string" }]);

/** What a router counted of one route since its start, and what a request of it usually takes there. */
export interface RouteLoad {
  route: string;
  arrivals: number;
  /** Means: milliseconds that a place is held, tokens that are read anew. 0: not known. */
  heldMs: number;
  unread: number;
}
const routeLoadType = avscTypes.Type.forSchema({
  type: "record",
  name: "RouteLoad",
  fields: [
    { name: "route", type: "string" },
    { name: "arrivals", type: "long" },
    { name: "heldMs", type: "double" },
    { name: "unread", type: "double" },
  ],
});
/** readRate: tokens of prompts that a runner reads a millisecond. */
export interface RouterLoads {
  life: string;
  readRate: number;
  routes: RouteLoad[];
}
/** Codec of RouterLoads. */
export const routerLoads = avro.record<RouterLoads>("RouterLoads", [
  { name: "life", type: "string" },
  { name: "readRate", type: "double" },
  { name: "routes", type: { type: "array", items: routeLoadType } },
]);

/** Arrivals of a region over a span, as one control node gathered them from its own routers. */
export interface RegionLoad extends RouteLoad {
  region: string;
}
/** What one control node gathered. */
export interface LoadReport {
  spanMs: number;
  readRate: number;
  loads: RegionLoad[];
}
const regionLoadType = avscTypes.Type.forSchema({
  type: "record",
  name: "RegionLoad",
  fields: [
    { name: "region", type: "string" },
    { name: "route", type: "string" },
    { name: "arrivals", type: "long" },
    { name: "heldMs", type: "double" },
    { name: "unread", type: "double" },
  ],
});
/** Codec of LoadReport. */
export const loadReport = avro.record<LoadReport>("LoadReport", [
  { name: "spanMs", type: "double" },
  { name: "readRate", type: "double" },
  { name: "loads", type: { type: "array", items: regionLoadType } },
]);
