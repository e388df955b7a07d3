// The voter's files of release 1 are converted on start, wherever the start is cut (hardening 6, section 2.10). The samples
// were written by that release's own code.
import * as fs from "node:fs";
import * as zlib from "node:zlib";
import * as fc from "fast-check";
import * as registerValue from "../../src/register/register-value.js";
import type * as acceptor from "../../src/register/acceptor.js";
import * as conversion from "../../src/store/conversion.js";
import * as simulated from "../sim/disk.js";
import * as diskWorld from "../sim/disk-world.js";

interface Sample {
  files: Record<string, string>;
  shown: { disk: string; promised: { n: number; by: string }; revision: number; epoch: number; orders: { base: number; body: string }[] };
}

function sampleOf(orders: number): Sample {
  return JSON.parse(fs.readFileSync(`tests/fixtures/release-1-voter-${orders}-orders.json`, "utf8")) as Sample;
}

function diskOf(sample: Sample): simulated.SimulatedDisk {
  const disk = new simulated.SimulatedDisk();
  for (const [name, packed] of Object.entries(sample.files)) {
    const content = zlib.inflateSync(Buffer.from(packed, "base64"));
    disk.files.set(name, { durable: content, current: content, unsynced: [], isNameDurable: true });
  }
  return disk;
}

function start(disk: simulated.SimulatedDisk): Promise<acceptor.Acceptor> {
  return diskWorld.startDisk(diskWorld.machineOf(disk.mount()), false).voter;
}

/** Rejects where the files are refused, as they are tried again for ever. */
async function startOrFail(disk: simulated.SimulatedDisk): Promise<acceptor.Acceptor> {
  const started = diskWorld.startDisk(diskWorld.machineOf(disk.mount()), false);
  let voter: acceptor.Acceptor | null = null;
  void started.voter.then((entered) => (voter = entered));
  while (!voter && started.disk.status().state === "opening") await new Promise((resolve) => setImmediate(resolve));
  if (!voter) await started.disk.stop();
  if (!voter) throw new Error(started.disk.status().error);
  return voter;
}

function expectSame(voter: acceptor.Acceptor, { shown }: Sample): void {
  const { value } = voter.accepted!;
  expect([voter.disk, voter.preparedBallot.n, value.revision, value.epoch]).toEqual([
    shown.disk,
    shown.promised.n,
    shown.revision,
    shown.epoch,
  ]);
}

/** Release 1 remembered 32 orders; the base of the oldest is told by the order before it, unless it was the first of all. */
test.each([
  [5, 5],
  [40, 31],
])("%i orders in the files of release 1: the newest %i are acknowledged again", async (orders, remembered) => {
  const sample = sampleOf(orders);
  const voter = await start(diskOf(sample));
  expectSame(voter, sample);
  const { value } = voter.accepted!;
  expect([value.evacuations, registerValue.unpack(value.config)]).toEqual([["north"], JSON.parse(sample.shown.orders[orders - 1].body)]);
  const verdicts = sample.shown.orders.map(({ base, body }) =>
    registerValue.findOrder(value, base, registerValue.digest("replace", String(base), Buffer.from(body))),
  );
  expect(verdicts.filter((verdict) => verdict === "taken")).toHaveLength(remembered);
  expect(verdicts.filter((verdict) => verdict === "forgotten")).toHaveLength(orders - remembered);
});

interface Life {
  operations: number;
  isPowerLost: boolean;
  choices: number[];
}

const anyLife: fc.Arbitrary<Life> = fc.record({
  operations: fc.integer({ min: 1, max: 60 }),
  isPowerLost: fc.boolean(),
  choices: fc.array(fc.nat(9999), { maxLength: 120 }),
});

/** Starts, asks for one promise if it gets so far, and is cut. Whether the promise was answered. */
async function playLife(disk: simulated.SimulatedDisk, life: Life, ballot: number): Promise<boolean> {
  const folder = disk.mount(life.choices, life.operations);
  const machine = diskWorld.machineOf(folder);
  let isAnswered = false;
  async function live(): Promise<void> {
    const voter = await diskWorld.startDisk(machine, false).voter;
    isAnswered = (await diskWorld.prepare(voter, ballot))?.isGranted ?? false;
  }
  await Promise.race([live(), folder.cut]);
  machine.clock.end();
  void folder.end();
  if (life.isPowerLost) disk.losePower();
  return isAnswered;
}

const sample = sampleOf(5);

async function findFault(lives: Life[], lacks: simulated.DiskOptions = {}): Promise<void> {
  const disk = Object.assign(diskOf(sample), { options: lacks });
  let promised = sample.shown.promised.n;
  for (const [index, life] of lives.entries()) {
    const ballot = 2000 + index;
    if (await playLife(disk, life, ballot)) promised = ballot;
  }
  const voter = await startOrFail(disk);
  expect([voter.disk, voter.accepted?.value.revision]).toEqual([sample.shown.disk, sample.shown.revision]);
  expect(voter.preparedBallot.n).toBeGreaterThanOrEqual(promised);
}

test("repeated interruptions at any operation, by a kill or a loss of power, lose nothing of the old record and no acknowledged prepare", async () => {
  const property = fc.asyncProperty(fc.array(anyLife, { minLength: 1, maxLength: 5 }), (lives) => findFault(lives));
  await fc.assert(property, { numRuns: 200, seed: 7919 });
});

/** No operation fails, and a loss of power takes all that was not synced. */
const LOSES_ALL_UNSYNCED: number[] = Array.from({ length: 2000 }, () => 1);
const CUTS = Array.from({ length: 60 }, (_, index) => index + 1);

/** The operations after which a loss of power loses something. */
async function faultyCuts(lacks: simulated.DiskOptions): Promise<number[]> {
  const faulty: number[] = [];
  for (const operations of CUTS) {
    const life = { operations, isPowerLost: true, choices: LOSES_ALL_UNSYNCED };
    await findFault([life], lacks).catch(() => faulty.push(operations));
  }
  return faulty;
}

test("a loss of power at any operation, with all unsynced writes gone, loses nothing", async () => {
  expect(await faultyCuts({})).toEqual([]);
});

test.each([{ losesFileSyncs: true }, { losesFolderSyncs: true }])("the same sweep finds the loss on a disk with %o", async (lacks) => {
  expect((await faultyCuts(lacks)).length).toBeGreaterThan(0);
});

test("the copy is cleared before the voter takes part, and never replaces a damaged set", async () => {
  const disk = diskOf(sample);
  const voter = await start(disk);
  const copy = disk.files.get(conversion.COPY_NAME)!.current;
  expect(copy.equals(Buffer.alloc(copy.length))).toBe(true);
  await diskWorld.prepare(voter, 3000);
  disk.files.delete("register-2");
  const later = await start(disk);
  expect(later.disk).not.toBe(sample.shown.disk);
  expect(later.accepted).toBeNull();
});

test("files of release 1 that are all torn are an error with a remedy, and are left unchanged", async () => {
  const disk = diskOf(sample);
  for (const file of disk.files.values()) {
    file.current = Buffer.from(file.current);
    file.current.writeUInt8(file.current.readUInt8(40) ^ 255, 40);
  }
  const before = [...disk.files.values()].map(({ current }) => Buffer.from(current));
  const { disk: voterDisk } = diskWorld.startDisk(diskWorld.machineOf(disk.mount()), false);
  while (voterDisk.status().state === "opening") await new Promise((resolve) => setImmediate(resolve));
  expect(voterDisk.status().error).toMatch(/format version none/);
  expect([...disk.files.values()].slice(0, before.length).map(({ current }, index) => current.equals(before[index]))).not.toContain(false);
  await voterDisk.stop();
});
