// The ring of files under torn and failed writes (design 5.3).
import * as format from "../../src/store/format.js";
import * as recordRing from "../../src/store/record-ring.js";
import type * as files from "../../src/store/files.js";

type Fault = "none" | "fails" | "torn";

const LAYOUT = 7;
const SET_ID = Buffer.alloc(format.SET_ID_BYTES, 5);

class SimFile implements files.StoreFile {
  bytes = Buffer.alloc(64);
  constructor(private readonly disk: SimDisk) {}
  async read(): Promise<Buffer> {
    return Buffer.from(this.bytes);
  }
  async write(bytes: Buffer, position: number): Promise<number> {
    const { fault } = this.disk;
    if (fault === "fails") throw new Error("EIO");
    const taken = fault === "none" ? bytes : bytes.subarray(0, Math.floor(this.disk.bodyEnd / 2));
    this.bytes = Buffer.concat([this.bytes], Math.max(this.bytes.length, position + bytes.length));
    taken.copy(this.bytes, position);
    if (fault === "torn") throw new Error("power");
    return taken.length;
  }
  async sync(): Promise<void> {
    return undefined;
  }
  async close(): Promise<void> {
    return undefined;
  }
}

class SimDisk implements files.StoreFolder {
  readonly name = "f";
  fault: Fault = "none";
  /** Bytes of a record without its padding; a torn write ends in the middle of them. */
  bodyEnd = format.RECORD_HEADER_BYTES + "record 0".length;
  readonly files = new Map<string, SimFile>();
  async make(): Promise<void> {
    return undefined;
  }
  async open(name: string): Promise<files.StoreFile> {
    const file = this.files.get(name) ?? new SimFile(this);
    this.files.set(name, file);
    return file;
  }
  async sync(): Promise<void> {
    return undefined;
  }
}

function newSetId(): Buffer {
  return SET_ID;
}

function openRing(disk: SimDisk): Promise<recordRing.OpenedRing> {
  return recordRing.RecordRing.open(disk, { layout: LAYOUT, newSetId });
}

async function readNewest(disk: SimDisk): Promise<string | null> {
  const { fault } = disk;
  disk.fault = "none";
  const found = (await openRing(disk)).newestBody?.toString() ?? null;
  disk.fault = fault;
  return found;
}

describe("record ring", () => {
  test.each(["fails", "torn"] as const)("a write that %s, however often, leaves the newest complete record", async function faults(fault) {
    const disk = new SimDisk();
    const { ring } = await openRing(disk);
    for (let count = 0; count < 7; count += 1) {
      await ring.write(Buffer.from(`record ${count}`));
      disk.fault = fault;
      for (let attempt = 0; attempt < 6; attempt += 1) await expect(ring.write(Buffer.from(`lost ${count}`))).rejects.toThrow();
      disk.fault = "none";
      expect(await readNewest(disk)).toBe(`record ${count}`);
    }
  });

  test("a torn record at start is skipped, and the next write goes to another file than the newest record's", async function torn() {
    const disk = new SimDisk();
    const { ring } = await openRing(disk);
    await ring.write(Buffer.from("one"));
    disk.fault = "torn";
    await expect(ring.write(Buffer.from("two"))).rejects.toThrow();
    disk.fault = "none";
    const { ring: reopened, newestBody } = await openRing(disk);
    expect(newestBody!.toString()).toBe("one");
    disk.fault = "torn";
    await expect(reopened.write(Buffer.from("three"))).rejects.toThrow();
    expect(await readNewest(disk)).toBe("one");
  });

  test("any flipped bit makes a record unreadable", function bits() {
    const record = { setId: SET_ID, layout: LAYOUT, number: 7, body: Buffer.from("body") };
    const bytes = format.encodeRecord(record);
    for (let index = 0; index < bytes.length; index += 1) {
      const bad = Buffer.from(bytes);
      bad[index] ^= 4;
      expect(format.decodeRecord(bad)).toBeNull();
    }
    expect(format.decodeRecord(bytes)).toEqual(record);
  });

  test("a blank disk has no record", async function blank() {
    expect(await readNewest(new SimDisk())).toBeNull();
  });
});
