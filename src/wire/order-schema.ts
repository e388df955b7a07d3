// An operator's order that one control node passes on to another, as avsc schemas (design/hardening/2-orders).
import * as avro from "./avro.js";

/** An order as its caller sent it. */
export interface ForwardedOrder {
  /** Path of the call, such as /-/Config.Replace. */
  path: string;
  /** The header with the version that the order builds on; empty where the caller sent none. */
  base: string;
  body: Buffer;
}
/** Codec of ForwardedOrder. */
export const forwardedOrder = avro.record<ForwardedOrder>("ForwardedOrder", [
  { name: "path", type: "string" },
  { name: "base", type: "string" },
  { name: "body", type: "bytes" },
]);

/** The answer for the caller; a status of 500 or more means that nothing is decided. */
export interface OrderAnswer {
  status: number;
  /** The body of the answer, as JSON text. */
  json: string;
}
/** Codec of OrderAnswer. */
export const orderAnswer = avro.record<OrderAnswer>("OrderAnswer", [
  { name: "status", type: "int" },
  { name: "json", type: "string" },
]);
