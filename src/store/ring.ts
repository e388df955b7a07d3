// A ring of preallocated files: each record goes whole into the next file, synced, so that a torn
// write can only hurt the record that nobody was told of (design 5.3).
import * as fs from "node:fs/promises";
import * as path from "node:path";
import * as zlib from "node:zlib";
import * as log from "../startup/log.js";

const FILES = 4;
const FIRST_BYTES = 64 * 1024;
const MAGIC = 0x43574e44;
const HEAD_BYTES = 24; // magic u32, number u64, length u32, crc of body u32, crc of head u32

/** What the ring asks of a disk: tests hand in their own. */
export interface Files {
  open(folder: string, name: string): Promise<Slot>;
}
export interface Slot {
  readAll(): Promise<Buffer>;
  write(bytes: Buffer): Promise<void>;
  close(): Promise<void>;
}

class RealSlot implements Slot {
  constructor(private readonly handle: fs.FileHandle) {}
  async readAll(): Promise<Buffer> {
    return this.handle.readFile();
  }
  async write(bytes: Buffer): Promise<void> {
    await this.handle.write(bytes, 0, bytes.length, 0);
    await this.handle.datasync();
  }
  async close(): Promise<void> {
    await this.handle.close();
  }
}

async function openReal(folder: string, name: string): Promise<Slot> {
  await fs.mkdir(folder, { recursive: true });
  const full = path.join(folder, name);
  const handle = await fs.open(full, "a+").then(reopen);
  async function reopen(first: fs.FileHandle): Promise<fs.FileHandle> {
    await first.close();
    return fs.open(full, "r+");
  }
  const { size } = await handle.stat();
  if (size < FIRST_BYTES) {
    await handle.write(Buffer.alloc(FIRST_BYTES - size), 0, FIRST_BYTES - size, size);
    await handle.sync();
    const parent = await fs.open(folder, "r");
    await parent.sync().catch(ignore);
    await parent.close();
  }
  return new RealSlot(handle);
}

function ignore(): void {
  log.count("store.folder_sync_failed");
}

export const realFiles: Files = { open: openReal };

export function encode(number: number, body: Buffer): Buffer {
  const bytes = Buffer.alloc(HEAD_BYTES + body.length);
  bytes.writeUInt32BE(MAGIC, 0);
  bytes.writeBigUInt64BE(BigInt(number), 4);
  bytes.writeUInt32BE(body.length, 12);
  bytes.writeUInt32BE(checksum(body), 16);
  bytes.writeUInt32BE(checksum(bytes.subarray(0, 20)), 20);
  body.copy(bytes, HEAD_BYTES);
  return bytes;
}

function checksum(bytes: Buffer): number {
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

export function decode(bytes: Buffer): { number: number; body: Buffer } | null {
  if (bytes.length < HEAD_BYTES || bytes.readUInt32BE(0) !== MAGIC) return null;
  if (checksum(bytes.subarray(0, 20)) !== bytes.readUInt32BE(20)) return null;
  const length = bytes.readUInt32BE(12);
  if (bytes.length < HEAD_BYTES + length) return null;
  const body = bytes.subarray(HEAD_BYTES, HEAD_BYTES + length);
  if (checksum(body) !== bytes.readUInt32BE(16)) return null;
  return { number: Number(bytes.readBigUInt64BE(4)), body };
}

export class Ring {
  private number = 0;
  private place = 0;
  private constructor(private readonly slots: Slot[]) {}

  /** The newest whole record, or null on a blank disk. */
  static async open(files: Files, folder: string): Promise<{ ring: Ring; newest: Buffer | null }> {
    const slots: Slot[] = [];
    let newest: Buffer | null = null;
    let number = 0;
    let place = 0;
    for (let index = 0; index < FILES; index += 1) {
      const slot = await files.open(folder, `register-${index}`);
      slots.push(slot);
      const bytes = await slot.readAll();
      const found = decode(bytes);
      if (!found && bytes.length > 0 && bytes.readUInt8(0) !== 0) {
        log.count("store.torn");
        log.state(`store: register-${index} holds a torn record; the ring goes on with an older one`);
      }
      if (found && found.number > number) {
        number = found.number;
        place = index;
        newest = found.body;
      }
    }
    const ring = new Ring(slots);
    ring.number = number;
    ring.place = place;
    return { ring, newest };
  }

  async close(): Promise<void> {
    for (const slot of this.slots) await slot.close();
  }

  /** Resolves once the record is synced. One call at a time. */
  async write(body: Buffer): Promise<void> {
    this.number += 1;
    // The place moves on after a success only: failures never reach the file of the newest whole record.
    const place = (this.place + 1) % this.slots.length;
    await this.slots[place].write(encode(this.number, body));
    this.place = place;
  }
}
