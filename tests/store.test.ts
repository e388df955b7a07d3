// The ring of files under torn and failed writes (design 5.3), and the settings file (design 2.1).
import * as format from "../src/store/format.js";
import * as recordRing from "../src/store/record-ring.js";
import type * as files from "../src/store/files.js";
import * as settings from "../src/settings/settings.js";

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
  /** Bytes of a record without its padding: a torn write ends in the middle of them. */
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

async function newest(disk: SimDisk): Promise<string | null> {
  const { fault } = disk;
  disk.fault = "none";
  const found = (await openRing(disk)).newestBody?.toString() ?? null;
  disk.fault = fault;
  return found;
}

test.each(["fails", "torn"] as const)("a write that %s, however often, leaves the newest whole record", async function faults(fault) {
  const disk = new SimDisk();
  const { ring: kept } = await openRing(disk);
  for (let turn = 0; turn < 7; turn += 1) {
    await kept.write(Buffer.from(`record ${turn}`));
    disk.fault = fault;
    for (let again = 0; again < 6; again += 1) await expect(kept.write(Buffer.from(`lost ${turn}`))).rejects.toThrow();
    disk.fault = "none";
    expect(await newest(disk)).toBe(`record ${turn}`);
  }
});

test("a torn record at start is passed over, and the next write goes elsewhere than the newest", async function torn() {
  const disk = new SimDisk();
  const { ring: kept } = await openRing(disk);
  await kept.write(Buffer.from("one"));
  disk.fault = "torn";
  await expect(kept.write(Buffer.from("two"))).rejects.toThrow();
  disk.fault = "none";
  const { ring: again, newestBody: found } = await openRing(disk);
  expect(found!.toString()).toBe("one");
  disk.fault = "torn";
  await expect(again.write(Buffer.from("three"))).rejects.toThrow();
  expect(await newest(disk)).toBe("one");
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
  expect(await newest(new SimDisk())).toBeNull();
});

const GOOD = [
  "node_name=n-1",
  "ip_address=10.0.0.1",
  "zone=z.1",
  "region=r",
  "zones.z.1=r",
  "internal_port_range=7000,7015",
  "seed_nodes=10.0.0.1:80, 10.0.0.2:80",
  "bootstrap=true",
  "failure_counted=false",
  "limits.memory_mb=100",
  "limits.max_open_files=500",
  "cloud_api.address=10.0.0.9:80",
  "later.field=1",
  "# a comment",
  "",
];

test("settings: unknown fields are ignored, defaults fill in, zone names may hold dots", function good() {
  const read = settings.parse(GOOD.join("\n")).unwrapOr(null)!;
  expect(read.zones).toEqual({ "z.1": "r" });
  expect(read.seed_nodes).toEqual(["10.0.0.1:80", "10.0.0.2:80"]);
  expect(read.bounds.grace_s).toBe(8);
});

test.each([
  ["node_name=n-1", "node_name=", /node_name/],
  ["seed_nodes=10.0.0.1:80, 10.0.0.2:80", "seed_nodes=x", /seed_nodes/],
  ["bootstrap=true", "bootstrap=maybe", /bootstrap/],
  ["limits.memory_mb=100", "limits.memory_mb=-1", /memory_mb/],
  ["internal_port_range=7000,7015", "internal_port_range=7000", /internal_port_range/],
  ["# a comment", "no equals", /line 14.*key=value/],
  ["cloud_api.address=10.0.0.9:80", "cloud_api.address=nowhere", /cloud_api/],
])("settings: %s as %j is named with a remedy", function bad(line, instead, message) {
  const read = settings.parse(GOOD.join("\n").replace(line, instead));
  expect(read.isErr && read.error.message).toMatch(message);
});
