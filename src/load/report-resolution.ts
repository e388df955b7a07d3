/**
 * How exactly runner reports are published (design/usage 3.1). A report is published again when it is one step away
 * from what was published last: differences from the published value, not steps, so that a value at a border does not
 * flicker.
 */
import * as schema from "../wire/schema.js";

/** Parts of the capacity, and of the kept tokens (*ours*). */
const USAGE_PARTS = 16;
const KV_PARTS = 32;
/** Kept tokens travel in finer steps than they are compared in. */
const KV_STEPS = 64;

/** Requests: one up to a capacity of 16, then a sixteenth of it. */
export function resolutionOf(capacity: number): number {
  return Math.max(1, Math.ceil(capacity / USAGE_PARTS));
}

function kvShare(report: schema.Report): number {
  return report.kvCapacity > 0 ? report.kvUsed / report.kvCapacity : 0;
}

/** In steps: from 1 on the report has moved materially; a change of status always has. */
export function measureDeviation(published: schema.Report, report: schema.Report, capacity: number): number {
  if (published.isSpeaking !== report.isSpeaking || published.kvCapacity !== report.kvCapacity) return Infinity;
  if (!report.isSpeaking) return 0;
  const step = resolutionOf(capacity);
  const kv = Math.abs(kvShare(published) - kvShare(report)) * KV_PARTS;
  return Math.max(Math.abs(published.active - report.active) / step, Math.abs(published.waiting - report.waiting) / step, kv);
}

/** The report as it travels and as every side holds it: kept tokens in steps of the capacity. */
export function quantized(report: schema.Report): schema.Report {
  return { ...report, kvUsed: Math.round((stepOf(report) / KV_STEPS) * report.kvCapacity) };
}

function stepOf(report: schema.Report): number {
  return Math.min(KV_STEPS, Math.round(kvShare(report) * KV_STEPS));
}

/** Report <-> body of an item of the topic `cell:REGION`; the key names the runner. */
export function encodeReport(report: schema.Report): Buffer {
  const { isSpeaking, active, waiting, kvCapacity } = report;
  return schema.usage.toBuffer({ isSpeaking, active, waiting, kvStep: stepOf(report), kvCapacity });
}

/** The report of an item; throws what the decoder throws on bytes that are none. */
export function decodeReport(id: schema.Report["id"], body: Buffer): schema.Report {
  const { isSpeaking, active, waiting, kvStep, kvCapacity } = schema.usage.fromBuffer(body);
  return { id, isSpeaking, active, waiting, kvUsed: Math.round((kvStep / KV_STEPS) * kvCapacity), kvCapacity };
}
