// What control nodes say to each other of tallies, and keep of them on disk, as avsc schemas (design/tallies 4, 5).
import * as avscTypes from "avsc/lib/types.js";
import * as avro from "./avro.js";

const addType = avscTypes.Type.forSchema({
  type: "record",
  name: "TallyAdd",
  fields: [
    { name: "tally", type: "string" },
    { name: "id", type: "string" },
    { name: "amount", type: "long" },
    { name: "era", type: "long" },
  ],
});
const positionType = avscTypes.Type.forSchema({
  type: "record",
  name: "StreamPosition",
  fields: [
    { name: "stream", type: "string" },
    { name: "position", type: "long" },
  ],
});
const recordType = avscTypes.Type.forSchema({
  type: "record",
  name: "TallyRecord",
  fields: [
    { name: "kind", type: "int" },
    { name: "stream", type: "string" },
    { name: "position", type: "long" },
    { name: "tally", type: "string" },
    { name: "id", type: "string" },
    { name: "amount", type: "long" },
    { name: "era", type: "long" },
  ],
});

/** One accepted add: `id` names it, so that it counts once; `era`: of the node that accepted it (design/tallies 6). */
export interface TallyAdd {
  tally: string;
  id: string;
  amount: number;
  era: number;
}

/** How much of a stream a node holds: the adds 1 to `position`. */
export interface StreamPosition {
  stream: string;
  position: number;
}

/** A node's word on what it holds on disk, to another control node, each 300 ms. */
export interface CounterHeartbeat {
  /** The node's internal address, and whether its loss is counted. */
  address: string;
  isCounted: boolean;
  /** Identity of its disk. */
  store: string;
  /** Whether it holds what the system held before its disk was made. */
  isWhole: boolean;
  era: number;
  /** Whether `held` names all streams; else those that changed since the last beat on this link. */
  isFull: boolean;
  held: StreamPosition[];
}
/** Codec of TallyBeat. */
export const counterHeartbeat = avro.record<CounterHeartbeat>("TallyBeat", [
  { name: "address", type: "string" },
  { name: "isCounted", type: "boolean" },
  { name: "store", type: "string" },
  { name: "isWhole", type: "boolean" },
  { name: "era", type: "long" },
  { name: "isFull", type: "boolean" },
  { name: "held", type: { type: "array", items: positionType } },
]);

/** `isKnown`: false where all streams must be told; `isBehind`: the teller lacks adds that only a snapshot has. */
export interface CounterHeartbeatReply {
  isKnown: boolean;
  isBehind: boolean;
}
/** Codec of TallyHeard. */
export const counterHeartbeatReply = avro.record<CounterHeartbeatReply>("TallyHeard", [
  { name: "isKnown", type: "boolean" },
  { name: "isBehind", type: "boolean" },
]);

/** Adds of a stream; `from`: position of the first. */
export interface TallyPush {
  stream: string;
  from: number;
  adds: TallyAdd[];
}
/** Codec of TallyPush. */
export const tallyPush = avro.record<TallyPush>("TallyPush", [
  { name: "stream", type: "string" },
  { name: "from", type: "long" },
  { name: "adds", type: { type: "array", items: addType } },
]);

/** Told once the pushed adds are durable: how much of the stream the disk holds. */
export interface CounterPushReply {
  store: string;
  position: number;
}
/** Codec of TallyKept. */
export const counterPushReply = avro.record<CounterPushReply>("TallyKept", [
  { name: "store", type: "string" },
  { name: "position", type: "long" },
]);

/** Asks for a part of a snapshot; the first ask of one has part 0 and no token. */
export interface CounterSnapshotRequest {
  token: string;
  part: number;
}
/** Codec of TallySnapshotAsk. */
export const counterSnapshotRequest = avro.record<CounterSnapshotRequest>("TallySnapshotAsk", [
  { name: "token", type: "string" },
  { name: "part", type: "int" },
]);

/** One record of a log or a snapshot; `kind` says which fields count (tallies/records.ts). */
export interface TallyRecord {
  kind: number;
  stream: string;
  position: number;
  tally: string;
  id: string;
  amount: number;
  era: number;
}

/** A part of a snapshot; no token: it is not to be had any more. */
export interface TallySnapshotPart {
  token: string;
  isLast: boolean;
  records: TallyRecord[];
}
/** Codec of TallySnapshotPart. */
export const tallySnapshotPart = avro.record<TallySnapshotPart>("TallySnapshotPart", [
  { name: "token", type: "string" },
  { name: "isLast", type: "boolean" },
  { name: "records", type: { type: "array", items: recordType } },
]);

/** The body of one frame of the log: records that are durable together. */
export interface TallyFrame {
  /** Whether it ends the snapshot that the file begins with. */
  endsSnapshot: boolean;
  records: TallyRecord[];
}
/** Codec of TallyFrame. */
export const tallyFrame = avro.record<TallyFrame>("TallyFrame", [
  { name: "endsSnapshot", type: "boolean" },
  { name: "records", type: { type: "array", items: recordType } },
]);
