// Joint sets of voters that may never have been chosen: nothing may be concluded from them (design 5.5,
// hardening 0).
import * as result from "true-myth/result";
import * as errors from "../../src/runtime/errors.js";
import * as voterPolicy from "../../src/control/voters/voter-policy.js";
import * as proposer from "../../src/register/proposer.js";
import type * as registerStep from "../../src/register/register-step.js";
import * as registerValue from "../../src/register/register-value.js";
import * as acceptor from "../../src/register/acceptor.js";
import * as schema from "../../src/wire/schema.js";
import * as simRegister from "../sim/sim-register.js";
import * as simulatedClock from "../sim/simulated-clock.js";

const ADDRESSES = ["a:1", "b:1", "c:1"];
type Nodes = Record<"a" | "b" | "c" | "d" | "e", simRegister.SimNode>;

interface Made {
  clock: simulatedClock.SimulatedClock;
  made: simRegister.SimRegister;
  nodes: Nodes;
}

/** Voters a, b and c hold revision 1; d and e have blank disks. */
async function start(seed: number): Promise<Made> {
  const clock = new simulatedClock.SimulatedClock(seed);
  const made = new simRegister.SimRegister(clock, ADDRESSES);
  const [a, b, c] = [...made.nodes.values()];
  await ended(clock, a.proposer.change(setTo(0, 1, "first"), 3000));
  await clock.play(1000);
  return { clock, made, nodes: { a, b, c, d: made.join("d:1"), e: made.join("e:1") } };
}

function setTo(base: number, revision: number, orderId: string): registerStep.Step {
  return function step(value): result.Result<schema.Value, errors.CranewindError> {
    if (value.revision !== base) return result.err(new errors.RevisionConflictError("another revision", "read again"));
    return result.ok(registerValue.withConfig(value, revision, Buffer.from(orderId), orderId));
  };
}

function unchanged(value: schema.Value): registerStep.Outcome {
  return result.ok(value);
}

async function ended<T>(clock: simulatedClock.SimulatedClock, promise: Promise<T>): Promise<T> {
  let isEnded = false;
  void promise.finally(() => {
    isEnded = true;
  });
  for (let spent = 0; !isEnded && spent < 30_000; spent += 50) await clock.play(50);
  if (!isEnded) throw new Error("not ended in time");
  return promise;
}

function voterOf(node: simRegister.SimNode): schema.Voter {
  return { disk: node.voter!.disk, node: node.address, address: node.address };
}

function valueAt(node: simRegister.SimNode): schema.Value {
  return node.voter!.accepted!.value;
}

/** A proposer prepares at all former voters and ends once its accept has reached one voter alone. */
async function acceptAlone(all: Made, node: simRegister.SimNode, value: schema.Value, isSetChosen = false): Promise<schema.Vote> {
  const { a, b, c } = all.nodes;
  const ballot = { n: Math.max(...[a, b, c].map(ballotAt)) + 1, by: "lost" };
  for (const { voter } of [a, b, c]) await ended(all.clock, voter!.prepare({ disk: voter!.disk, ballot }));
  return (await ended(all.clock, node.voter!.accept({ disk: node.voter!.disk, ballot, isSetChosen, value })))!;
}

function ballotAt(node: simRegister.SimNode): number {
  return acceptor.Acceptor.restore(node.stored!).promised.n;
}

function split({ made }: Made, left: simRegister.SimNode[], right: simRegister.SimNode[]): void {
  for (const one of left) {
    for (const other of right) {
      made.cuts.add(`${one.address}>${other.address}`);
      made.cuts.add(`${other.address}>${one.address}`);
    }
  }
}

/** A proposer of the node whose accepts reach the node itself alone. */
function lonelyProposer({ clock, made }: Made, node: simRegister.SimNode): proposer.Proposer {
  const reach = made.reach(node);
  function accept(voter: schema.Voter, ask: schema.Accept): Promise<schema.Vote | null> {
    return voter.address === node.address ? reach.accept(voter, ask) : Promise.resolve(null);
  }
  return new proposer.Proposer(clock, "late", { prepare: reach.prepare, accept }, made.first, () => undefined);
}

test.each([1, 2, 3, 4, 5, 6])("a late settle step never lets two changes be confirmed on one base (seed %d)", async (seed) => {
  const all = await start(seed);
  const { a, b, c, d } = all.nodes;
  const joint = registerValue.withVoters(valueAt(b), [d, b, c].map(voterOf));
  expect((await acceptAlone(all, b, joint)).isGranted).toBe(true);
  await ended(all.clock, lonelyProposer(all, b).change(voterPolicy.leaveJointStep(joint), 1000));
  expect(valueAt(b).former).toHaveLength(3);
  split(all, [b, d], [a, c]);
  const [left, right] = await ended(
    all.clock,
    Promise.all([b.proposer.change(setTo(1, 2, "left"), 5000), a.proposer.change(setTo(1, 3, "right"), 5000)]),
  );
  expect([left.isOk, right.isOk].filter(Boolean).length).toBeLessThan(2);
});

test("a voter rejects new voters without the former ones unless both sets were chosen together", async () => {
  const all = await start(7);
  const { b, c, d } = all.nodes;
  const joint = registerValue.withVoters(valueAt(b), [d, b, c].map(voterOf));
  await acceptAlone(all, b, joint);
  expect((await acceptAlone(all, b, registerValue.withoutFormerVoters(joint))).isGranted).toBe(false);
  expect(valueAt(b)).toEqual(joint);
  expect((await acceptAlone(all, c, registerValue.withoutFormerVoters(joint))).isGranted).toBe(false);
  expect((await acceptAlone(all, b, registerValue.withoutFormerVoters(joint), true)).isGranted).toBe(true);
});

test("a settle step leaves another joint set of the same voter epoch alone", async () => {
  const all = await start(8);
  const { b, c, d, e } = all.nodes;
  const meant = registerValue.withVoters(valueAt(b), [d, b, c].map(voterOf));
  const stands = registerValue.withVoters(valueAt(b), [e, b, c].map(voterOf));
  expect(voterPolicy.leaveJointStep(meant)(stands).unwrapOr(null)).toBe(stands);
  expect(voterPolicy.leaveJointStep(meant)(meant).unwrapOr(null)!.former).toEqual([]);
});

test("a joint set not known to be chosen is chosen unchanged before a change builds on it", async () => {
  const all = await start(9);
  const { b, c, d } = all.nodes;
  const joint = registerValue.withVoters(valueAt(b), [d, b, c].map(voterOf));
  await acceptAlone(all, b, joint);
  all.nodes.a.isUp = false;
  const chosen: schema.Value[] = [];
  const successor = new proposer.Proposer(all.clock, "next", all.made.reach(b), all.made.first, keep);
  function keep(value: schema.Value): void {
    chosen.push(value);
  }
  const outcome = await ended(all.clock, successor.change(voterPolicy.leaveJointStep(joint), 3000));
  expect(outcome.isOk && outcome.value.former).toEqual([]);
  expect(chosen.map((value) => value.former.length)).toEqual([3, 0]);
});

test("a joint set at one former voter, never chosen, gives way to a change by a majority that didn't see it", async () => {
  const all = await start(10);
  const { a, b, c, d, e } = all.nodes;
  await acceptAlone(
    all,
    c,
    registerValue.withVoters(valueAt(c), [...ADDRESSES.map((address) => voterOf(all.made.nodes.get(address)!)), voterOf(d)]),
  );
  split(all, [c], [a, b]);
  expect((await ended(all.clock, a.proposer.change(setTo(1, 2, "x"), 3000))).isOk).toBe(true);
  all.made.cuts.clear();
  d.wipe();
  e.wipe();
  a.wipe();
  expect((await ended(all.clock, b.proposer.change(setTo(2, 3, "y"), 5000))).isOk).toBe(true);
  expect((await ended(all.clock, c.proposer.change(setTo(3, 4, "z"), 5000))).isOk).toBe(true);
  expect(valueAt(c).voterEpoch).toBe(0);
});

test("no former voter accepts new voters before each added voter has them on its synced disk", async () => {
  const all = await start(11);
  const { a, b, c, d, e } = all.nodes;
  e.isDiskHung = true;
  const step = voterPolicy.enterJointStep(valueAt(a), [a, b, c, d, e].map(voterOf));
  expect((await ended(all.clock, a.proposer.change(step, 3000))).isErr).toBe(true);
  for (const node of [a, b, c]) expect(valueAt(node).voterEpoch).toBe(0);
  a.wipe();
  expect((await ended(all.clock, b.proposer.change(setTo(1, 2, "x"), 5000))).isOk).toBe(true);
});

test.each(["a", "b", "c"] as const)(
  "growth interrupted at voter %s alone: with an added and another voter wiped, the rest decides",
  async function cutShort(at) {
    const all = await start(12);
    const { a, b, c, d, e } = all.nodes;
    const joint = registerValue.withVoters(valueAt(a), [a, b, c, d, e].map(voterOf));
    // As the proposer does it: the joiners first.
    for (const joiner of [d, e]) {
      const ask = { disk: joiner.voter!.disk, ballot: { n: 2, by: "lost" }, isSetChosen: false, value: joint };
      expect((await ended(all.clock, joiner.voter!.accept(ask)))!.isGranted).toBe(true);
    }
    await acceptAlone(all, all.nodes[at], joint);
    d.wipe();
    const [gone, one, other] = at === "a" ? [b, a, c] : [a, b, c];
    gone.wipe();
    expect((await ended(all.clock, one.proposer.change(setTo(1, 2, "x"), 6000))).isOk).toBe(true);
    expect((await ended(all.clock, other.proposer.change(unchanged, 6000))).isOk).toBe(true);
  },
);
