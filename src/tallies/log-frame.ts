/**
 * Frames of the tallies' log: each has its place in the file and two checksums, so that a torn end, and bytes of an older
 * generation behind it, are told from whole frames.
 */
import * as errors from "../runtime/errors.js";
import * as format from "../store/format.js";
import * as tallySchema from "../wire/tally-schema.js";

/** Version of the layout; another one is an error, never a guess. */
export const VERSION = 1;
const MAGIC = 0x43575431;
const CHECKED_BYTES = 32;
/** Length of what stands before a body. */
export const HEAD_BYTES = CHECKED_BYTES + 4;

/**
 * Where a frame stands: in which generation of files, and as which frame of its file. `salt`: drawn for each attempt to
 * write a generation, so that frames of an attempt that was cut never follow those of the next one.
 */
export interface FrameId {
  generation: number;
  salt: number;
  index: number;
}

/** A whole frame, and how many bytes of the file it takes. */
export interface ReadFrame extends FrameId {
  frame: tallySchema.TallyFrame;
  bytes: number;
}

// magic u32, version u32, generation u64, salt u32, index u32, length u32, checksum of the body u32, checksum u32
/** A frame as it is written. */
export function encodeFrame({ generation, salt, index }: FrameId, frame: tallySchema.TallyFrame): Buffer {
  const body = tallySchema.tallyFrame.toBuffer(frame);
  const head = Buffer.alloc(HEAD_BYTES);
  head.writeUInt32BE(MAGIC, 0);
  head.writeUInt32BE(VERSION, 4);
  head.writeBigUInt64BE(BigInt(generation), 8);
  head.writeUInt32BE(salt, 16);
  head.writeUInt32BE(index, 20);
  head.writeUInt32BE(body.length, 24);
  head.writeUInt32BE(format.checksum(body), 28);
  head.writeUInt32BE(format.checksum(head.subarray(0, CHECKED_BYTES)), CHECKED_BYTES);
  return Buffer.concat([head, body]);
}

/** The whole frame that begins there, or null. */
export function decodeFrame(content: Buffer, at: number): ReadFrame | null {
  if (content.length < at + HEAD_BYTES) return null;
  const head = content.subarray(at, at + HEAD_BYTES);
  if (head.readUInt32BE(0) !== MAGIC) return null;
  if (format.checksum(head.subarray(0, CHECKED_BYTES)) !== head.readUInt32BE(CHECKED_BYTES)) return null;
  if (head.readUInt32BE(4) !== VERSION) throw unknownVersion(head.readUInt32BE(4));
  const end = at + HEAD_BYTES + head.readUInt32BE(24);
  const body = content.subarray(at + HEAD_BYTES, end);
  if (content.length < end || format.checksum(body) !== head.readUInt32BE(28)) return null;
  return {
    generation: Number(head.readBigUInt64BE(8)),
    salt: head.readUInt32BE(16),
    index: head.readUInt32BE(20),
    frame: tallySchema.tallyFrame.fromBuffer(body),
    bytes: end - at,
  };
}

function unknownVersion(version: number): errors.CranewindError {
  return new errors.StorageError(
    `the tallies in data_dir have the format version ${version}, this release reads ${VERSION}`,
    "start the release that wrote them, or empty data_dir: this node then takes the tallies from the others",
  );
}
