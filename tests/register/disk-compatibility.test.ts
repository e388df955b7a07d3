// The voter's files stay the same from build to build: an upgrade and a rollback open what the other build wrote. The
// fixture was written by the sources of e885a3e, with the history of `writeHistory` (design 5.3).
import * as fs from "node:fs";
import * as zlib from "node:zlib";
import * as voterDisk from "../../src/control/voters/voter-disk.js";
import * as acceptor from "../../src/register/acceptor.js";
import * as registerValue from "../../src/register/register-value.js";
import * as recordRing from "../../src/store/record-ring.js";
import * as schema from "../../src/wire/schema.js";
import * as simulated from "../sim/disk.js";
import * as diskWorld from "../sim/disk-world.js";

interface Fixture {
  /** The packed configuration of the history: how well it is compressed is up to the version of zlib. */
  config: string;
  /** By name: the deflated content in base64. */
  files: Record<string, string>;
}

const FIXTURE = JSON.parse(fs.readFileSync("tests/fixtures/register-voter-disk.json", "utf8")) as Fixture;
const SET_ID = Buffer.from("000102030405060708090a0b0c0d0e0f", "hex");
const IDENTITY = `first:${diskWorld.ADDRESS}`;
const SEEDS = [diskWorld.ADDRESS, "10.0.0.2:7000", "10.0.0.3:7000"];
const CONFIG = Buffer.from(FIXTURE.config, "base64");
const REPLACEMENT: schema.Voter = { disk: "disk:replacement", node: "control-4", address: "10.0.0.4:7000" };
const LAST_ACCEPTED: schema.Ballot = { n: 3, by: "proposer-1" };
const LAST_PREPARED: schema.Ballot = { n: 12, by: "proposer-2" };

function contentsOfFixture(): Map<string, Buffer> {
  return new Map(Object.entries(FIXTURE.files).map(([name, packed]) => [name, zlib.inflateSync(Buffer.from(packed, "base64"))]));
}

function diskOfFixture(): simulated.SimulatedDisk {
  const disk = new simulated.SimulatedDisk();
  for (const [name, content] of contentsOfFixture()) {
    disk.files.set(name, { durable: content, current: content, unsynced: [], isNameDurable: true });
  }
  return disk;
}

/** An order, an evacuation and a joint change of voters. */
function valuesOfHistory(): schema.Value[] {
  const initial = registerValue.initialValue(SEEDS);
  const configured = registerValue.withConfig(initial, 7, CONFIG, "order 1");
  const evacuated = registerValue.withEvacuation(configured, "north", true);
  const joint = registerValue.withVoters(evacuated, [...initial.voters.slice(0, 2), REPLACEMENT]);
  return [configured, evacuated, joint];
}

/** A first start, a prepare and an accept for each value, and a prepare of another proposer. */
async function writeHistory(disk: simulated.SimulatedDisk): Promise<void> {
  const { ring } = await recordRing.RecordRing.open(disk.mount(), { layout: voterDisk.recordLayout(), newSetId: () => SET_ID });
  const accepted = { ballot: registerValue.NO_BALLOT, value: registerValue.initialValue(SEEDS) };
  const blank: schema.Disk = { disk: registerValue.initialDisk(diskWorld.ADDRESS), promised: registerValue.NO_BALLOT, accepted };
  await ring.write(schema.disk.toBuffer(blank));
  const voter = new acceptor.Acceptor(ring, blank);
  for (const [index, value] of valuesOfHistory().entries()) {
    const ballot = { n: index + 1, by: LAST_ACCEPTED.by };
    expect(await voter.prepare({ disk: IDENTITY, ballot })).toMatchObject({ isGranted: true });
    expect(await voter.accept({ disk: IDENTITY, ballot, isSetChosen: true, value })).toMatchObject({ isGranted: true });
  }
  expect(await voter.prepare({ disk: IDENTITY, ballot: LAST_PREPARED })).toMatchObject({ isGranted: true });
  await ring.close();
}

describe("files of a voter written by an older build", () => {
  test("are opened with the same identity, ballots and value", async () => {
    const { voter: opening } = diskWorld.startDisk(diskWorld.machineOf(diskOfFixture().mount()), false);
    const voter = await opening;
    expect(voter.disk).toBe(IDENTITY);
    expect({ ...voter.preparedBallot }).toEqual(LAST_PREPARED);
    expect({ ...voter.accepted!.ballot }).toEqual(LAST_ACCEPTED);
    const { value } = voter.accepted!;
    const joint = valuesOfHistory()[2];
    expect(JSON.parse(JSON.stringify(value))).toEqual(JSON.parse(JSON.stringify(joint)));
    expect([value.revision, value.evacuations, value.former.length]).toEqual([7, ["north"], 3]);
    expect(registerValue.unpack(value.config)).toEqual({ routes: [{ name: "chat", service: "large" }], services: [{ name: "large" }] });
    expect(registerValue.findOrder(value, 0, "order 1")).toBe("taken");
    expect(registerValue.findOrder(value, 0, "order 2")).toBe("not_taken");
  });

  test("are byte for byte what this build writes for the same history", async () => {
    const disk = new simulated.SimulatedDisk();
    await writeHistory(disk);
    const expected = contentsOfFixture();
    expect([...disk.files.keys()]).toEqual([...expected.keys()]);
    for (const [name, { durable }] of disk.files) expect([name, durable.equals(expected.get(name)!)]).toEqual([name, true]);
  });
});
