// What the system's own processes say to each other, as avsc schemas (design 3.2).
import * as avscTypes from "avsc/lib/types.js"; // its types alone: containers and services would only slow a start
import * as avro from "./avro.js";
import type * as types from "./types.js";

export * from "./avro.js";
export * from "./feed-schema.js";
export * from "./register-schema.js";
export * from "./hint-schema.js";
export * from "./load-schema.js";

/** The release of the frames' layout. Add one with any change to a message or its code (design/edge 3.4). */
export const RELEASE = 2;

const nodeType = avscTypes.Type.forSchema({
  type: "record",
  name: "Node",
  fields: [
    { name: "name", type: "string" },
    { name: "role", type: "string" },
    { name: "life", type: "string" },
    { name: "zone", type: "string" },
    { name: "region", type: "string" },
    { name: "address", type: "string" },
    { name: "outside", type: "string" },
    { name: "disk", type: "string" },
    { name: "isCounted", type: "boolean" },
    { name: "isReady", type: "boolean" },
    { name: "epoch", type: "long" },
  ],
});
const instanceType = avscTypes.Type.forSchema({
  type: "record",
  name: "Instance",
  fields: [
    { name: "id", type: "string" },
    { name: "service", type: "string" },
    { name: "address", type: "string" },
    { name: "zone", type: "string" },
    { name: "capacity", type: "int" },
    { name: "isDraining", type: "boolean" },
    { name: "coldMs", type: "int" },
    { name: "leavesMs", type: "int" },
  ],
});
const reportType = avscTypes.Type.forSchema({
  type: "record",
  name: "Report",
  fields: [
    { name: "id", type: "string" },
    { name: "isSpeaking", type: "boolean" },
    { name: "waiting", type: "int" },
    { name: "active", type: "int" },
    { name: "kvUsed", type: "int" },
    { name: "kvCapacity", type: "int" },
  ],
});

/** A node as it tells of itself. */
export interface NodeInfo {
  name: string;
  role: string;
  life: string;
  zone: string;
  region: string;
  address: string;
  outside: string;
  disk: string;
  isCounted: boolean;
  isReady: boolean;
  epoch: types.Epoch;
}
/** An entry of the platform's list; times are milliseconds, -1: none. */
export interface Instance {
  id: types.RunnerId;
  service: string;
  address: string;
  zone: string;
  capacity: number;
  isDraining: boolean;
  coldMs: number;
  leavesMs: number;
}
/** A runner's report of itself. */
export interface Report {
  id: types.RunnerId;
  isSpeaking: boolean;
  waiting: number;
  active: number;
  kvUsed: number;
  kvCapacity: number;
}

/** Where a control node is reached, and where it stands. */
export interface ControlInfo {
  address: string;
  name: string;
  zone: string;
  region: string;
}
const controlType = avscTypes.Type.forSchema({
  type: "record",
  name: "Control",
  fields: [
    { name: "address", type: "string" },
    { name: "name", type: "string" },
    { name: "zone", type: "string" },
    { name: "region", type: "string" },
  ],
});
const controlsType = avscTypes.Type.forSchema({ type: "array", items: controlType });

/** Control nodes and where they stand. */
export interface Controls {
  controls: ControlInfo[];
}
/** Codec of Controls. */
export const controls = avro.record<Controls>("Controls", [{ name: "controls", type: controlsType }]);

/** The first message of a link. */
export interface Hello {
  node: NodeInfo;
}
/** Codec of Hello. */
export const hello = avro.record<Hello>("Hello", [{ name: "node", type: nodeType }]);

/** isConfirmed: as isSettled of a beat, told before the first one. */
export interface Known {
  node: NodeInfo;
  controls: ControlInfo[];
  place: string;
  isConfirmed: boolean;
}
/** Codec of Known. */
export const known = avro.record<Known>("Known", [
  { name: "node", type: nodeType },
  { name: "controls", type: controlsType },
  { name: "place", type: "string" },
  { name: "isConfirmed", type: "boolean" },
]);

/**
 * isReady: a router takes requests; a control node is not leaving. isSettled: a majority of the voters confirmed the
 * sender's configuration lately (design/hardening/1-cut-off). index: the sender's features, as bits (features.ts); the
 * name is that of a field which older builds send as 0. silentRegions: of these it hears no control node now
 * (design/members 4).
 */
export interface Heartbeat {
  isReady: boolean;
  epoch: types.Epoch;
  isSettled: boolean;
  index: number;
  members: number;
  silentRegions: string[];
}
/** Codec of Beat. */
export const heartbeat = avro.record<Heartbeat>("Beat", [
  { name: "isReady", type: "boolean" },
  { name: "epoch", type: "long" },
  { name: "isSettled", type: "boolean" },
  { name: "index", type: "int" },
  { name: "members", type: "int" },
  { name: "silentRegions", type: { type: "array", items: "string" } },
]);

/**
 * A control node's roster (itself, and the routers whose sessions it holds): what changed after number `from` of the
 * sender's life, or all of it when isWhole. count and digest are those of the whole roster at `number`.
 */
export interface RosterUpdate {
  life: string;
  isWhole: boolean;
  from: number;
  number: number;
  count: number;
  digest: number;
  nodes: NodeInfo[];
  gone: string[];
  leaving: string[];
  controls: ControlInfo[];
}
/** Codec of Sessions. */
export const sessions = avro.record<RosterUpdate>("Sessions", [
  { name: "life", type: "string" },
  { name: "isWhole", type: "boolean" },
  { name: "from", type: "long" },
  { name: "number", type: "long" },
  { name: "count", type: "int" },
  { name: "digest", type: "long" },
  { name: "nodes", type: { type: "array", items: nodeType } },
  { name: "gone", type: { type: "array", items: "string" } },
  { name: "leaving", type: { type: "array", items: "string" } },
  { name: "controls", type: controlsType },
]);

/** An item of the list: `times` moves on when the relative times count anew from this reading. */
export interface Listed {
  times: number;
  instance: Instance;
}
/** Codec of Listed. */
export const listed = avro.record<Listed>("Listed", [
  { name: "times", type: "int" },
  { name: "instance", type: instanceType },
]);

/** What a sibling holds of a list after it was told a change. */
export interface ListPosition {
  digest: types.Digest;
}
/** Codec of HeldList. */
export const listPosition = avro.record<ListPosition>("HeldList", [{ name: "digest", type: "string" }]);

/** Reports of one region. */
export interface CellReport {
  region: string;
  reports: Report[];
}
/** Codec of CellReport. */
export const cellReport = avro.record<CellReport>("CellReport", [
  { name: "region", type: "string" },
  { name: "reports", type: { type: "array", items: reportType } },
]);

/** A message without content. */
export interface Empty {
  _: boolean;
}
/** Codec of Empty. */
export const empty = avro.record<Empty>("Empty", [{ name: "_", type: "boolean", default: false }]);
