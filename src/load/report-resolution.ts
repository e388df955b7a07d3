/**
 * The resolution that load reports are published at (design/usage 3.1). A report is published again when it deviates by
 * one step from the one published last. Comparing with the published value, not its step, avoids flapping at the border
 * of two steps.
 */
import * as schema from "../wire/schema.js";

/** Steps of the slots, and of the memory. */
const USAGE_PARTS = 16;
const KV_PARTS = 32;
/** Used memory is encoded in finer steps than it is compared in. */
const KV_STEPS = 64;

/** The step of a number of requests: one up to a capacity of 16, then a sixteenth of it. */
export function resolutionOf(capacity: number): number {
  return Math.max(1, Math.ceil(capacity / USAGE_PARTS));
}

function kvUsedFraction(report: schema.Report): number {
  return report.kvCapacity > 0 ? report.kvUsed / report.kvCapacity : 0;
}

/** The deviation from the published report in steps: from 1 on it is published; Infinity for a change of status. */
export function measureDeviation(published: schema.Report, report: schema.Report, capacity: number): number {
  if (published.isSpeaking !== report.isSpeaking || published.kvCapacity !== report.kvCapacity) return Infinity;
  if (!report.isSpeaking) return 0;
  const step = resolutionOf(capacity);
  const kv = Math.abs(kvUsedFraction(published) - kvUsedFraction(report)) * KV_PARTS;
  return Math.max(Math.abs(published.active - report.active) / step, Math.abs(published.waiting - report.waiting) / step, kv);
}

/** The report as every node holds it after encoding: used memory in steps of the capacity. */
export function quantized(report: schema.Report): schema.Report {
  return { ...report, kvUsed: Math.round((kvStepOf(report) / KV_STEPS) * report.kvCapacity) };
}

function kvStepOf(report: schema.Report): number {
  return Math.min(KV_STEPS, Math.round(kvUsedFraction(report) * KV_STEPS));
}

/** Encodes a report as the body of an item of the topic `cell:REGION`; the item's key identifies the runner. */
export function encodeReport(report: schema.Report): Buffer {
  const { isSpeaking, active, waiting, kvCapacity } = report;
  return schema.usage.toBuffer({ isSpeaking, active, waiting, kvStep: kvStepOf(report), kvCapacity });
}

/** Decodes the report of an item; throws the decoder's error on other bytes. */
export function decodeReport(id: schema.Report["id"], body: Buffer): schema.Report {
  const { isSpeaking, active, waiting, kvStep, kvCapacity } = schema.usage.fromBuffer(body);
  return { id, isSpeaking, active, waiting, kvUsed: Math.round((kvStep / KV_STEPS) * kvCapacity), kvCapacity };
}
