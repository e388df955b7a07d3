// What the system's own processes say to each other, as avsc schemas (design 3.2).
import type * as avsc from "avsc";
import type * as types from "./types.js";
import * as avscTypes from "avsc/lib/types.js"; // its types alone: containers and services would only slow a start

/** The release of the frames' layout. Add one with any change to a message or its code (design/edge 3.4). */
export const RELEASE = 1;

export function record<T>(name: string, fields: { name: string; type: unknown; default?: unknown }[]): Schema<T> {
  return avscTypes.Type.forSchema({ type: "record", name, fields } as avsc.Schema);
}

export interface Schema<T> {
  toBuffer(value: T): Buffer;
  fromBuffer(bytes: Buffer): T;
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

export interface Voter {
  disk: string;
  node: string;
  address: string;
}
export interface Taken {
  revision: number;
  digest: string;
}
export interface Value {
  epoch: types.Epoch;
  revision: number;
  config: Buffer;
  taken: Taken[];
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
export interface Report {
  id: types.RunnerId;
  isSpeaking: boolean;
  waiting: number;
  active: number;
  kvUsed: number;
  kvCapacity: number;
}

export const node = nodeType as unknown as Schema<NodeInfo>;

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

export interface Controls {
  controls: ControlInfo[];
}
export const controls = record<Controls>("Controls", [{ name: "controls", type: controlsType }]);

export interface Hello {
  node: NodeInfo;
}
export const hello = record<Hello>("Hello", [{ name: "node", type: nodeType }]);

export interface Known {
  node: NodeInfo;
  controls: ControlInfo[];
  place: string;
}
export const known = record<Known>("Known", [
  { name: "node", type: nodeType },
  { name: "controls", type: controlsType },
  { name: "place", type: "string" },
]);

/** silentRegions: of these the teller hears no control node now (design/members 4). */
export interface Beat {
  isReady: boolean;
  epoch: types.Epoch;
  isSettled: boolean;
  index: number;
  members: number;
  silentRegions: string[];
}
export const beat = record<Beat>("Beat", [
  { name: "isReady", type: "boolean" },
  { name: "epoch", type: "long" },
  { name: "isSettled", type: "boolean" },
  { name: "index", type: "int" },
  { name: "members", type: "int" },
  { name: "silentRegions", type: { type: "array", items: "string" } },
]);

/**
 * A control node's roster (itself, and the routers whose sessions it holds): what changed after number `from` of the
 * teller's life, or all of it when isWhole. count and digest are those of the whole roster at `number`.
 */
export interface Sessions {
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
export const sessions = record<Sessions>("Sessions", [
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

export interface Prepare {
  disk: string;
  ballot: Ballot;
  voterEpoch: types.Epoch;
}
export const prepare = record<Prepare>("Prepare", [
  { name: "disk", type: "string" },
  { name: "ballot", type: ballotType },
  { name: "voterEpoch", type: "long" },
]);

export interface Accept {
  disk: string;
  ballot: Ballot;
  voterEpoch: types.Epoch;
  value: Value;
}
export const accept = record<Accept>("Accept", [
  { name: "disk", type: "string" },
  { name: "ballot", type: ballotType },
  { name: "voterEpoch", type: "long" },
  { name: "value", type: valueType },
]);

export interface Vote {
  isGranted: boolean;
  disk: string;
  ballot: Ballot;
  accepted: Accepted | null;
}
export const vote = record<Vote>("Vote", [
  { name: "isGranted", type: "boolean" },
  { name: "disk", type: "string" },
  { name: "ballot", type: ballotType },
  { name: "accepted", type: ["null", acceptedType] },
]);

export interface Ask {
  epoch: types.Epoch;
}
export const ask = record<Ask>("Ask", [{ name: "epoch", type: "long" }]);

export interface Chosen {
  value: Value | null;
}
export const chosen = record<Chosen>("Chosen", [{ name: "value", type: ["null", valueType] }]);

/** mode: items, notices, once or none (design/parts 1.3). */
export interface Wanted {
  topic: string;
  mode: string;
  from: number;
  digest: types.Digest;
}
export interface Follow {
  place: string;
  topics: Wanted[];
}
export const follow = record<Follow>("Follow", [
  { name: "place", type: "string" },
  {
    name: "topics",
    type: {
      type: "array",
      items: avscTypes.Type.forSchema({
        type: "record",
        name: "Wanted",
        fields: [
          { name: "topic", type: "string" },
          { name: "mode", type: "string" },
          { name: "from", type: "long" },
          { name: "digest", type: "string" },
        ],
      }),
    },
  },
]);

export interface Item {
  key: string;
  body: Buffer | null;
}
export interface Items {
  items: Item[];
}
export const items = record<Items>("Items", [
  {
    name: "items",
    type: {
      type: "array",
      items: avscTypes.Type.forSchema({
        type: "record",
        name: "Item",
        fields: [
          { name: "key", type: "string" },
          { name: "body", type: ["null", "bytes"] },
        ],
      }),
    },
  },
]);

/** From the items with the digest `base` to those with `digest`; a view holds them all. items: `Items`, packed or not. */
export interface Change {
  place: string;
  topic: string;
  number: number;
  stamp: types.Stamp;
  base: types.Digest;
  digest: types.Digest;
  isView: boolean;
  isPacked: boolean;
  items: Buffer;
}
export const change = record<Change>("Change", [
  { name: "place", type: "string" },
  { name: "topic", type: "string" },
  { name: "number", type: "long" },
  { name: "stamp", type: "double" },
  { name: "base", type: "string" },
  { name: "digest", type: "string" },
  { name: "isView", type: "boolean" },
  { name: "isPacked", type: "boolean" },
  { name: "items", type: "bytes" },
]);

export interface Notice {
  place: string;
  topic: string;
  number: number;
  stamp: types.Stamp;
  digest: types.Digest;
}
export const notice = record<Notice>("Notice", [
  { name: "place", type: "string" },
  { name: "topic", type: "string" },
  { name: "number", type: "long" },
  { name: "stamp", type: "double" },
  { name: "digest", type: "string" },
]);

/** An item of the list: `times` moves on when the relative times count anew from this reading. */
export interface Listed {
  times: number;
  instance: Instance;
}
export const listed = record<Listed>("Listed", [
  { name: "times", type: "int" },
  { name: "instance", type: instanceType },
]);

/** What a sibling holds of a list after it was told a change. */
export interface HeldList {
  digest: types.Digest;
}
export const heldList = record<HeldList>("HeldList", [{ name: "digest", type: "string" }]);

export interface CellReport {
  region: string;
  reports: Report[];
}
export const cellReport = record<CellReport>("CellReport", [
  { name: "region", type: "string" },
  { name: "reports", type: { type: "array", items: reportType } },
]);

/** A runner's report in the topic of its cell; the key names the runner. kvStep: sixty-fourths of kvCapacity (design/usage 3.1). */
export interface Usage {
  isSpeaking: boolean;
  active: number;
  waiting: number;
  kvStep: number;
  kvCapacity: number;
}
export const usage = record<Usage>("Usage", [
  { name: "isSpeaking", type: "boolean" },
  { name: "active", type: "int" },
  { name: "waiting", type: "int" },
  { name: "kvStep", type: "int" },
  { name: "kvCapacity", type: "int" },
]);

/** One service in one region; usage and room in sixteenths of its capacity (design/usage 4.2). */
export interface Summary {
  isFresh: boolean;
  total: number;
  good: number;
  usage: number;
  room: number;
}
export const summary = record<Summary>("Summary", [
  { name: "isFresh", type: "boolean" },
  { name: "total", type: "int" },
  { name: "good", type: "int" },
  { name: "usage", type: "int" },
  { name: "room", type: "int" },
]);

/** A prompt sent to be read: the runner's mark, its unread tokens, the chained keys of the unread parts. */
export interface ReadingSign {
  runner: number;
  unread: number;
  keys: number[];
}
const readingSignType = avscTypes.Type.forSchema({
  type: "record",
  name: "ReadingSign",
  fields: [
    { name: "runner", type: "int" },
    { name: "unread", type: "int" },
    { name: "keys", type: { type: "array", items: "int" } },
  ],
});

/** What routers tell each other of runners: marks of silent ones, and readings. isRelayed ends its way (design/usage 2). */
export interface Signs {
  isRelayed: boolean;
  silent: number[];
  readings: ReadingSign[];
}
export const signs = record<Signs>("Signs", [
  { name: "isRelayed", type: "boolean" },
  { name: "silent", type: { type: "array", items: "int" } },
  { name: "readings", type: { type: "array", items: readingSignType } },
]);

export interface Disk {
  disk: string;
  promised: Ballot;
  accepted: Accepted | null;
}
export const disk = record<Disk>("Disk", [
  { name: "disk", type: "string" },
  { name: "promised", type: ballotType },
  { name: "accepted", type: ["null", acceptedType] },
]);

export interface Empty {
  _: boolean;
}
export const empty = record<Empty>("Empty", [{ name: "_", type: "boolean", default: false }]);
