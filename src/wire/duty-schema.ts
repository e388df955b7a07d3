/** The duties at the platform (design/duties): what their register holds, and what nodes tell each other about usage. */
import * as avscTypes from "avsc/lib/types.js";
import * as avro from "./avro.js";

/** A usage report that is decided: its counts never change again. */
export interface DecidedReport {
  /** The window's number: it starts `window` times the length of a window after the start of 1970. */
  window: number;
  /** The JSON of the counts by tenant, as it is sent. */
  counts: string;
}

/** The runners ordered last for a service in a zone. */
export interface RunnerOrder {
  service: string;
  zone: string;
  desired: number;
}

/** How far a roll-out is; it only moves on. */
export type RolloutState = "serving" | "complete" | "reverted";

/** The newest roll-out of a service. */
export interface Rollout {
  service: string;
  /** The version that it is about, as the platform names it. */
  version: string;
  durationMs: number;
  /** When it was accepted, by the agreed time of day, in milliseconds since the start of 1970. */
  startedMs: number;
  state: RolloutState;
}

/** All that the duty register holds. */
export interface DutyTable {
  /** Name of the node that holds the lease; empty before the first. */
  holder: string;
  /** Incarnation of the holder's process. */
  life: string;
  /** The fencing token: rises with each claim. */
  fence: number;
  /** Rises with each renewal of the lease. */
  renewal: number;
  /** The newest window with a decided report; -1 before the first. */
  decidedThrough: number;
  /** Decided reports that the platform is not known to have accepted, in the order of their windows. */
  reports: DecidedReport[];
  orders: RunnerOrder[];
  rollouts: Rollout[];
}

const reportType = avscTypes.Type.forSchema({
  type: "record",
  name: "DecidedReport",
  fields: [
    { name: "window", type: "long" },
    { name: "counts", type: "string" },
  ],
});
const orderType = avscTypes.Type.forSchema({
  type: "record",
  name: "RunnerOrder",
  fields: [
    { name: "service", type: "string" },
    { name: "zone", type: "string" },
    { name: "desired", type: "int" },
  ],
});
const rolloutType = avscTypes.Type.forSchema({
  type: "record",
  name: "Rollout",
  fields: [
    { name: "service", type: "string" },
    { name: "version", type: "string" },
    { name: "durationMs", type: "double" },
    { name: "startedMs", type: "double" },
    { name: "state", type: "string" },
  ],
});
/** Codec of DutyTable. */
export const dutyTable = avro.record<DutyTable>("DutyTable", [
  { name: "holder", type: "string" },
  { name: "life", type: "string" },
  { name: "fence", type: "long" },
  { name: "renewal", type: "long" },
  { name: "decidedThrough", type: "long" },
  { name: "reports", type: { type: "array", items: reportType } },
  { name: "orders", type: { type: "array", items: orderType } },
  { name: "rollouts", type: { type: "array", items: rolloutType } },
]);

/** Requests of one tenant that began to run at one router in one window, up to now. */
export interface TenantCount {
  tenant: string;
  count: number;
}

/** Counts of one router in one window. */
export interface RouterWindow {
  /** Incarnation of the router's process. */
  life: string;
  window: number;
  counts: TenantCount[];
}

const countType = avscTypes.Type.forSchema({
  type: "record",
  name: "TenantCount",
  fields: [
    { name: "tenant", type: "string" },
    { name: "count", type: "int" },
  ],
});
const windowType = avscTypes.Type.forSchema({
  type: "record",
  name: "RouterWindow",
  fields: [
    { name: "life", type: "string" },
    { name: "window", type: "long" },
    { name: "counts", type: { type: "array", items: countType } },
  ],
});

/** A control node asks a router that follows it for its counts. */
export interface UsageRequest {
  /** The agreed time of day as of arrival, in milliseconds since the start of 1970. */
  timeOfDayMs: number;
  windowMs: number;
  /** The router's sequence number of the last reply received from this incarnation; 0: none. */
  acknowledged: number;
  /** Incarnation of the router that `acknowledged` belongs to. */
  life: string;
}
/** Codec of UsageRequest. */
export const usageRequest = avro.record<UsageRequest>("UsageRequest", [
  { name: "timeOfDayMs", type: "double" },
  { name: "windowMs", type: "double" },
  { name: "acknowledged", type: "long" },
  { name: "life", type: "string" },
]);

/** The counts that changed since the acknowledged reply. */
export interface UsageReply {
  life: string;
  sequence: number;
  windows: RouterWindow[];
}
/** Codec of UsageReply. */
export const usageReply = avro.record<UsageReply>("UsageReply", [
  { name: "life", type: "string" },
  { name: "sequence", type: "long" },
  { name: "windows", type: { type: "array", items: windowType } },
]);

/** A control node hands over to the holder of the lease what it collected since the last time. */
export interface UsageRelay {
  /** Name of the sender. */
  from: string;
  /** The sender's own time of day when it was sent, in milliseconds since the start of 1970. */
  timeOfDayMs: number;
  windows: RouterWindow[];
}
/** Codec of UsageRelay. */
export const usageRelay = avro.record<UsageRelay>("UsageRelay", [
  { name: "from", type: "string" },
  { name: "timeOfDayMs", type: "double" },
  { name: "windows", type: { type: "array", items: windowType } },
]);

/** Whether the receiver holds the lease and has taken the counts, and the time of day that it goes by. */
export interface UsageRelayReply {
  isHolder: boolean;
  timeOfDayMs: number;
}
/** Codec of UsageRelayReply. */
export const usageRelayReply = avro.record<UsageRelayReply>("UsageRelayReply", [
  { name: "isHolder", type: "boolean" },
  { name: "timeOfDayMs", type: "double" },
]);
