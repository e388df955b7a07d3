// Records of opened slots: complete or absent, and what a new incarnation may conclude from one (design/tenants 4.3).
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as slotRecord from "../../src/control/leases/slot-record.js";
import * as registerValue from "../../src/register/register-value.js";
import * as files from "../../src/store/files.js";
import * as quotaTenure from "../../src/tenants/quota-tenure.js";
import type * as schema from "../../src/wire/schema.js";
import * as types from "../../src/wire/types.js";
import * as simulatedClock from "../sim/simulated-clock.js";

const RECORD: slotRecord.SlotRecord = { disk: "d1", epoch: 3, slot: 1, slots: 5 };
let folder: string;

beforeEach(() => (folder = fs.mkdtempSync(path.join(os.tmpdir(), "cranewind-slot-record-"))));
afterEach(() => fs.rmSync(folder, { recursive: true }));

async function save(record: slotRecord.SlotRecord): Promise<void> {
  const file = new slotRecord.SlotRecordFile(new files.LocalFolder(folder));
  await file.read();
  file.save(record);
  const name = path.join(folder, "quota-slot");
  while (!fs.readFileSync(name, "utf8").includes(`"epoch":${record.epoch},`)) await new Promise(setImmediate);
}

test("a record is read as it was saved, and a shorter one leaves nothing of a longer one", async () => {
  expect(await new slotRecord.SlotRecordFile(new files.LocalFolder(folder)).read()).toBeNull();
  await save({ ...RECORD, epoch: 123456, disk: "a-much-longer-name-of-a-disk" });
  await save(RECORD);
  expect(await new slotRecord.SlotRecordFile(new files.LocalFolder(folder)).read()).toEqual(RECORD);
});

test("a torn record is read as none", async () => {
  await save(RECORD);
  const file = path.join(folder, "quota-slot");
  const bytes = fs.readFileSync(file);
  for (const length of [0, 1, 44, 60, 85]) expect(slotRecord.parse(bytes.subarray(0, length))).toBeNull();
  const mixed = Buffer.from(bytes);
  mixed.write("9", bytes.indexOf('"epoch":') + 8);
  expect(slotRecord.parse(mixed)).toBeNull();
  fs.writeFileSync(file, "not a record");
  expect(await new slotRecord.SlotRecordFile(new files.LocalFolder(folder)).read()).toBeNull();
});

function valueOf(voterEpoch: number, disks: string[]): schema.Value {
  const voters = disks.map((disk) => ({ disk, node: disk, address: disk }));
  return { ...registerValue.initialValue([]), voterEpoch: types.small(voterEpoch), voters };
}

const FIVE = ["d0", "d1", "d2", "d3", "d4"];

/** How long after its start a node that knows this value at once opens its slot, in ms; -1: it has none. */
function openDelayMs(value: schema.Value, record: slotRecord.SlotRecord | null): number {
  const clock = new simulatedClock.SimulatedClock();
  clock.skip(10_000);
  const tenure = new quotaTenure.QuotaTenure(clock, { fenceMs: 4000, maxLeaseMs: 300 });
  tenure.applyValue(value, "d1");
  if (record) tenure.restore(record.disk, types.small(record.epoch), record);
  return tenure.slot < 0 ? -1 : tenure.openAt - 10_000;
}

test.each<[string, schema.Value, slotRecord.SlotRecord | null, number]>([
  ["no record: the fence is waited out", valueOf(3, FIVE), null, 4500],
  ["a record of this epoch: only the previous incarnation's units are waited for", valueOf(3, FIVE), RECORD, 500],
  ["of the epoch before, with a slot in both", valueOf(4, ["d9", "d1", "d2", "d3"]), RECORD, 500],
  ["of two epochs before", valueOf(5, FIVE), RECORD, 4500],
  ["of a later epoch than the known one", valueOf(2, FIVE), RECORD, 4500],
  ["of another disk", valueOf(3, FIVE), { ...RECORD, disk: "d7" }, 4500],
  ["no slot among the voters any more", valueOf(4, ["d0", "d2", "d3"]), RECORD, -1],
])("the slot opens after a restart: %s", (_name, value, record, delayMs) => {
  expect(openDelayMs(value, record)).toBe(delayMs);
});

test("after another number of voters the former slot counts until whoever left has stopped", () => {
  const clock = new simulatedClock.SimulatedClock();
  const tenure = new quotaTenure.QuotaTenure(clock, { fenceMs: 4000, maxLeaseMs: 300 });
  tenure.applyValue(valueOf(4, ["d1", "d2", "d3", "d4"]), "d1");
  tenure.restore("d1", types.small(3), RECORD);
  clock.skip(1000);
  expect(tenure.places()).toEqual([
    { slot: 0, slots: 4 },
    { slot: 1, slots: 5 },
  ].map((place) => expect.objectContaining(place))); // prettier-ignore
  expect(tenure.isSettledIn()).toBe(false);
  clock.skip(3600);
  expect(tenure.places()).toHaveLength(1);
  expect(tenure.isSettledIn()).toBe(true);
});
