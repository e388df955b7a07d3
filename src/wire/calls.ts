// Calls and their replies are pairs of types behind one generic handler (design 3.3).
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
