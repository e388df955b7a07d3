// Requests of a round that are sent again: by measured round trips, to who is silent only, and written once (hardening 3).
import * as registers from "../src/register/value.js";
import * as roundTrips from "../src/register/round-trips.js";
import * as round from "../src/register/round.js";
import * as voters from "../src/register/voter.js";
import * as schema from "../src/wire/schema.js";
import * as sim from "./sim/world.js";

const VALUE = registers.firstValue(["a:1", "b:1", "c:1"]);
const BALLOT = { n: 1, by: "one" };
const TRIP_MS = 50;

function granted(voter: schema.Voter): schema.Vote {
  return { isGranted: true, disk: voter.disk, ballot: BALLOT, accepted: null };
}

/** Plays one phase whose requests fare as `fates` says, by voter and sending: a reply, nothing at all, or no link. */
async function play(fates: Record<string, string>, isThorough: boolean): Promise<{ sends: string[]; grants: number; tookMs: number }> {
  const clock = new sim.SimWorld();
  const sends: string[] = [];
  const votes = new round.Votes();
  const known = new roundTrips.RoundTrips();
  for (const voter of VALUE.voters) known.measured(voter.disk, TRIP_MS);
  const quorum = (disks: ReadonlySet<string>): boolean => disks.size >= 2;
  function send(voter: schema.Voter): Promise<schema.Vote | null> {
    const name = voter.address[0];
    const count = sends.filter((sent) => sent.startsWith(name)).length;
    sends.push(`${name}${count + 1}`);
    const fate = fates[name][Math.min(count, fates[name].length - 1)];
    if (fate === "-") return Promise.resolve(null);
    return new Promise((resolve) => {
      if (fate === "+") clock.schedule(TRIP_MS, () => resolve(granted(voter)));
    });
  }
  let tookMs = Infinity;
  const phase = {
    voters: VALUE.voters,
    send,
    votes,
    roundTrips: known,
    isThorough,
    isEnough: () => quorum(votes.granted),
    isPossible: quorum,
  };
  void round.run(clock, phase).then(() => (tookMs = clock.now()));
  await clock.play(3000);
  return { sends, grants: votes.granted.size, tookMs };
}

const ROWS: [string, Record<string, string>, boolean, string[], number][] = [
  ["nothing is sent again where all reply", { a: "+", b: "+", c: "+" }, false, ["a1", "b1", "c1"], TRIP_MS],
  ["a lost request is sent again to who is silent", { a: "+", b: ".+", c: "..." }, false, ["a1", "b1", "c1", "b2", "c2"], 150],
  ["who has no link is not asked again", { a: "+", b: "-", c: "-" }, false, ["a1", "b1", "c1"], 0],
  ["enough votes end the asking", { a: "+", b: "+", c: ".+" }, false, ["a1", "b1", "c1"], TRIP_MS],
  ["a thorough phase asks on behind the scenes", { a: "+", b: "+", c: ".+" }, true, ["a1", "b1", "c1", "c2"], TRIP_MS],
];

test.each(ROWS)("%s", async (_name, fates, isThorough, sends, tookMs) => {
  const found = await play(fates, isThorough);
  expect(found.sends).toEqual(sends);
  expect(found.tookMs).toBeCloseTo(tookMs);
});

test("a voter that stays silent is asked a bounded number of times", async () => {
  const found = await play({ a: "+", b: ".", c: "." }, false);
  expect([found.sends.length, found.grants, found.tookMs]).toEqual([13, 1, 1300]);
});

test("what a voter is asked again changes nothing, is written once, and is answered only once it is written", async () => {
  const writes: ((isKept: boolean) => void)[] = [];
  const keep = {
    write(): Promise<void> {
      return new Promise((resolve, reject) => writes.push((isKept) => (isKept ? resolve() : reject(new Error("disk")))));
    },
  };
  const disk = registers.firstDisk("a:1");
  const voter = new voters.Voter(keep, { disk, promised: registers.NO_BALLOT, accepted: null });
  const replies: string[] = [];
  function ask(name: string, vote: Promise<schema.Vote | null>): void {
    void vote.then((reply) => replies.push(`${name} ${reply ? reply.isGranted : "silent"}`));
  }
  ask("prepare", voter.prepare({ disk, ballot: BALLOT }));
  ask("again", voter.prepare({ disk, ballot: BALLOT }));
  await sim.settle();
  expect([writes.length, replies]).toEqual([1, []]);
  writes[0](false);
  await sim.settle();
  expect(replies).toEqual(["prepare silent", "again silent"]);
  ask("third", voter.prepare({ disk, ballot: BALLOT }));
  await sim.settle();
  writes[1](true);
  await sim.settle();
  ask("fourth", voter.prepare({ disk, ballot: BALLOT }));
  await sim.settle();
  expect([writes.length, replies.slice(2)]).toEqual([2, ["third true", "fourth true"]]);
  const accept = { disk, ballot: BALLOT, isSetChosen: true, value: VALUE };
  ask("accept", voter.accept(accept));
  ask("accept again", voter.accept(accept));
  await sim.settle();
  writes[2](true);
  await sim.settle();
  expect([writes.length, replies.slice(4)]).toEqual([3, ["accept true", "accept again true"]]);
  expect(voter.accepted?.ballot).toEqual(BALLOT);
});
