// Notes of opened slots: whole or nothing, and what a new life may conclude from one (design/tenants 4.3).
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as slotNote from "../src/control/leases/slot-note.js";
import * as registerValue from "../src/register/register-value.js";
import * as files from "../src/store/files.js";
import * as quotaTenure from "../src/tenants/quota-tenure.js";
import type * as schema from "../src/wire/schema.js";
import * as types from "../src/wire/types.js";
import * as sim from "./sim/world.js";

const NOTE: slotNote.Note = { disk: "d1", epoch: 3, slot: 1, slots: 5 };
let folder: string;

beforeEach(() => (folder = fs.mkdtempSync(path.join(os.tmpdir(), "cranewind-note-"))));
afterEach(() => fs.rmSync(folder, { recursive: true }));

async function keep(note: slotNote.Note): Promise<void> {
  const notes = new slotNote.SlotNote(new files.LocalFolder(folder));
  await notes.read();
  notes.keep(note);
  const file = path.join(folder, "quota-slot");
  while (!fs.readFileSync(file, "utf8").includes(`"epoch":${note.epoch},`)) await new Promise(setImmediate);
}

test("a note comes back whole, and a shorter one leaves nothing of a longer one", async () => {
  expect(await new slotNote.SlotNote(new files.LocalFolder(folder)).read()).toBeNull();
  await keep({ ...NOTE, epoch: 123456, disk: "a-much-longer-name-of-a-disk" });
  await keep(NOTE);
  expect(await new slotNote.SlotNote(new files.LocalFolder(folder)).read()).toEqual(NOTE);
});

test("a torn note is none", async () => {
  await keep(NOTE);
  const file = path.join(folder, "quota-slot");
  const bytes = fs.readFileSync(file);
  for (const length of [0, 1, 44, 60, 85]) expect(slotNote.parse(bytes.subarray(0, length))).toBeNull();
  const mixed = Buffer.from(bytes);
  mixed.write("9", bytes.indexOf('"epoch":') + 8);
  expect(slotNote.parse(mixed)).toBeNull();
  fs.writeFileSync(file, "not a note");
  expect(await new slotNote.SlotNote(new files.LocalFolder(folder)).read()).toBeNull();
});

function valueOf(voterEpoch: number, disks: string[]): schema.Value {
  const voters = disks.map((disk) => ({ disk, node: disk, address: disk }));
  return { ...registerValue.initialValue([]), voterEpoch: types.small(voterEpoch), voters };
}

const FIVE = ["d0", "d1", "d2", "d3", "d4"];

/** When a life that starts at 10 s, and at once knows this value, opens its slot; -1: it has none. */
function opens(value: schema.Value, note: slotNote.Note | null): number {
  const clock = new sim.SimWorld();
  clock.skip(10_000);
  const tenure = new quotaTenure.QuotaTenure(clock, { fenceMs: 4000, maxLeaseMs: 300 });
  tenure.applyValue(value, "d1");
  if (note) tenure.restore(note.disk, types.small(note.epoch), note);
  return tenure.slot < 0 ? -1 : tenure.openAt - 10_000;
}

test.each<[string, schema.Value, slotNote.Note | null, number]>([
  ["no note: the fence is waited out", valueOf(3, FIVE), null, 4500],
  ["a note of this epoch: only the former life's units", valueOf(3, FIVE), NOTE, 500],
  ["of the epoch before, with a place in both", valueOf(4, ["d9", "d1", "d2", "d3"]), NOTE, 500],
  ["of two epochs before", valueOf(5, FIVE), NOTE, 4500],
  ["of a later epoch than the known one", valueOf(2, FIVE), NOTE, 4500],
  ["of another disk", valueOf(3, FIVE), { ...NOTE, disk: "d7" }, 4500],
  ["no place among the voters any more", valueOf(4, ["d0", "d2", "d3"]), NOTE, -1],
])("%s", (_name, value, note, afterMs) => {
  expect(opens(value, note)).toBe(afterMs);
});

test("after another number of voters the former place binds until whoever left has stopped", () => {
  const clock = new sim.SimWorld();
  const tenure = new quotaTenure.QuotaTenure(clock, { fenceMs: 4000, maxLeaseMs: 300 });
  tenure.applyValue(valueOf(4, ["d1", "d2", "d3", "d4"]), "d1");
  tenure.restore("d1", types.small(3), NOTE);
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
