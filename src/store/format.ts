/**
 * Layout of the voter's files. Each file has a header block, written once when the set of files is made, and one
 * record after it. Both carry a version and checksums; a record names the set that it belongs to.
 */
import * as zlib from "node:zlib";
import * as errors from "../runtime/errors.js";

/** Version of the files' layout; another one is an error, never a guess. */
export const FORMAT_VERSION = 1;
/** Writes are whole blocks, so that no two of them share one. */
export const BLOCK_BYTES = 4096;
/** Where the record begins. */
export const RECORD_AT = BLOCK_BYTES;
/** Length of the id of a set of files. */
export const SET_ID_BYTES = 16;

const HEADER_MAGIC = 0x43574e53;
const RECORD_MAGIC = 0x43574e52;
/** First bytes of files that were written before the layout had a version (unversioned.ts). */
const UNVERSIONED_MAGIC = 0x43574e44;
const HEADER_CHECKED_BYTES = 24;
const HEADER_BYTES = HEADER_CHECKED_BYTES + 4;
const RECORD_CHECKED_BYTES = 44;
/** Length of what stands before a body. */
export const RECORD_HEAD_BYTES = RECORD_CHECKED_BYTES + 4;

/**
 * How a set came to be: `first`: the folder held no trace of an older set; `later`: it did; `converted`: from the files of
 * release 1, so that the copy of their newest record may still be there (conversion.ts).
 */
export type Origin = "first" | "later" | "converted";
/** By their byte in the header; one that is not known here counts as a later set. */
const ORIGINS: Origin[] = ["later", "first", "converted"];

/** What ties a file to its set. */
export interface Header {
  /** Random, made anew with each set. */
  setId: Buffer;
  /** How many files the set has, and which of them this is. */
  files: number;
  index: number;
  origin: Origin;
}

/** One record. */
export interface StoredRecord {
  setId: Buffer;
  /** Fingerprint of the body's own layout. */
  layout: number;
  /** Grows by one with each record that was written. */
  number: number;
  body: Buffer;
}

// magic u32, version u8, files u8, index u8, origin u8, set id, checksum u32
/** The header block of a file. */
export function encodeHeader(header: Header): Buffer {
  const bytes = Buffer.alloc(BLOCK_BYTES);
  bytes.writeUInt32BE(HEADER_MAGIC, 0);
  bytes.writeUInt8(FORMAT_VERSION, 4);
  bytes.writeUInt8(header.files, 5);
  bytes.writeUInt8(header.index, 6);
  bytes.writeUInt8(ORIGINS.indexOf(header.origin), 7);
  header.setId.copy(bytes, 8, 0, SET_ID_BYTES);
  bytes.writeUInt32BE(checksum(bytes.subarray(0, HEADER_CHECKED_BYTES)), HEADER_CHECKED_BYTES);
  return bytes;
}

/** Null for a file without a whole header; an error for a file of another release. */
export function decodeHeader(bytes: Buffer): Header | null {
  if (bytes.length < HEADER_BYTES) return null;
  const magic = bytes.readUInt32BE(0);
  if (magic === UNVERSIONED_MAGIC) throw unknownVersion("none");
  if (magic !== HEADER_MAGIC) return null;
  const version = bytes.readUInt8(4);
  // A header that was cut while it was written may end before its version.
  if (version !== FORMAT_VERSION && version !== 0) throw unknownVersion(String(version));
  if (checksum(bytes.subarray(0, HEADER_CHECKED_BYTES)) !== bytes.readUInt32BE(HEADER_CHECKED_BYTES)) return null;
  return {
    files: bytes.readUInt8(5),
    index: bytes.readUInt8(6),
    origin: ORIGINS[bytes.readUInt8(7)] ?? "later",
    setId: Buffer.from(bytes.subarray(8, 8 + SET_ID_BYTES)),
  };
}

// magic u32, version u8, three zeros, layout u32, set id, number u64, length u32, checksum of the body u32, checksum u32
/** A record as it is written. */
export function encodeRecord(record: StoredRecord): Buffer {
  const bytes = Buffer.alloc(RECORD_HEAD_BYTES + record.body.length);
  bytes.writeUInt32BE(RECORD_MAGIC, 0);
  bytes.writeUInt8(FORMAT_VERSION, 4);
  bytes.writeUInt32BE(record.layout, 8);
  record.setId.copy(bytes, 12, 0, SET_ID_BYTES);
  bytes.writeBigUInt64BE(BigInt(record.number), 28);
  bytes.writeUInt32BE(record.body.length, 36);
  bytes.writeUInt32BE(checksum(record.body), 40);
  bytes.writeUInt32BE(checksum(bytes.subarray(0, RECORD_CHECKED_BYTES)), RECORD_CHECKED_BYTES);
  record.body.copy(bytes, RECORD_HEAD_BYTES);
  return bytes;
}

/** Null for bytes that are not a whole record. */
export function decodeRecord(bytes: Buffer): StoredRecord | null {
  if (bytes.length < RECORD_HEAD_BYTES || bytes.readUInt32BE(0) !== RECORD_MAGIC) return null;
  if (checksum(bytes.subarray(0, RECORD_CHECKED_BYTES)) !== bytes.readUInt32BE(RECORD_CHECKED_BYTES)) return null;
  const version = bytes.readUInt8(4);
  if (version !== FORMAT_VERSION) throw unknownVersion(String(version));
  const length = bytes.readUInt32BE(36);
  if (bytes.length < RECORD_HEAD_BYTES + length) return null;
  const body = bytes.subarray(RECORD_HEAD_BYTES, RECORD_HEAD_BYTES + length);
  if (checksum(body) !== bytes.readUInt32BE(40)) return null;
  return {
    layout: bytes.readUInt32BE(8),
    setId: Buffer.from(bytes.subarray(12, 12 + SET_ID_BYTES)),
    number: Number(bytes.readBigUInt64BE(28)),
    body,
  };
}

/** The least whole number of blocks that holds so many bytes. */
export function roundUpToBlock(bytes: number): number {
  return Math.ceil(bytes / BLOCK_BYTES) * BLOCK_BYTES;
}

function unknownVersion(version: string): errors.CranewindError {
  return new errors.StorageError(
    `the files of data_dir have the format version ${version}, this release reads ${FORMAT_VERSION}`,
    "start the release that wrote them, or empty data_dir: this node then takes a new identity",
  );
}

/** CRC-32 of the bytes. */
export function checksum(bytes: Buffer): number {
  return zlib.crc32 ? zlib.crc32(bytes) : slowCrc(bytes);
}

function slowCrc(bytes: Buffer): number {
  let crc = ~0;
  for (const byte of bytes) {
    crc ^= byte;
    for (let bit = 0; bit < 8; bit += 1) crc = (crc >>> 1) ^ (0xedb88320 & -(crc & 1));
  }
  return ~crc >>> 0;
}
