// Calls and their replies are pairs of types behind one generic handler (design 3.3).
import * as batchSchema from "./batch-schema.js";
import * as dutySchema from "./duty-schema.js";
import * as leaseSchema from "./lease-schema.js";
import * as orderSchema from "./order-schema.js";
import * as schema from "./schema.js";
import * as tallySchema from "./tally-schema.js";
import * as tenantSchema from "./tenant-schema.js";

/** A call: its code on the wire, and the codecs of both directions. */
export interface Call<Request, Reply> {
  readonly code: number;
  readonly name: string;
  readonly request: schema.Schema<Request>;
  readonly reply: schema.Schema<Reply>;
}

const known = new Map<number, Call<unknown, unknown>>();

function defineCall<Ask, Reply>(code: number, name: string, request: schema.Schema<Ask>, reply: schema.Schema<Reply>): Call<Ask, Reply> {
  const call = { code, name, request, reply };
  known.set(code, call);
  return call;
}

const optionalCodes = new Set<number>();

/**
 * A call that only nodes with its feature turned on send to each other: it belongs to no release, so that builds with and
 * without it run side by side while the feature is off.
 */
function defineOptionalCall<Ask, Reply>(
  code: number,
  name: string,
  request: schema.Schema<Ask>,
  reply: schema.Schema<Reply>,
): Call<Ask, Reply> {
  optionalCodes.add(code);
  return defineCall(code, name, request, reply);
}

/** Whether the code belongs to a feature and to no release. */
export function isOptional(code: number): boolean {
  return optionalCodes.has(code);
}

/** The call with this code, if there is one. */
export function byCode(code: number): Call<unknown, unknown> | undefined {
  return known.get(code);
}

/** A node identifies itself on a new link. */
export const hello = defineCall(1, "hello", schema.hello, schema.known);
/** Sent with each heartbeat. */
export const heartbeat = defineCall(2, "beat", schema.heartbeat, schema.empty);
/** What changed in a control node's roster, to its peers. */
export const rosterUpdate = defineCall(3, "sessions", schema.sessions, schema.empty);
/** First phase of a ballot. */
export const prepare = defineCall(4, "prepare", schema.prepare, schema.vote);
/** Second phase of a ballot. */
export const accept = defineCall(5, "accept", schema.accept, schema.vote);
/** A value is known to be chosen. */
export const chosen = defineCall(6, "chosen", schema.chosen, schema.empty);
/** Requests a newer chosen value. */
export const ask = defineCall(7, "ask", schema.ask, schema.chosen);
/** Subscribes to topics of the feed. */
export const subscribe = defineCall(8, "follow", schema.subscribe, schema.empty);
/** Items of a topic that changed. */
export const change = defineCall(9, "change", schema.change, schema.empty);
/** Changes of the platform's list, between control nodes. */
export const instances = defineCall(10, "instances", schema.change, schema.listPosition);
/** Reports of a region, between control nodes. */
export const report = defineCall(11, "report", schema.cellReport, schema.empty);
/** What routers saw of runners. */
export const hints = defineCall(12, "signs", schema.hints, schema.empty);
/** A topic has moved on. */
export const notice = defineCall(13, "notice", schema.notice, schema.empty);
/** A router asks for leases. */
export const lease = defineCall(40, "lease", leaseSchema.leaseRequest, leaseSchema.leaseReply);
/** Asks what a voter knows. */
export const fence = defineCall(41, "fence", leaseSchema.fenceRequest, leaseSchema.fenceReply);
/** Control nodes known to the sender. */
export const controls = defineCall(20, "controls", schema.controls, schema.empty);
/** Requests a snapshot of a peer's roster. */
export const requestRoster = defineCall(21, "whole", schema.empty, schema.empty);

// Of batches (design/batch 11).
/** First phase of a ballot of the batch register. */
export const batchPrepare = defineOptionalCall(44, "batch_prepare", schema.prepare, schema.vote);
/** Second phase of a ballot of the batch register. */
export const batchAccept = defineOptionalCall(45, "batch_accept", schema.accept, schema.vote);
/** A value of the batch register is known to be chosen. */
export const batchChosen = defineOptionalCall(46, "batch_chosen", schema.chosen, schema.empty);
/** Asks for a newer chosen value of the batch register. */
export const batchAsk = defineOptionalCall(47, "batch_ask", schema.ask, schema.chosen);
/** Which disk a control node has in the batch register. */
export const batchNode = defineOptionalCall(48, "batch_node", batchSchema.batchNode, schema.empty);
/** A record is to be kept. */
export const recordPut = defineOptionalCall(49, "record_put", batchSchema.recordPut, batchSchema.recordKept);
/** Asks for a record. */
export const recordGet = defineOptionalCall(50, "record_get", batchSchema.recordKey, batchSchema.recordFound);
/** A control node's pass, told to a router. */
export const batchPass = defineOptionalCall(51, "batch_pass", batchSchema.batchPass, schema.empty);
/** Asks a router for its counts. */
export const routerLoads = defineOptionalCall(52, "router_loads", schema.empty, batchSchema.routerLoads);
/** Loads that a control node gathered, to its siblings. */
export const loadReport = defineOptionalCall(53, "load_report", batchSchema.loadReport, schema.empty);

// Of tenants: used only while a configuration with tenants is in force (design/tenants 6).
/** A router asks for units of quotas, and for a control node's word on the configuration. */
export const quota = defineOptionalCall(54, "quota", tenantSchema.quotaRequest, tenantSchema.quotaReply);

// Of orders: sent only to nodes that name the feature in their beats (features.ts).
/** An operator's order, passed on to the control node that proposes for all. */
export const order = defineOptionalCall(55, "order", orderSchema.forwardedOrder, orderSchema.orderAnswer);
/** An order without a base, offered to the control node that proposes for all. */
export const offeredOrder = defineOptionalCall(67, "offered_order", orderSchema.offeredOrder, orderSchema.orderAnswer);
/** That node takes it, before it applies it. */
export const takeOrder = defineOptionalCall(68, "take_order", orderSchema.takeOrder, orderSchema.orderLease);

// Of tallies: sent only to nodes that name the feature in their beats (design/tallies 4).
/** What a control node holds of all tallies. */
export const counterHeartbeat = defineOptionalCall(56, "tally_beat", tallySchema.counterHeartbeat, tallySchema.counterHeartbeatReply);
/** Adds that a control node lacks; replied to once they are durable there. */
export const counterPush = defineOptionalCall(57, "tally_push", tallySchema.tallyPush, tallySchema.counterPushReply);
/** Asks for a part of a snapshot of all tallies. */
export const counterSnapshot = defineOptionalCall(58, "tally_snapshot", tallySchema.counterSnapshotRequest, tallySchema.tallySnapshotPart);

// Of duties at the platform: sent only to nodes that name the feature in their heartbeats (design/duties).
/** First phase of a ballot of the duty register. */
export const dutyPrepare = defineOptionalCall(60, "duty_prepare", schema.prepare, schema.vote);
/** Second phase of a ballot of the duty register. */
export const dutyAccept = defineOptionalCall(61, "duty_accept", schema.accept, schema.vote);
/** A value of the duty register is known to be chosen. */
export const dutyChosen = defineOptionalCall(62, "duty_chosen", schema.chosen, schema.empty);
/** Asks for a newer chosen value of the duty register. */
export const dutyAsk = defineOptionalCall(63, "duty_ask", schema.ask, schema.chosen);
/** Which disk a control node has in the duty register. */
export const dutyNode = defineOptionalCall(64, "duty_node", batchSchema.batchNode, schema.empty);
/** Asks a router for the usage that it counted. */
export const usageCollect = defineOptionalCall(65, "usage_collect", dutySchema.usageRequest, dutySchema.usageReply);
/** Usage that a control node collected, to the holder of the lease. */
export const usageRelay = defineOptionalCall(66, "usage_relay", dutySchema.usageRelay, dutySchema.usageRelayReply);
