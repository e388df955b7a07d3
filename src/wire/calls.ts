// Calls and their replies are pairs of types behind one generic handler (design 3.3).
import * as batchSchema from "./batch-schema.js";
import * as leaseSchema from "./lease-schema.js";
import * as schema from "./schema.js";

export interface Pair<Ask, Reply> {
  readonly code: number;
  readonly name: string;
  readonly ask: schema.Schema<Ask>;
  readonly reply: schema.Schema<Reply>;
}

const known = new Map<number, Pair<unknown, unknown>>();

function pair<Ask, Reply>(code: number, name: string, ask: schema.Schema<Ask>, reply: schema.Schema<Reply>): Pair<Ask, Reply> {
  const made = { code, name, ask, reply };
  known.set(code, made);
  return made;
}

const optionalCodes = new Set<number>();

/**
 * A call that only nodes with its feature turned on send to each other: it belongs to no release, so that builds with and
 * without it run side by side while the feature is off.
 */
function optionalPair<Ask, Reply>(code: number, name: string, ask: schema.Schema<Ask>, reply: schema.Schema<Reply>): Pair<Ask, Reply> {
  optionalCodes.add(code);
  return pair(code, name, ask, reply);
}

export function isOptional(code: number): boolean {
  return optionalCodes.has(code);
}

export function byCode(code: number): Pair<unknown, unknown> | undefined {
  return known.get(code);
}

export const hello = pair(1, "hello", schema.hello, schema.known);
export const beat = pair(2, "beat", schema.beat, schema.empty);
export const sessions = pair(3, "sessions", schema.sessions, schema.empty);
export const prepare = pair(4, "prepare", schema.prepare, schema.vote);
export const accept = pair(5, "accept", schema.accept, schema.vote);
export const chosen = pair(6, "chosen", schema.chosen, schema.empty);
export const ask = pair(7, "ask", schema.ask, schema.chosen);
export const follow = pair(8, "follow", schema.follow, schema.empty);
export const change = pair(9, "change", schema.change, schema.empty);
export const instances = pair(10, "instances", schema.change, schema.heldList);
export const report = pair(11, "report", schema.cellReport, schema.empty);
export const signs = pair(12, "signs", schema.signs, schema.empty);
export const notice = pair(13, "notice", schema.notice, schema.empty);
export const lease = pair(40, "lease", leaseSchema.leaseAsk, leaseSchema.leaseReply);
export const fence = pair(41, "fence", leaseSchema.fenceAsk, leaseSchema.fenceReply);
export const controls = pair(20, "controls", schema.controls, schema.empty);
export const whole = pair(21, "whole", schema.empty, schema.empty);

// Of batches (design/batch 11).
export const batchPrepare = optionalPair(44, "batch_prepare", schema.prepare, schema.vote);
export const batchAccept = optionalPair(45, "batch_accept", schema.accept, schema.vote);
export const batchChosen = optionalPair(46, "batch_chosen", schema.chosen, schema.empty);
export const batchAsk = optionalPair(47, "batch_ask", schema.ask, schema.chosen);
export const batchNode = optionalPair(48, "batch_node", batchSchema.batchNode, schema.empty);
export const recordPut = optionalPair(49, "record_put", batchSchema.recordPut, batchSchema.recordKept);
export const recordGet = optionalPair(50, "record_get", batchSchema.recordKey, batchSchema.recordFound);
export const batchPass = optionalPair(51, "batch_pass", batchSchema.batchPass, schema.empty);
export const routerLoads = optionalPair(52, "router_loads", schema.empty, batchSchema.routerLoads);
export const loadReport = optionalPair(53, "load_report", batchSchema.loadReport, schema.empty);
