/**
 * The voter's files as release 1 wrote them, before the layout had a version: no header, one record at the begin of each
 * file. They are read only to be converted (conversion.ts).
 */
import * as format from "./format.js";

/** First bytes of each file. */
export const MAGIC = 0x43574e44;
const CHECKED_BYTES = 20;
/** Length of what stands before a body. */
export const HEAD_BYTES = CHECKED_BYTES + 4;

/** One record of release 1. */
export interface UnversionedRecord {
  /** Grew by one with each record that was written. */
  number: number;
  body: Buffer;
}

/** Whether the file begins as those of release 1 do, whole or torn. */
export function isUnversioned(content: Buffer): boolean {
  return content.length >= HEAD_BYTES && content.readUInt32BE(0) === MAGIC;
}

// magic u32, number u64, length u32, checksum of the body u32, checksum u32
/** Null for bytes that are not a whole record. */
export function decodeRecord(content: Buffer): UnversionedRecord | null {
  if (!isUnversioned(content)) return null;
  if (format.checksum(content.subarray(0, CHECKED_BYTES)) !== content.readUInt32BE(CHECKED_BYTES)) return null;
  const length = content.readUInt32BE(12);
  if (content.length < HEAD_BYTES + length) return null;
  const body = content.subarray(HEAD_BYTES, HEAD_BYTES + length);
  if (format.checksum(body) !== content.readUInt32BE(16)) return null;
  return { number: Number(content.readBigUInt64BE(4)), body };
}

/** The newest whole record of the files; null if none is whole. */
export function newestRecord(contents: readonly Buffer[]): UnversionedRecord | null {
  let newest: UnversionedRecord | null = null;
  for (const content of contents) {
    const record = decodeRecord(content);
    if (record && (!newest || record.number > newest.number)) newest = record;
  }
  return newest;
}
