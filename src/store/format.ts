/**
 * Layout of the voter's files. Each file has a header block, written once when the set of files is made, and one
 * record after it. Both carry a version and checksums; a record names the set that it belongs to.
 */
import * as zlib from "node:zlib";
import * as errors from "../runtime/errors.js";

/** Version of the files' layout; files of another version are an error. */
export const FORMAT_VERSION = 1;
/** Writes cover complete blocks, so that no two of them share one. */
export const BLOCK_BYTES = 4096;
/** Offset of the record in its file. */
export const RECORD_OFFSET = BLOCK_BYTES;
/** Length of the id of a set of files. */
export const SET_ID_BYTES = 16;

const HEADER_MAGIC = 0x43574e53;
const RECORD_MAGIC = 0x43574e52;
/** First bytes of files that were written before the layout had a version (release-1-format.ts). */
const UNVERSIONED_MAGIC = 0x43574e44;
const CHECKSUMMED_FILE_HEADER_BYTES = 24;
const FILE_HEADER_BYTES = CHECKSUMMED_FILE_HEADER_BYTES + 4;
const CHECKSUMMED_RECORD_HEADER_BYTES = 44;
/** Length of the header before a body. */
export const RECORD_HEADER_BYTES = CHECKSUMMED_RECORD_HEADER_BYTES + 4;

/**
 * Why a set was created: `first`: the folder showed no trace of an older set; `later`: it did; `converted`: from the files
 * of release 1, so that the copy of their newest record may still be there (conversion.ts).
 */
export type Origin = "first" | "later" | "converted";
/** Index: the byte in the header; an unknown byte counts as `later`. */
const ORIGINS: Origin[] = ["later", "first", "converted"];

/** Header of a file: identifies its set. */
export interface FileHeader {
  /** Random id of the set. */
  setId: Buffer;
  /** Count of files in the set. */
  files: number;
  /** Index of this file in the set. */
  index: number;
  origin: Origin;
}

/** One record. */
export interface StoredRecord {
  setId: Buffer;
  /** Fingerprint of the layout of the body. */
  layout: number;
  /** Grows by one with each record written. */
  number: number;
  body: Buffer;
}

/** The header block of a file: magic u32, version u8, files u8, index u8, origin u8, set id, checksum u32; big-endian. */
export function encodeFileHeader(header: FileHeader): Buffer {
  const bytes = Buffer.alloc(BLOCK_BYTES);
  bytes.writeUInt32BE(HEADER_MAGIC, 0);
  bytes.writeUInt8(FORMAT_VERSION, 4);
  bytes.writeUInt8(header.files, 5);
  bytes.writeUInt8(header.index, 6);
  bytes.writeUInt8(ORIGINS.indexOf(header.origin), 7);
  header.setId.copy(bytes, 8, 0, SET_ID_BYTES);
  bytes.writeUInt32BE(checksum(bytes.subarray(0, CHECKSUMMED_FILE_HEADER_BYTES)), CHECKSUMMED_FILE_HEADER_BYTES);
  return bytes;
}

/** Null for a file without a complete header; throws for a file of another release. */
export function decodeFileHeader(bytes: Buffer): FileHeader | null {
  if (bytes.length < FILE_HEADER_BYTES) return null;
  const magic = bytes.readUInt32BE(0);
  if (magic === UNVERSIONED_MAGIC) throw unknownVersion("none");
  if (magic !== HEADER_MAGIC) return null;
  const version = bytes.readUInt8(4);
  // A torn header may end before its version.
  if (version !== FORMAT_VERSION && version !== 0) throw unknownVersion(String(version));
  if (checksum(bytes.subarray(0, CHECKSUMMED_FILE_HEADER_BYTES)) !== bytes.readUInt32BE(CHECKSUMMED_FILE_HEADER_BYTES)) return null;
  return {
    files: bytes.readUInt8(5),
    index: bytes.readUInt8(6),
    origin: ORIGINS[bytes.readUInt8(7)] ?? "later",
    setId: Buffer.from(bytes.subarray(8, 8 + SET_ID_BYTES)),
  };
}

/**
 * The bytes of a record: magic u32, version u8, three zeros, layout u32, set id, number u64, length u32, checksum of the
 * body u32, checksum of the header u32, body; big-endian.
 */
export function encodeRecord(record: StoredRecord): Buffer {
  const bytes = Buffer.alloc(RECORD_HEADER_BYTES + record.body.length);
  bytes.writeUInt32BE(RECORD_MAGIC, 0);
  bytes.writeUInt8(FORMAT_VERSION, 4);
  bytes.writeUInt32BE(record.layout, 8);
  record.setId.copy(bytes, 12, 0, SET_ID_BYTES);
  bytes.writeBigUInt64BE(BigInt(record.number), 28);
  bytes.writeUInt32BE(record.body.length, 36);
  bytes.writeUInt32BE(checksum(record.body), 40);
  bytes.writeUInt32BE(checksum(bytes.subarray(0, CHECKSUMMED_RECORD_HEADER_BYTES)), CHECKSUMMED_RECORD_HEADER_BYTES);
  record.body.copy(bytes, RECORD_HEADER_BYTES);
  return bytes;
}

/** Null for bytes that are not a complete record; throws for a record of another release. */
export function decodeRecord(bytes: Buffer): StoredRecord | null {
  if (bytes.length < RECORD_HEADER_BYTES || bytes.readUInt32BE(0) !== RECORD_MAGIC) return null;
  if (checksum(bytes.subarray(0, CHECKSUMMED_RECORD_HEADER_BYTES)) !== bytes.readUInt32BE(CHECKSUMMED_RECORD_HEADER_BYTES)) return null;
  const version = bytes.readUInt8(4);
  if (version !== FORMAT_VERSION) throw unknownVersion(String(version));
  const length = bytes.readUInt32BE(36);
  if (bytes.length < RECORD_HEADER_BYTES + length) return null;
  const body = bytes.subarray(RECORD_HEADER_BYTES, RECORD_HEADER_BYTES + length);
  if (checksum(body) !== bytes.readUInt32BE(40)) return null;
  return {
    layout: bytes.readUInt32BE(8),
    setId: Buffer.from(bytes.subarray(12, 12 + SET_ID_BYTES)),
    number: Number(bytes.readBigUInt64BE(28)),
    body,
  };
}

/** The byte count rounded up to complete blocks. */
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
  return zlib.crc32 ? zlib.crc32(bytes) : crc32Fallback(bytes);
}

function crc32Fallback(bytes: Buffer): number {
  let crc = ~0;
  for (const byte of bytes) {
    crc ^= byte;
    for (let bit = 0; bit < 8; bit += 1) crc = (crc >>> 1) ^ (0xedb88320 & -(crc & 1));
  }
  return ~crc >>> 0;
}
