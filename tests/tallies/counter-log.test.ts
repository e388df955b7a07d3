// The tallies' log on a disk that tears, refuses, drops syncs and loses power: what was durable is read again (design/tallies 5).
import * as fc from "fast-check";
import * as counterState from "../../src/tallies/counter-state.js";
import * as counterLog from "../../src/tallies/counter-log.js";
import * as logRecords from "../../src/tallies/log-records.js";
import type * as types from "../../src/wire/types.js";
import * as simulated from "../sim/disk.js";

const RUNS = 300;

/** Pauses end at once; a life that has ended plays no more of them. */
class EagerWorld implements types.Clock {
  hasEnded = false;
  private drawn = 0;
  now(): types.SteadyMs {
    return 0 as unknown as types.SteadyMs;
  }
  random(): number {
    this.drawn += 1;
    return (this.drawn % 1000) / 1000;
  }
  schedule(_ms: number, run: () => void): types.Timer {
    const handle = setImmediate(() => this.hasEnded || run());
    return { stop: () => clearImmediate(handle) };
  }
}

interface Life {
  operations: number;
  isPowerLost: boolean;
  adds: number;
  rewrites: boolean;
  choices: number[];
}

const anyLife: fc.Arbitrary<Life> = fc.record({
  operations: fc.integer({ min: 1, max: 60 }),
  isPowerLost: fc.boolean(),
  adds: fc.nat(12),
  rewrites: fc.boolean(),
  choices: fc.array(fc.nat(9999), { maxLength: 120 }),
});

/** Adds 1, 2, 3 ... of one stream; `durable`: how many were said to be. */
class Checker {
  durable = 0;

  constructor(private readonly disk: simulated.SimulatedDisk) {}

  async play(life: Life): Promise<void> {
    const world = new EagerWorld();
    const folder = this.disk.mount(life.choices, life.operations);
    await Promise.race([this.live(world, folder, life), folder.cut]);
    world.hasEnded = true;
    void folder.end();
    if (life.isPowerLost) this.disk.losePower();
  }

  private async live(clock: types.Clock, folder: simulated.MountedDisk, life: Life): Promise<void> {
    const opened = await this.open(clock, folder);
    const ledger = new counterState.CounterState();
    for (const record of opened.records) expect(logRecords.applyRecord(ledger, record)).toBe(true);
    expect(ledger.offsetOf("s")).toBeGreaterThanOrEqual(this.durable);
    expect(ledger.total("t")).toBe(ledger.offsetOf("s"));
    await opened.log.start({ beginSnapshot: () => logRecords.snapshotRecords(ledger), endSnapshot: () => undefined });
    this.durable = ledger.offsetOf("s");
    for (let count = 0; count < life.adds; count += 1) {
      const position = ledger.offsetOf("s") + 1;
      const add = { tally: "t", id: String(position), amount: 1, era: 0 };
      ledger.append("s", add);
      await opened.log.append([logRecords.addRecord("s", position, add)]);
      this.durable = position;
      if (life.rewrites && count % 3 === 0) await opened.log.writeSnapshot();
    }
  }

  /** A disk that refuses is opened again, as the store does. */
  private async open(clock: types.Clock, folder: simulated.MountedDisk): ReturnType<typeof counterLog.CounterLog.open> {
    for (;;) {
      const opened = await counterLog.CounterLog.open(clock, folder).catch(() => null);
      if (opened) return opened;
      await new Promise(setImmediate);
    }
  }
}

async function play(lives: readonly Life[], options: simulated.DiskOptions = {}): Promise<void> {
  const checker = new Checker(new simulated.SimulatedDisk(options));
  for (const life of lives) await checker.play(life);
}

const anyHistory = fc.array(anyLife, { minLength: 2, maxLength: 6 });

test("all that was said to be durable is read after any cut, and nothing twice", async () => {
  await fc.assert(
    fc.asyncProperty(anyHistory, (lives) => play(lives)),
    { numRuns: RUNS },
  );
});

test("a disk that loses its syncs is seen by the same histories", async () => {
  const property = fc.asyncProperty(anyHistory, (lives) => play(lives, { losesFileSyncs: true }));
  await expect(fc.assert(property, { numRuns: 5000 })).rejects.toThrow();
});

test("a full disk takes what there is room for, and a stalled one keeps nobody but those who wait for it", async () => {
  const disk = new simulated.SimulatedDisk();
  const world = new EagerWorld();
  const ledger = new counterState.CounterState();
  const { log } = await counterLog.CounterLog.open(world, disk.mount());
  await log.start({ beginSnapshot: () => logRecords.snapshotRecords(ledger), endSnapshot: () => undefined });
  disk.isFull = true;
  const add = { tally: "t", id: "1", amount: 1, era: 0 };
  ledger.append("s", add);
  await log.append([logRecords.addRecord("s", 1, add)]);
  disk.refusal = "EIO";
  let isDurable = false;
  const later = log.append([logRecords.eraRecord(1)]).then(() => (isDurable = true));
  for (let turn = 0; turn < 20; turn += 1) await new Promise(setImmediate);
  expect([isDurable, log.status().error]).toEqual([false, expect.stringContaining("EIO")]);
  disk.refusal = null;
  await later;
  expect(log.status().error).toBe("");
});
