// The keyed feed's messages: what a follower asks for, items, changes and notices (design/parts 1).
import * as avscTypes from "avsc/lib/types.js"; // its types alone: containers and services would only slow a start
import * as avro from "./avro.js";
import type * as types from "./types.js";

/** mode: items, notices, once or none (design/parts 1.3). */
export interface TopicSubscription {
  topic: string;
  mode: string;
  from: number;
  digest: types.Digest;
}
/** Topics that a follower wants. */
export interface Subscribe {
  place: string;
  topics: TopicSubscription[];
}
/** Codec of Follow. */
export const subscribe = avro.record<Subscribe>("Follow", [
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

/** One item of a topic. */
export interface Item {
  key: string;
  body: Buffer | null;
}
/** Items packed into a frame. */
export interface Items {
  items: Item[];
}
/** Codec of Items. */
export const items = avro.record<Items>("Items", [
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
/** Codec of Change. */
export const change = avro.record<Change>("Change", [
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

/** A topic has moved on; its items are not sent. */
export interface Notice {
  place: string;
  topic: string;
  number: number;
  stamp: types.Stamp;
  digest: types.Digest;
}
/** Codec of Notice. */
export const notice = avro.record<Notice>("Notice", [
  { name: "place", type: "string" },
  { name: "topic", type: "string" },
  { name: "number", type: "long" },
  { name: "stamp", type: "double" },
  { name: "digest", type: "string" },
]);
