// Operators that race while nodes restart, hang, freeze and are cut off, by seed: what was answered holds for good
// (design/hardening/2-orders).
import * as registerValue from "../../src/register/register-value.js";
import * as schema from "../../src/wire/schema.js";
import * as simRegister from "../sim/sim-register.js";
import * as operators from "../sim/operators.js";
import * as simulatedClock from "../sim/simulated-clock.js";

const ADDRESSES = ["a:1", "b:1", "c:1"];
const ROUNDS = 10;
const SEEDS = 40;

interface Answered {
  order: operators.Order;
  status: number | null;
}

async function done<T>(clock: simulatedClock.SimulatedClock, promise: Promise<T>): Promise<T> {
  let isDone = false;
  void promise.finally(() => (isDone = true));
  for (let spent = 0; !isDone && spent < 120_000; spent += 50) await clock.play(50);
  if (!isDone) throw new Error("not done in time");
  return promise;
}

function mend(core: simRegister.SimRegister): void {
  core.cuts.clear();
  for (const node of core.nodes.values()) {
    node.isUp = true;
    node.isFrozen = node.isDiskHung = false;
  }
}

/** One fault at a time, so that a majority is left; restarts may be of all. */
function fault(core: simRegister.SimRegister): void {
  const { clock } = core;
  const nodes = [...core.nodes.values()];
  const node = nodes[Math.floor(clock.random() * nodes.length)];
  const kinds = [
    () => nodes.forEach((item) => clock.schedule(clock.random() * 400, () => item.restart())),
    () => (node.isDiskHung = true),
    () => (node.isFrozen = true),
    () => (node.isUp = false),
    () => nodes.forEach((item) => core.cuts.add(`${node.address}>${item.address}`)),
    () => nodes.forEach((item) => core.cuts.add(`${item.address}>${node.address}`)),
  ];
  kinds[Math.floor(clock.random() * kinds.length)]();
}

function orderOf(clock: simulatedClock.SimulatedClock, value: schema.Value, name: string): operators.Order {
  const base = value.revision;
  const revision = base + 1 + Math.floor(clock.random() * 3);
  return clock.random() < 0.5 && base > 0 ? operators.updateOf(base, revision, name) : operators.replaceOf(base, revision, name);
}

/** What is wrong with an answer, judged by a value chosen later; null when it holds. */
function faultOf(value: schema.Value, { order, status }: Answered): string | null {
  const verdict = registerValue.findOrder(value, order.base, operators.orderIdOf(order));
  if (status === 200 && verdict !== "taken") return `acknowledged and ${verdict}`;
  if (status !== null && status !== 200 && verdict !== "not_taken") return `answered ${status} and ${verdict}`;
  return null;
}

async function playSeed(seed: number): Promise<{ faults: string[]; answered: Answered[] }> {
  const clock = new simulatedClock.SimulatedClock(seed);
  const core = new simRegister.SimRegister(clock, ADDRESSES);
  const desk = new operators.Operators(core);
  const answered: Answered[] = [];
  core.lossShare = 0.05;
  desk.answerLossShare = 0.3;
  async function operate(round: number, operator: number): Promise<void> {
    const order = orderOf(clock, core.newestChosen() ?? core.first, `r${round}-${operator}`);
    const first = Math.floor(clock.random() * ADDRESSES.length);
    const addresses = [...ADDRESSES.slice(first), ...ADDRESSES.slice(0, first)];
    answered.push({ order, status: await desk.send(order, addresses, 6000) });
  }
  for (let round = 0; round < ROUNDS; round += 1) {
    fault(core);
    await done(clock, Promise.all([0, 1, 2].map((operator) => operate(round, operator))));
    mend(core);
  }
  core.lossShare = desk.answerLossShare = 0;
  await clock.play(5000);
  // A change at the end shows the newest value, and each order sent again gets the answer that fits it.
  expect(await done(clock, desk.send(operators.evacuationOf("north", true), ADDRESSES))).toBe(200);
  const value = core.newestChosen()!;
  const faults = answered.map(faultOf.bind(null, value)).filter((item) => item !== null);
  for (const { order } of answered) {
    const isTaken = registerValue.findOrder(value, order.base, operators.orderIdOf(order)) === "taken";
    const status = await done(clock, desk.send(order, ADDRESSES));
    if (status !== (isTaken ? 200 : 412)) faults.push(`sent again: ${status}`);
  }
  return { faults, answered };
}

test("acknowledged orders persist, rejected ones were never applied, and retries get the same answer, under 40 seeds of faults", async () => {
  const counts = new Map<number | null, number>();
  for (let seed = 1; seed <= SEEDS; seed += 1) {
    const { faults, answered } = await playSeed(seed * 7919);
    expect([seed, faults]).toEqual([seed, []]);
    for (const { status } of answered) counts.set(status, (counts.get(status) ?? 0) + 1);
  }
  // The day is none of refusals alone: each kind of answer was seen.
  expect(counts.get(200)).toBeGreaterThan(SEEDS * 5);
  expect(counts.get(412)).toBeGreaterThan(SEEDS * 5);
});
