// Typed schemas over the codec library: every message and record between own processes is made by `record`.
import type * as avsc from "avsc";
import * as avscTypes from "avsc/lib/types.js"; // its types alone: containers and services would only slow a start

/** The codec of a record with these fields. */
export function record<T>(name: string, fields: { name: string; type: unknown; default?: unknown }[]): Schema<T> {
  return avscTypes.Type.forSchema({ type: "record", name, fields } as avsc.Schema);
}

/** Encodes and decodes one message; `fromBuffer` throws for bytes that are none. */
export interface Schema<T> {
  toBuffer(value: T): Buffer;
  fromBuffer(bytes: Buffer): T;
  /** Digest of the layout: equal for equal layouts. */
  fingerprint(algorithm: string): Buffer;
}
