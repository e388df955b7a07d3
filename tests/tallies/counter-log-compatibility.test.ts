// The log of the tallies stays the same from build to build. The fixture was written by the sources of e885a3e, with the
// history of `writeHistory` (design/tallies 5).
import * as counterState from "../../src/tallies/counter-state.js";
import * as counterLog from "../../src/tallies/counter-log.js";
import * as logRecords from "../../src/tallies/log-records.js";
import * as simulated from "../sim/disk.js";
import * as diskFixture from "../support/disk-fixture.js";
import * as simulatedClock from "../sim/simulated-clock.js";

const FIXTURE = diskFixture.readDiskFixture("tallies-log");
const SEED = 7;

/** A store, an era and five adds, with a snapshot after the third. */
async function writeHistory(disk: simulated.SimulatedDisk): Promise<void> {
  const state = new counterState.CounterState();
  const { log } = await counterLog.CounterLog.open(new simulatedClock.SimulatedClock(SEED), disk.mount());
  await log.start({ beginSnapshot: () => logRecords.snapshotRecords(state), endSnapshot: () => undefined });
  await log.append([logRecords.storeRecord("s"), logRecords.completeRecord(), logRecords.eraRecord(2)]);
  for (let offset = 1; offset <= 5; offset += 1) {
    const add = { tally: offset % 2 === 0 ? "reviews" : "drafts", id: `id-${offset}`, amount: offset * 10, era: 2 };
    state.append("s", add);
    await log.append([logRecords.addRecord("s", offset, add)]);
    if (offset === 3) await log.writeSnapshot();
  }
}

describe("a log of tallies written by an older build", () => {
  test("is read with all its totals", async () => {
    const disk = new simulated.SimulatedDisk();
    for (const [name, content] of FIXTURE) disk.files.set(name, { durable: content, current: content, unsynced: [], isNameDurable: true });
    const { records } = await counterLog.CounterLog.open(new simulatedClock.SimulatedClock(SEED), disk.mount());
    const state = new counterState.CounterState();
    for (const record of records) logRecords.applyRecord(state, record);
    expect([state.offsetOf("s"), state.total("drafts"), state.total("reviews")]).toEqual([5, 90, 60]);
  });

  test("is byte for byte what this build writes for the same history", async () => {
    const disk = new simulated.SimulatedDisk();
    await writeHistory(disk);
    expect([...disk.files.keys()]).toEqual([...FIXTURE.keys()]);
    for (const [name, { durable }] of disk.files) expect([name, durable.equals(FIXTURE.get(name)!)]).toEqual([name, true]);
  });
});
