// What routers and owners of quotas say to each other, as avsc schemas (design/tenants 3, 4).
import * as avscTypes from "avsc/lib/types.js";
import * as schema from "./schema.js";
import * as types from "./types.js";

const takingType = avscTypes.Type.forSchema({
  type: "record",
  name: "Taking",
  fields: [
    { name: "tenant", type: "string" },
    { name: "wanted", type: "int" },
    { name: "unused", type: { type: "array", items: "long" } },
  ],
});
const givenType = avscTypes.Type.forSchema({
  type: "record",
  name: "Given",
  fields: [
    { name: "amount", type: "int" },
    { name: "id", type: "long" },
    { name: "waitMs", type: "int" },
  ],
});

/** wanted: requests that wait for a unit; unused: ids of earlier grants, each as often as units of it were not used. */
export interface UnitRequest {
  tenant: string;
  wanted: number;
  unused: number[];
}

/** amount: units granted, all under one id; waitMs: how long until the next one where fewer were granted than wanted, else 0. */
export interface UnitGrant {
  amount: number;
  id: number;
  waitMs: number;
}

/** A router's ask; without takings it only asks for the owner's word on the configuration. */
export interface QuotaRequest {
  /** The owner's life that the unused units came from. */
  life: string;
  takings: UnitRequest[];
}
/** Codec of QuotaAsk. */
export const quotaRequest = schema.record<QuotaRequest>("QuotaAsk", [
  { name: "life", type: "string" },
  { name: "takings", type: { type: "array", items: takingType } },
]);

/** An owner's reply: one Given for each Taking, in their order; none of them where it does not grant. */
export interface QuotaReply {
  isGranting: boolean;
  /** Whether a majority of the voters confirmed the epoch as the newest (design/hardening/1-cut-off). */
  isConfirmed: boolean;
  epoch: types.Epoch;
  given: UnitGrant[];
}
/** Codec of QuotaReply. */
export const quotaReply = schema.record<QuotaReply>("QuotaReply", [
  { name: "isGranting", type: "boolean" },
  { name: "isConfirmed", type: "boolean" },
  { name: "epoch", type: "long" },
  { name: "given", type: { type: "array", items: givenType } },
]);
