// What routers tell each other of runners: long readings and silences (design/usage 2).
import * as avscTypes from "avsc/lib/types.js"; // its types alone: containers and services would only slow a start
import * as avro from "./avro.js";

/** A prompt sent to be read: the runner's mark, its unread tokens, the chained keys of the unread parts. */
export interface PrefillHint {
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
export interface Hints {
  isRelayed: boolean;
  silent: number[];
  readings: PrefillHint[];
}
/** Codec of Signs. */
export const hints = avro.record<Hints>("Signs", [
  { name: "isRelayed", type: "boolean" },
  { name: "silent", type: { type: "array", items: "int" } },
  { name: "readings", type: { type: "array", items: readingSignType } },
]);
