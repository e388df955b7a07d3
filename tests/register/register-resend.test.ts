// Requests of a round that are sent again: by measured round trips, to who is silent only, and written once (hardening 3).
import * as registerValue from "../../src/register/register-value.js";
import * as roundTrips from "../../src/register/round-trips.js";
import * as phase from "../../src/register/phase.js";
import * as acceptor from "../../src/register/acceptor.js";
import * as schema from "../../src/wire/schema.js";
import * as simulatedClock from "../sim/simulated-clock.js";

const VALUE = registerValue.initialValue(["a:1", "b:1", "c:1"]);
const BALLOT = { n: 1, by: "one" };
const TRIP_MS = 50;

function granted(voter: schema.Voter): schema.Vote {
  return { isGranted: true, disk: voter.disk, ballot: BALLOT, accepted: null };
}

/** What becomes of a request: its reply comes, it is lost, or there is no connection. */
type Fate = "replied" | "lost" | "unreachable";

interface PhaseCase {
  title: string;
  /** By voter, the fate of its first, second ... request; the last one repeats. */
  fates: Record<string, Fate[]>;
  continuesAfterQuorum?: boolean;
  /** Voter and count of each request sent, in order. */
  sends: string[];
  tookMs: number;
}

interface PhaseOutcome {
  sends: string[];
  grants: number;
  tookMs: number;
}

async function play({ fates, continuesAfterQuorum = false }: Pick<PhaseCase, "fates" | "continuesAfterQuorum">): Promise<PhaseOutcome> {
  const clock = new simulatedClock.SimulatedClock();
  const sends: string[] = [];
  const votes = new phase.Votes();
  const trips = new roundTrips.RoundTrips();
  for (const voter of VALUE.voters) trips.recordRoundTrip(voter.disk, TRIP_MS);
  const quorum = (disks: ReadonlySet<string>): boolean => disks.size >= 2;
  function send(voter: schema.Voter): Promise<schema.Vote | null> {
    const name = voter.address[0];
    const count = sends.filter((sent) => sent.startsWith(name)).length;
    sends.push(`${name}${count + 1}`);
    const fate = fates[name][Math.min(count, fates[name].length - 1)];
    if (fate === "unreachable") return Promise.resolve(null);
    return new Promise((resolve) => {
      if (fate === "replied") clock.schedule(TRIP_MS, () => resolve(granted(voter)));
    });
  }
  let tookMs = Infinity;
  const options: phase.Phase = {
    voters: VALUE.voters,
    send,
    votes,
    roundTrips: trips,
    continuesAfterQuorum,
    isEnough: () => quorum(votes.granted),
    isPossible: quorum,
  };
  void phase.runPhase(clock, options).then(() => (tookMs = clock.now()));
  await clock.play(3000);
  return { sends, grants: votes.granted.size, tookMs };
}

const CASES: PhaseCase[] = [
  {
    title: "sends nothing again where all voters reply",
    fates: { a: ["replied"], b: ["replied"], c: ["replied"] },
    sends: ["a1", "b1", "c1"],
    tookMs: TRIP_MS,
  },
  {
    title: "sends a lost request again to each silent voter",
    fates: { a: ["replied"], b: ["lost", "replied"], c: ["lost", "lost", "lost"] },
    sends: ["a1", "b1", "c1", "b2", "c2"],
    tookMs: 150,
  },
  {
    title: "sends nothing again to a voter without a connection",
    fates: { a: ["replied"], b: ["unreachable"], c: ["unreachable"] },
    sends: ["a1", "b1", "c1"],
    tookMs: 0,
  },
  {
    title: "stops sending once the votes suffice",
    fates: { a: ["replied"], b: ["replied"], c: ["lost", "replied"] },
    sends: ["a1", "b1", "c1"],
    tookMs: TRIP_MS,
  },
  {
    title: "goes on sending after the quorum where it is told to",
    fates: { a: ["replied"], b: ["replied"], c: ["lost", "replied"] },
    continuesAfterQuorum: true,
    sends: ["a1", "b1", "c1", "c2"],
    tookMs: TRIP_MS,
  },
];

describe("a phase", () => {
  test.each(CASES)("$title", async (phaseCase) => {
    const outcome = await play(phaseCase);
    expect(outcome.sends).toEqual(phaseCase.sends);
    expect(outcome.tookMs).toBeCloseTo(phaseCase.tookMs);
  });

  test("sends a bounded number of requests to a voter that stays silent", async () => {
    const outcome = await play({ fates: { a: ["replied"], b: ["lost"], c: ["lost"] } });
    expect([outcome.sends.length, outcome.grants, outcome.tookMs]).toEqual([13, 1, 1300]);
  });
});

test("an acceptor writes a repeated request once, and replies only once it is durable", async () => {
  const writes: ((isKept: boolean) => void)[] = [];
  const keep = {
    write(): Promise<void> {
      return new Promise((resolve, reject) => writes.push((isKept) => (isKept ? resolve() : reject(new Error("disk")))));
    },
  };
  const disk = registerValue.initialDisk("a:1");
  const voter = new acceptor.Acceptor(keep, { disk, promised: registerValue.NO_BALLOT, accepted: null });
  const replies: string[] = [];
  function ask(name: string, vote: Promise<schema.Vote | null>): void {
    void vote.then((reply) => replies.push(`${name} ${reply ? reply.isGranted : "silent"}`));
  }
  ask("prepare", voter.prepare({ disk, ballot: BALLOT }));
  ask("again", voter.prepare({ disk, ballot: BALLOT }));
  await simulatedClock.settle();
  expect([writes.length, replies]).toEqual([1, []]);
  writes[0](false);
  await simulatedClock.settle();
  expect(replies).toEqual(["prepare silent", "again silent"]);
  ask("third", voter.prepare({ disk, ballot: BALLOT }));
  await simulatedClock.settle();
  writes[1](true);
  await simulatedClock.settle();
  ask("fourth", voter.prepare({ disk, ballot: BALLOT }));
  await simulatedClock.settle();
  expect([writes.length, replies.slice(2)]).toEqual([2, ["third true", "fourth true"]]);
  const accept = { disk, ballot: BALLOT, isSetChosen: true, value: VALUE };
  ask("accept", voter.accept(accept));
  ask("accept again", voter.accept(accept));
  await simulatedClock.settle();
  writes[2](true);
  await simulatedClock.settle();
  expect([writes.length, replies.slice(4)]).toEqual([3, ["accept true", "accept again true"]]);
  expect(voter.accepted?.ballot).toEqual(BALLOT);
});
