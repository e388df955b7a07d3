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

/** An order without a base that one control node offers to another, which takes it before it applies it. */
export interface OfferedOrder {
  /** Of the offer, at the node that makes it. */
  id: number;
  /** Path of the call, such as /-/Evacuations.Start/z1. */
  path: string;
  body: Buffer;
}
/** Codec of OfferedOrder. */
export const offeredOrder = avro.record<OfferedOrder>("OfferedOrder", [
  { name: "id", type: "long" },
  { name: "path", type: "string" },
  { name: "body", type: "bytes" },
]);

/** Asks the node that made an offer for the order. */
export interface TakeOrder {
  /** Of the offer. */
  id: number;
}
/** Codec of TakeOrder. */
export const takeOrder = avro.record<TakeOrder>("TakeOrder", [{ name: "id", type: "long" }]);

/** The answer to a node that takes an order. */
export interface OrderLease {
  /** Milliseconds from when the node asked for which it may apply the order; 0: it may not. */
  leaseMs: number;
}
/** Codec of OrderLease. */
export const orderLease = avro.record<OrderLease>("OrderLease", [{ name: "leaseMs", type: "double" }]);

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
