// Records of batches on a disk that tears and refuses (design/batch 5): what was acknowledged is there after a restart.
import * as recordFile from "../../src/batch/record-file.js";
import * as records from "../../src/batch/records.js";
import type * as files from "../../src/store/files.js";
import * as simulatedClock from "../sim/simulated-clock.js";
import * as diskFixture from "../support/disk-fixture.js";

/** A file in memory; `durable` is what a loss of power leaves. */
class MemoryFile implements files.RecordFile {
  bytes = Buffer.alloc(0);
  durable = Buffer.alloc(0);
  constructor(private readonly folder: MemoryFolder) {}
  async read(): Promise<Buffer> {
    return Buffer.from(this.bytes);
  }
  async readAt(position: number, bytes: number): Promise<Buffer> {
    return Buffer.from(this.bytes.subarray(position, position + bytes));
  }
  async write(bytes: Buffer, position: number): Promise<number> {
    if (this.folder.isRefusing) throw new Error("EIO");
    const taken = bytes.subarray(0, Math.min(bytes.length, this.folder.mostBytes));
    this.bytes = Buffer.concat([this.bytes.subarray(0, position), taken, this.bytes.subarray(position + taken.length)]);
    return taken.length;
  }
  async sync(): Promise<void> {
    if (this.folder.isRefusing) throw new Error("EIO");
    this.durable = Buffer.from(this.bytes);
  }
  async close(): Promise<void> {
    return undefined;
  }
}

class MemoryFolder implements files.RecordFolder {
  readonly name = "records";
  readonly files = new Map<string, MemoryFile>();
  isRefusing = false;
  mostBytes = Infinity;
  async make(): Promise<void> {
    return undefined;
  }
  async open(name: string): Promise<files.RecordFile> {
    const file = this.files.get(name) ?? new MemoryFile(this);
    this.files.set(name, file);
    return file;
  }
  async names(): Promise<string[]> {
    return [...this.files.keys()];
  }
  async remove(name: string): Promise<void> {
    this.files.delete(name);
  }
  async sync(): Promise<void> {
    return undefined;
  }
  losePower(): void {
    for (const file of this.files.values()) file.bytes = Buffer.from(file.durable);
  }
}

const KEY = { digest: "d", item: 4, attempt: 2 };

async function opened(folder: MemoryFolder, clock = new simulatedClock.SimulatedClock()): Promise<records.Records> {
  const made = new records.Records(clock, folder);
  await made.open();
  return made;
}

test("a record that was acknowledged is there after a loss of power; one that was not may be missing, never torn", async () => {
  const folder = new MemoryFolder();
  const first = await opened(folder);
  expect(await first.put(KEY, Buffer.from("one"))).toBe(true);
  folder.isRefusing = true;
  expect(await first.put({ ...KEY, attempt: 3 }, Buffer.from("two"))).toBe(false);
  folder.isRefusing = false;
  folder.losePower();
  const second = await opened(folder);
  expect((await second.get(KEY))?.toString()).toBe("one");
  expect(await second.get({ ...KEY, attempt: 3 })).toBeNull();
});

test.each([1, 5, 23, 26])("a record cut after %i bytes is no record, and the next one takes its place", async (bytes) => {
  const folder = new MemoryFolder();
  await (await opened(folder)).put(KEY, Buffer.from("whole"));
  const file = [...folder.files.values()][0];
  const whole = file.bytes;
  file.bytes = Buffer.concat([whole, whole.subarray(0, bytes)]);
  const again = await opened(folder);
  expect(await again.put({ ...KEY, attempt: 9 }, Buffer.from("next"))).toBe(true);
  const third = await opened(folder);
  expect((await third.get({ ...KEY, attempt: 9 }))?.toString()).toBe("next");
  expect((await third.get(KEY))?.toString()).toBe("whole");
});

test("a record is written once; short writes are gone on with; a full disk refuses", async () => {
  const folder = new MemoryFolder();
  const made = await opened(folder);
  folder.mostBytes = 7;
  expect(await made.put(KEY, Buffer.from("a longer body"))).toBe(true);
  expect(await made.put(KEY, Buffer.from("another"))).toBe(true);
  expect((await made.get(KEY))?.toString()).toBe("a longer body");
  folder.mostBytes = 0;
  expect(await made.put({ ...KEY, item: 5 }, Buffer.from("no room"))).toBe(false);
});

test("files of batches that the table names no more are dropped after a while", async () => {
  const clock = new simulatedClock.SimulatedClock();
  const folder = new MemoryFolder();
  const made = await opened(folder, clock);
  await made.put(KEY, Buffer.from("x"));
  await made.put({ ...KEY, digest: "e" }, Buffer.from("y"));
  await made.retainOnly(new Set(["e"]));
  clock.skip(60_000);
  await made.retainOnly(new Set(["e"]));
  expect(await made.has(KEY)).toBe(true);
  clock.skip(70_000);
  await made.retainOnly(new Set(["e"]));
  expect(await made.has(KEY)).toBe(false);
  expect([...folder.files.keys()]).toEqual(["e.records"]);
});

test("a bit that turned in a body or a head is seen", async () => {
  const folder = new MemoryFolder();
  await (await opened(folder)).put(KEY, Buffer.from("body"));
  const file = [...folder.files.values()][0];
  for (let at = 0; at < file.bytes.length; at += 1) {
    const damaged = new MemoryFile(folder);
    damaged.bytes = Buffer.from(file.bytes);
    damaged.bytes[at] ^= 4;
    expect((await recordFile.RecordFile.open(damaged)).has(KEY)).toBe(false);
  }
});

// The fixture was written by the sources of e885a3e, with the records of `HISTORY`: a submission and two answers.
describe("records written by an older build", () => {
  const HISTORY = [
    { key: { digest: "d", item: -1, attempt: 0 }, body: '{"items":[]}' },
    { key: { digest: "d", item: 0, attempt: 1 }, body: "first answer" },
    { key: { digest: "d", item: 1, attempt: 2 }, body: "second answer" },
  ];

  test("are read as they were put", async () => {
    const folder = new MemoryFolder();
    for (const [name, content] of diskFixture.readDiskFixture("batch-records")) {
      const file = (await folder.open(name)) as MemoryFile;
      await file.write(content, 0);
    }
    const read = await opened(folder);
    for (const { key, body } of HISTORY) expect((await read.get(key))?.toString()).toBe(body);
  });

  test("are byte for byte what this build writes", async () => {
    const folder = new MemoryFolder();
    const written = await opened(folder);
    for (const { key, body } of HISTORY) expect(await written.put(key, Buffer.from(body))).toBe(true);
    const contents = new Map([...folder.files].map(([name, { bytes }]) => [name, bytes]));
    expect(contents).toEqual(diskFixture.readDiskFixture("batch-records"));
  });
});
