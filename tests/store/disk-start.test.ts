// What a voter's disk makes of the files that it finds, and of a disk that refuses (design 5.3, 5.4).
import * as fs from "node:fs/promises";
import * as os from "node:os";
import * as path from "node:path";
import * as log from "../../src/runtime/log.js";
import * as disks from "../../src/control/voters/voter-disk.js";
import * as files from "../../src/store/files.js";
import * as format from "../../src/store/format.js";
import * as dataDirLock from "../../src/store/data-dir-lock.js";
import * as storageRemedies from "../../src/store/storage-remedies.js";
import * as timers from "../../src/runtime/timers.js";
import * as simulated from "../sim/disk.js";
import * as diskWorld from "../sim/disk-world.js";

const FIRST_IDENTITY = `first:${diskWorld.ADDRESS}`;
const RANDOM_IDENTITY = /^disk:/;
const FILE_NAMES = ["register-0", "register-1", "register-2", "register-3"];

function start(disk: simulated.SimulatedDisk, isBootstrap = false): diskWorld.StartedDisk {
  return diskWorld.startDisk(diskWorld.machineOf(disk.mount()), isBootstrap);
}

async function diskWithPromises(count = 6): Promise<simulated.SimulatedDisk> {
  const disk = new simulated.SimulatedDisk();
  const voter = await start(disk, true).voter;
  expect(voter.disk).toBe(FIRST_IDENTITY);
  for (let number = 1; number <= count; number += 1) expect(await diskWorld.prepare(voter, number)).toMatchObject({ isGranted: true });
  return disk;
}

/** The machine's own process table, as another process sees it. */
function processTableOf(current: dataDirLock.ProcessIdentity): dataDirLock.ProcessTable {
  return { ...dataDirLock.systemProcesses, current: () => Promise.resolve(current) };
}

/** Lets the simulated machine go on until a condition holds. */
async function until(condition: () => boolean): Promise<void> {
  for (let steps = 0; steps < 1000 && !condition(); steps += 1) await new Promise((resolve) => setImmediate(resolve));
  expect(condition()).toBe(true);
}

test("a first start syncs each file, the folder and one record; a later one syncs the newest record alone", async () => {
  const disk = new simulated.SimulatedDisk();
  await start(disk).voter;
  expect(disk.syncs).toBe(FILE_NAMES.length + 2);
  await start(disk).voter;
  expect(disk.syncs).toBe(FILE_NAMES.length + 3);
});

test.each(FILE_NAMES)("a set without %s is discarded for a new identity, also where bootstrap is still set", async (name) => {
  const disk = await diskWithPromises();
  disk.files.delete(name);
  const voter = await start(disk, true).voter;
  expect(voter.disk).toMatch(RANDOM_IDENTITY);
  expect((await start(disk, true).voter).disk).toBe(voter.disk);
});

test.each(FILE_NAMES)("a set with %s of another set is discarded", async (name) => {
  const disk = await diskWithPromises();
  const other = await diskWithPromises();
  disk.files.set(name, other.files.get(name)!);
  expect((await start(disk, true).voter).disk).toMatch(RANDOM_IDENTITY);
});

test("a set with two files exchanged is discarded", async () => {
  const disk = await diskWithPromises();
  const [first, second] = [disk.files.get("register-0")!, disk.files.get("register-1")!];
  disk.files.set("register-0", second).set("register-1", first);
  expect((await start(disk, true).voter).disk).toMatch(RANDOM_IDENTITY);
});

test("a new set over an old one never reads the old one's records, wherever its creation is interrupted", async () => {
  for (let operations = 1; operations < 40; operations += 1) {
    const disk = await diskWithPromises();
    disk.files.delete("register-2");
    const folder = disk.mount([], operations);
    const machine = diskWorld.machineOf(folder);
    const identity = await Promise.race([diskWorld.startDisk(machine, true).voter, folder.cut]);
    machine.clock.end();
    void folder.end();
    disk.losePower();
    const found = (await start(disk, true).voter).disk;
    expect(found).toMatch(RANDOM_IDENTITY);
    if (identity) expect(found).toBe(identity.disk);
  }
});

test("a full disk takes a record up to twice as large as the last one", async () => {
  const disk = new simulated.SimulatedDisk();
  const voter = await start(disk).voter;
  expect(await diskWorld.accept(voter, 1, 100_000)).toMatchObject({ isGranted: true });
  await until(() => disk.files.get("register-3")!.unsynced.length === 0 && disk.files.get("register-3")!.current.length > 200_000);
  disk.isFull = true;
  expect(await diskWorld.accept(voter, 2, 190_000)).toMatchObject({ isGranted: true });
  expect(await diskWorld.accept(voter, 3, 190_000)).toBeNull();
  disk.isFull = false;
  expect(await diskWorld.accept(voter, 4, 190_000)).toMatchObject({ isGranted: true });
});

test("a disk that refuses writes makes a silent voter, reported once, that votes again by itself", async () => {
  const written = jest.spyOn(process.stdout, "write").mockReturnValue(true);
  function linesOfTheDisk(): string[] {
    log.flushNow();
    const text = written.mock.calls.map(([chunk]) => String(chunk)).join("");
    return text.split("\n").filter((line) => line.includes("data_dir"));
  }
  const disk = new simulated.SimulatedDisk();
  const { disk: voterDisk, voter: opened } = start(disk);
  const voter = await opened;
  expect(voterDisk.status()).toEqual({ state: "ready", error: "", waitingMs: 0 });
  linesOfTheDisk();
  written.mockClear();
  disk.refusal = "ENOSPC";
  for (let number = 1; number < 9; number += 1) expect(await diskWorld.prepare(voter, number)).toBeNull();
  expect(voterDisk.status()).toMatchObject({ state: "refusing", error: expect.stringMatching(/ENOSPC.*free space/) });
  expect(linesOfTheDisk()).toEqual([expect.stringMatching(/ENOSPC.*free space.*does not vote/)]);
  disk.refusal = null;
  await until(() => voterDisk.status().state === "ready");
  expect(linesOfTheDisk()).toHaveLength(2);
  expect(await diskWorld.prepare(voter, 9)).toMatchObject({ isGranted: true });
  written.mockRestore();
});

test("a disk that refuses at the start is retried until it is open", async () => {
  const disk = new simulated.SimulatedDisk();
  disk.refusal = "EIO";
  const { disk: voterDisk, voter } = start(disk, true);
  await until(() => voterDisk.status().state === "refusing");
  expect(voterDisk.status().error).toMatch(/EIO.*replace it/);
  disk.refusal = null;
  expect((await voter).disk).toBe(FIRST_IDENTITY);
});

test("a disk that hangs blocks neither the start nor the shutdown of the node", async () => {
  const disk = new simulated.SimulatedDisk();
  disk.isHanging = true;
  const { disk: voterDisk } = start(disk);
  expect(voterDisk.status().state).toBe("opening");
  await until(() => voterDisk.status().state === "hanging");
  expect(voterDisk.status().waitingMs).toBeGreaterThanOrEqual(disks.HANG_AFTER_MS);
  await voterDisk.stop();
});

function contentWith(change: (bytes: Buffer) => void, at: number): (disk: simulated.SimulatedDisk) => void {
  return function spoil(disk) {
    const file = disk.files.get("register-1")!;
    file.current = Buffer.from(file.current);
    change(file.current.subarray(at));
  };
}

test.each([
  ["a later format", contentWith((bytes) => bytes.writeUInt8(2, 4), 0), /format version 2, this release reads 1; start the release/],
  ["the format without a version", contentWith((bytes) => bytes.writeUInt32BE(0x43574e44, 0), 0), /format version none/],
  ["another layout of the record", otherLayout, /layout of another release; start the release/],
])("files of %s are an error that names the remedy, and are left as they are", async function unknown(_what, spoil, message) {
  const disk = await diskWithPromises();
  spoil(disk);
  const before = FILE_NAMES.map((name) => Buffer.from(disk.files.get(name)!.current));
  const { disk: voterDisk } = start(disk, true);
  await until(() => voterDisk.status().state === "refusing");
  expect(voterDisk.status().error).toMatch(message);
  expect(FILE_NAMES.map((name, index) => disk.files.get(name)!.current.equals(before[index]))).toEqual([true, true, true, true]);
  await voterDisk.stop();
});

/** Gives the newest record, the seventh, another layout with a checksum that fits. */
function otherLayout(disk: simulated.SimulatedDisk): void {
  const file = disk.files.get("register-3")!;
  const record = format.decodeRecord(file.current.subarray(format.RECORD_OFFSET))!;
  expect(record.number).toBe(7);
  file.current = Buffer.from(file.current);
  format.encodeRecord({ ...record, layout: record.layout + 1 }).copy(file.current, format.RECORD_OFFSET);
}

describe("on the machine's own disk", () => {
  let folder = "";

  beforeEach(async function make() {
    folder = await fs.mkdtemp(path.join(os.tmpdir(), "cranewind-disk-"));
  });

  afterEach(async function remove() {
    await fs.rm(folder, { recursive: true });
  });

  function machineOf(name: string, processes = dataDirLock.systemProcesses): disks.Machine {
    return { clock: new timers.SystemClock(), folder: new files.LocalFolder(name), processes };
  }

  test("a data_dir that is a file is reported with its remedy, and is used once it is a folder", async () => {
    const name = path.join(folder, "data");
    await fs.writeFile(name, "");
    const { disk, voter } = diskWorld.startDisk(machineOf(name), true);
    while (disk.status().state === "opening") await new Promise((resolve) => setImmediate(resolve));
    expect(disk.status()).toMatchObject({ state: "refusing", error: expect.stringMatching(/file: name a folder/) });
    await fs.rm(name);
    expect((await voter).disk).toBe(FIRST_IDENTITY);
    await disk.stop();
  });

  test("missing parent folders are created, and a second process is told which process uses the folder", async () => {
    const name = path.join(folder, "a", "b", "data");
    const first = diskWorld.startDisk(machineOf(name), true);
    const voter = await first.voter;
    expect(await diskWorld.prepare(voter, 1)).toMatchObject({ isGranted: true });
    const other = processTableOf({ boot: "b", pid: process.pid + 1, startTicks: "1" });
    const second = diskWorld.startDisk(machineOf(name, other), true);
    while (second.disk.status().state === "opening") await new Promise((resolve) => setImmediate(resolve));
    expect(second.disk.status().error).toMatch(new RegExp(`in use by process ${process.pid}; stop that process`));
    await second.disk.stop();
    await first.disk.stop();
  });

  test("the lock of a process that has ended is void", async () => {
    const ghost = processTableOf({ boot: "b", pid: process.pid, startTicks: "1" });
    const before = diskWorld.startDisk(machineOf(folder, ghost), true);
    await before.voter;
    await before.disk.stop();
    const other = processTableOf({ boot: "b", pid: process.pid + 1, startTicks: "2" });
    const after = diskWorld.startDisk(machineOf(folder, other), false);
    expect((await after.voter).disk).toBe(FIRST_IDENTITY);
    await after.disk.stop();
  });
});

test.each([
  ["EACCES", /let the user of this process read and write data_dir/],
  ["ENOTDIR", /name a folder/],
  ["EROFS", /writable/],
  ["ELSE", /look at the disk of data_dir/],
])("a failure with the code %s is reported with a remedy", function remedy(code, message) {
  expect(storageRemedies.describeFailure(Object.assign(new Error("no"), { code }))).toMatch(message);
});
