/**
 * Layout of the voter's files as release 1 wrote them, before it had a version: no file header, one record at the start of
 * each file. They are read only to be converted (conversion.ts).
 */
import * as format from "./format.js";

/** First bytes of each file. */
export const MAGIC = 0x43574e44;
const CHECKSUMMED_BYTES = 20;
/** Length of the header before a body. */
export const RECORD_HEADER_BYTES = CHECKSUMMED_BYTES + 4;

/** One record of release 1. */
export interface Release1Record {
  /** Grew by one with each record written. */
  number: number;
  body: Buffer;
}

/** Whether the file starts like those of release 1, complete or torn. */
export function hasRelease1Magic(content: Buffer): boolean {
  return content.length >= RECORD_HEADER_BYTES && content.readUInt32BE(0) === MAGIC;
}

// magic u32, number u64, length u32, checksum of the body u32, checksum u32
/** Null for bytes that are not a complete record. */
export function decodeRecord(content: Buffer): Release1Record | null {
  if (!hasRelease1Magic(content)) return null;
  if (format.checksum(content.subarray(0, CHECKSUMMED_BYTES)) !== content.readUInt32BE(CHECKSUMMED_BYTES)) return null;
  const length = content.readUInt32BE(12);
  if (content.length < RECORD_HEADER_BYTES + length) return null;
  const body = content.subarray(RECORD_HEADER_BYTES, RECORD_HEADER_BYTES + length);
  if (format.checksum(body) !== content.readUInt32BE(16)) return null;
  return { number: Number(content.readBigUInt64BE(4)), body };
}

/** The newest complete record of the files; null if there is none. */
export function newestRecord(contents: readonly Buffer[]): Release1Record | null {
  let newest: Release1Record | null = null;
  for (const content of contents) {
    const record = decodeRecord(content);
    if (record && (!newest || record.number > newest.number)) newest = record;
  }
  return newest;
}
