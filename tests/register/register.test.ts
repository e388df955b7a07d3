// The register under faults drawn by seed, and a checker for acknowledged changes (design 5).
import * as result from "true-myth/result";
import * as errors from "../../src/runtime/errors.js";
import * as voterPolicy from "../../src/control/voters/voter-policy.js";
import * as registerValue from "../../src/register/register-value.js";
import * as schema from "../../src/wire/schema.js";
import * as simRegister from "../sim/sim-register.js";
import * as simulatedClock from "../sim/simulated-clock.js";

const ADDRESSES = ["a:1", "b:1", "c:1"];

function setTo(base: number, revision: number, orderId: string) {
  return function step(value: schema.Value): result.Result<schema.Value, errors.CranewindError> {
    if (registerValue.findOrder(value, base, orderId) === "taken") return result.ok(value);
    if (value.revision !== base) return result.err(new errors.RevisionConflictError("another revision", "read again"));
    return result.ok(registerValue.withConfig(value, revision, Buffer.from(orderId), orderId));
  };
}

function same(value: schema.Value): result.Result<schema.Value, errors.CranewindError> {
  return result.ok(value);
}

async function done<T>(clock: simulatedClock.SimulatedClock, promise: Promise<T>, mostMs = 20_000): Promise<T> {
  let isDone = false;
  void promise.finally(function end() {
    isDone = true;
  });
  for (let spent = 0; !isDone && spent < mostMs; spent += 50) await clock.play(50);
  if (!isDone) throw new Error("not done in time");
  return promise;
}

interface Acked {
  base: number;
  revision: number;
  mark: string;
}

/** Two racing operators and random faults; every acknowledged change must be found in the end, none twice. */
async function playSeed(seed: number, broken: simRegister.Broken): Promise<string | null> {
  const clock = new simulatedClock.SimulatedClock(seed);
  const made = new simRegister.SimRegister(clock, ADDRESSES, broken);
  const acked: Acked[] = [];
  const nodes = [...made.nodes.values()];
  let down: simRegister.SimNode | null = null;
  made.lossShare = 0.05;
  for (let round = 0; round < 14; round += 1) {
    fault();
    const jobs = [0, 1].map(operate.bind(null, round));
    await done(clock, Promise.all(jobs), 60_000);
  }
  mend();
  made.lossShare = 0;
  await clock.play(3000);
  await rejoin();
  const last = await done(clock, nodes[0].proposer.change(same, 15_000), 30_000);
  if (last.isErr) return "no majority after all faults";
  return verdict(last.value);

  async function operate(round: number, operator: number): Promise<void> {
    const node = nodes[Math.floor(clock.random() * nodes.length)];
    if (!node.isUp) return;
    const read = await node.proposer.change(same, 1500);
    if (read.isErr) return;
    const base = read.value.revision;
    const mark = `${round}/${operator}`;
    const outcome = await node.proposer.change(setTo(base, base + 1 + operator, mark), 2500);
    if (outcome.isOk) acked.push({ base, revision: base + 1 + operator, mark });
  }
  function mend(): void {
    made.cuts.clear();
    for (const node of nodes) node.isDiskHung = node.isFrozen = false;
    if (down) {
      down.isUp = true;
      down = null;
    }
  }
  function fault(): void {
    mend();
    const node = nodes[Math.floor(clock.random() * nodes.length)];
    const kind = Math.floor(clock.random() * 6);
    if (kind === 0) for (const each of nodes) clock.schedule(clock.random() * 500, each.restart.bind(each));
    else if (kind === 1) node.isDiskHung = true;
    else if (kind === 2) node.isFrozen = true;
    else if (kind === 3) {
      down = node;
      node.isUp = false;
    } else if (kind === 4) for (const other of nodes) made.cuts.add(`${node.address}>${other.address}`);
    else if (nodes.every(isVoting)) node.wipe();
  }
  function isVoting(node: simRegister.SimNode): boolean {
    const newest = made.newestChosen() ?? made.first;
    return newest.former.length === 0 && newest.voters.some(isThis);
    function isThis(voter: schema.Voter): boolean {
      return voter.disk === node.voter?.disk;
    }
  }
  async function rejoin(): Promise<void> {
    for (let turn = 0; turn < 6; turn += 1) {
      const read = await done(clock, nodes[turn % 3].proposer.change(same, 6000), 30_000);
      if (read.isErr) continue;
      const alive = nodes.map(aliveOf);
      const wanted = voterPolicy.nextVoters(read.value, alive, never);
      const step =
        read.value.former.length > 0
          ? voterPolicy.leaveJointStep(read.value)
          : wanted
            ? voterPolicy.enterJointStep(read.value, wanted)
            : null;
      if (!step) return;
      await done(clock, nodes[turn % 3].proposer.change(step, 6000), 30_000);
    }
  }
  function verdict(value: schema.Value): string | null {
    const bases = new Set<number>();
    for (const item of acked) {
      if (bases.has(item.base)) return `two acknowledged changes on base ${item.base}`;
      bases.add(item.base);
      if (registerValue.findOrder(value, item.base, item.mark) !== "taken") return `acknowledged change ${item.mark} is gone`;
    }
    return null;
  }
}

function aliveOf(node: simRegister.SimNode): voterPolicy.ReachableDisk {
  return { disk: node.voter?.disk ?? "", node: node.address, address: node.address, isCounted: true, isReady: true };
}

function never(): number {
  return 0;
}

test("acknowledged changes persist, and one change wins each base, under 60 seeds of faults", async () => {
  for (let seed = 1; seed <= 60; seed += 1) expect([seed, await playSeed(seed * 7919, "none")]).toEqual([seed, null]);
});

test.each(["forget_promise", "wipe_keeps_identity"] as const)(
  "the checker sees a broken guard: %s",
  async function guards(broken) {
    let found = 0;
    for (let seed = 1; seed <= 150 && found === 0; seed += 1) if ((await playSeed(seed * 7919, broken)) !== null) found += 1;
    expect(found).toBeGreaterThan(0);
  },
  120_000,
);

test("a replaced machine at a new address takes the place of the silent voter", async () => {
  const clock = new simulatedClock.SimulatedClock(5);
  const made = new simRegister.SimRegister(clock, ADDRESSES);
  const [a, b, c] = [...made.nodes.values()] as [simRegister.SimNode, simRegister.SimNode, simRegister.SimNode];
  expect((await done(clock, a.proposer.change(setTo(0, 3, "x"), 3000))).isOk).toBe(true);
  c.isUp = false;
  const d = made.join("d:1");
  const read = (await done(clock, b.proposer.change(same, 3000))).unwrapOr(null)!;
  const wanted = voterPolicy.nextVoters(read, [a, b, d].map(aliveOf), silentC);
  function silentC(voter: schema.Voter): number {
    return voter.address === "c:1" ? 10_000 : 0;
  }
  expect(wanted!.map(addressOf)).toEqual(["a:1", "b:1", "d:1"]);
  expect((await done(clock, b.proposer.change(voterPolicy.enterJointStep(read, wanted!), 3000))).isOk).toBe(true);
  const joint = (await done(clock, b.proposer.change(same, 3000))).unwrapOr(null)!;
  expect((await done(clock, a.proposer.change(voterPolicy.leaveJointStep(joint), 3000))).isOk).toBe(true);
  // The old voter wakes with the older set: it is denied with the newer one and can change nothing alone.
  c.isUp = true;
  a.isUp = false;
  const late = await done(clock, c.proposer.change(setTo(3, 4, "y"), 4000));
  expect(late.isOk).toBe(true);
  expect(d.voter!.accepted!.value.revision).toBe(4);
});

function addressOf(voter: schema.Voter): string {
  return voter.address;
}

test("a node without a majority never acknowledges and never rejects", async () => {
  const clock = new simulatedClock.SimulatedClock(9);
  const made = new simRegister.SimRegister(clock, ADDRESSES);
  const [a, b, c] = [...made.nodes.values()] as [simRegister.SimNode, simRegister.SimNode, simRegister.SimNode];
  b.isUp = c.isUp = false;
  const outcome = await done(clock, a.proposer.change(setTo(7, 8, "x"), 2000));
  expect(outcome.isErr && outcome.error.code).toBe("no_majority");
});

test("a wiped voter does not count with a ballot prepared before the wipe", async () => {
  const clock = new simulatedClock.SimulatedClock(3);
  const made = new simRegister.SimRegister(clock, ADDRESSES);
  const a = made.nodes.get("a:1")!;
  const before = a.voter!.disk;
  a.wipe();
  const vote = await done(clock, a.voter!.accept({ disk: before, ballot: { n: 5, by: "old" }, isSetChosen: true, value: made.first }));
  expect(vote).toMatchObject({ isGranted: false });
  expect(vote!.disk).not.toBe(before);
});

test("a core of five grows from three voters, tolerates the loss of two, and takes changes with three", async () => {
  const clock = new simulatedClock.SimulatedClock(11);
  const made = new simRegister.SimRegister(clock, ADDRESSES);
  const a = made.nodes.get("a:1")!;
  expect((await done(clock, a.proposer.change(setTo(0, 2, "x"), 3000))).isOk).toBe(true);
  made.join("d:1");
  made.join("e:1");
  for (let turn = 0; turn < 6; turn += 1) {
    const read = (await done(clock, a.proposer.change(same, 3000))).unwrapOr(null)!;
    const wanted = voterPolicy.nextVoters(read, [...made.nodes.values()].map(aliveOf), never);
    const step = read.former.length > 0 ? voterPolicy.leaveJointStep(read) : wanted ? voterPolicy.enterJointStep(read, wanted) : null;
    if (step) expect((await done(clock, a.proposer.change(step, 3000))).isOk).toBe(true);
  }
  const grown = (await done(clock, a.proposer.change(same, 3000))).unwrapOr(null)!;
  expect(grown.voters.map(addressOf).sort()).toEqual(["a:1", "b:1", "c:1", "d:1", "e:1"]);
  for (const address of ["b:1", "c:1"]) made.nodes.get(address)!.isUp = false;
  expect((await done(clock, made.nodes.get("e:1")!.proposer.change(setTo(2, 3, "y"), 4000))).isOk).toBe(true);
  made.nodes.get("d:1")!.isUp = false;
  const minority = await done(clock, a.proposer.change(setTo(3, 4, "z"), 2500));
  expect(minority.isErr && minority.error.code).toBe("no_majority");
});

test("a suspended voter that resumes rejects old ballots and accepts new ones", async () => {
  const clock = new simulatedClock.SimulatedClock(13);
  const made = new simRegister.SimRegister(clock, ADDRESSES);
  const [a, b, c] = [...made.nodes.values()] as [simRegister.SimNode, simRegister.SimNode, simRegister.SimNode];
  c.isFrozen = true;
  const old = a.proposer.change(setTo(0, 2, "x"), 3000);
  expect((await done(clock, old)).isOk).toBe(true);
  expect((await done(clock, b.proposer.change(setTo(2, 3, "y"), 3000))).isOk).toBe(true);
  c.isFrozen = false;
  await clock.play(1000);
  const read = await done(clock, c.proposer.change(same, 3000));
  expect(read.isOk && read.value.revision).toBe(3);
});
