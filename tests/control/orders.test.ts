// Orders of operators: races, orders sent again, answers lost, restarts (design/hardening/2-orders).
import * as voterPolicy from "../../src/control/voters/voter-policy.js";
import * as registerValue from "../../src/register/register-value.js";
import * as simRegister from "../sim/sim-register.js";
import * as operators from "../sim/operators.js";
import * as simulatedClock from "../sim/simulated-clock.js";

const ADDRESSES = ["a:1", "b:1", "c:1"];

interface Scene {
  clock: simulatedClock.SimulatedClock;
  core: simRegister.SimRegister;
  desk: operators.Operators;
}

function sceneOf(seed: number, addresses = ADDRESSES): Scene {
  const clock = new simulatedClock.SimulatedClock(seed);
  const core = new simRegister.SimRegister(clock, addresses);
  return { clock, core, desk: new operators.Operators(core) };
}

async function done<T>(clock: simulatedClock.SimulatedClock, promise: Promise<T>, mostMs = 120_000): Promise<T> {
  let isDone = false;
  void promise.finally(() => (isDone = true));
  for (let spent = 0; !isDone && spent < mostMs; spent += 50) await clock.play(50);
  if (!isDone) throw new Error("not done in time");
  return promise;
}

/** The addresses beginning with the n-th. */
function from(index: number, addresses: readonly string[] = ADDRESSES): string[] {
  const at = index % addresses.length;
  return [...addresses.slice(at), ...addresses.slice(0, at)];
}

type Make = (base: number, revision: number, name: string) => operators.Order;
const VERBS: [string, Make][] = [
  ["Replace", operators.replaceOf],
  ["Update", operators.updateOf],
];

/** The first configuration, on which all others build. */
async function begin(scene: Scene): Promise<void> {
  expect(await done(scene.clock, scene.desk.send(operators.replaceOf(0, 10, "begin"), ADDRESSES))).toBe(200);
}

/** All at once, each at the node of its place; the answers in order. */
function sendAll(scene: Scene, orders: readonly operators.Order[], isSpread = true): Promise<(number | null)[]> {
  return done(scene.clock, Promise.all(orders.map((order, index) => scene.desk.send(order, from(isSpread ? index : 0)))));
}

function takenOf(scene: Scene, orders: readonly operators.Order[]): boolean[] {
  const value = scene.core.newestChosen()!;
  return orders.map((order) => registerValue.findOrder(value, order.base, operators.orderIdOf(order)) === "taken");
}

/** One order wins its base, all others are refused, and each gets the same answer when it is sent again. */
async function expectOneWinner(scene: Scene, orders: readonly operators.Order[], isSpread = true): Promise<void> {
  const answers = await sendAll(scene, orders, isSpread);
  expect([...answers].sort()).toEqual([200, ...orders.slice(1).map(() => 412)]);
  expect(takenOf(scene, orders)).toEqual(answers.map((status) => status === 200));
  expect(await sendAll(scene, [...orders].reverse(), isSpread)).toEqual([...answers].reverse());
}

describe.each(VERBS)("concurrent %s", (_verb, make) => {
  const RACES: [string, operators.Order[], boolean][] = [
    ["the same number for two changes", [make(10, 12, "x"), make(10, 12, "y")], true],
    ["numbers below and above", [make(10, 15, "x"), make(10, 11, "y")], true],
    ["the same number at one node", [make(10, 12, "x"), make(10, 12, "y")], false],
    ["eight at one node", Array.from({ length: 8 }, (_, index) => make(10, 11 + index, `r${index}`)), false],
    ["eight spread over all", Array.from({ length: 8 }, (_, index) => make(10, 18 - index, `r${index}`)), true],
  ];
  test.each(RACES)("one wins, and retries get the same answers: %s", async (_name, orders, isSpread) => {
    for (let seed = 1; seed <= 5; seed += 1) {
      const scene = sceneOf(seed * 7919);
      await begin(scene);
      await expectOneWinner(scene, orders, isSpread);
    }
  });

  test("the same order at two nodes at once is applied once and acknowledged twice", async () => {
    for (let seed = 1; seed <= 10; seed += 1) {
      const scene = sceneOf(seed * 7919);
      await begin(scene);
      const order = make(10, 12, "x");
      expect(await sendAll(scene, [order, order, order])).toEqual([200, 200, 200]);
      expect(scene.core.newestChosen()!.epoch).toBe(2);
    }
  });
});

describe.each(VERBS)("retried %s", (_verb, make) => {
  test("eight in flight with lost answers: a retry is never rejected once the order was applied", async () => {
    for (let seed = 1; seed <= 5; seed += 1) {
      const scene = sceneOf(seed * 7919);
      await begin(scene);
      scene.desk.answerLossShare = 0.7;
      const orders = Array.from({ length: 8 }, (_, index) => make(10, 11 + index, `r${index}`));
      const answers = await sendAll(scene, orders);
      expect(answers.filter((status) => status === 200)).toHaveLength(1);
      expect(takenOf(scene, orders)).toEqual(answers.map((status) => status === 200));
    }
  });

  test("is acknowledged across a restart of all nodes", async () => {
    for (let seed = 1; seed <= 10; seed += 1) {
      const scene = sceneOf(seed * 7919);
      await begin(scene);
      const order = make(10, 12, "x");
      const rival = make(10, 13, "y");
      const answers = Promise.all([scene.desk.send(order, from(seed)), scene.desk.send(rival, from(seed + 1))]);
      for (const node of scene.core.nodes.values()) scene.clock.schedule(scene.clock.random() * 300, () => node.restart());
      const found = await done(scene.clock, answers);
      expect([...found].sort()).toEqual([200, 412]);
      for (const node of scene.core.nodes.values()) node.restart();
      expect(await sendAll(scene, [order, rival])).toEqual(found);
    }
  });

  test("is acknowledged across a change of voters", async () => {
    const scene = sceneOf(7919);
    await begin(scene);
    const order = make(10, 12, "x");
    expect(await sendAll(scene, [order])).toEqual([200]);
    await replaceLast(scene);
    expect(await done(scene.clock, scene.desk.send(make(12, 14, "y"), ["d:1"]))).toBe(200);
    expect(await done(scene.clock, scene.desk.send(order, ["d:1"]))).toBe(200);
    expect(await done(scene.clock, scene.desk.send(make(10, 12, "z"), ["d:1"]))).toBe(412);
  });

  test("an order without an answer is applied later, and its retry is acknowledged", async () => {
    const scene = sceneOf(7919);
    await begin(scene);
    for (const address of ["b:1", "c:1"]) for (const other of ADDRESSES) scene.core.cuts.add(`${address}>${other}`);
    // The accepts arrive, the replies don't: nobody knows yet that it was chosen.
    const order = make(10, 12, "x");
    expect(await done(scene.clock, scene.desk.call("a:1", order, 5000))).toBe(503);
    scene.core.cuts.clear();
    expect(await done(scene.clock, scene.desk.send(order, ["c:1"]))).toBe(200);
  });
});

/** c is lost, d takes its place among the voters. */
async function replaceLast(scene: Scene): Promise<void> {
  const { clock, core } = scene;
  core.nodes.get("c:1")!.isUp = false;
  const joiner = core.join("d:1");
  const { proposer: proposer } = core.nodes.get("a:1")!;
  const before = core.newestChosen()!;
  const voters = before.voters.map((voter) =>
    voter.address === "c:1" ? { disk: joiner.voter!.disk, node: "d:1", address: "d:1" } : voter,
  );
  expect((await done(clock, proposer.change(voterPolicy.enterJointStep(before, voters), 5000))).isOk).toBe(true);
  expect((await done(clock, proposer.change(voterPolicy.leaveJointStep(core.newestChosen()!), 5000))).isOk).toBe(true);
  joiner.makeProposer(core.newestChosen()!);
}

test("eight concurrent evacuations with lost answers are all acknowledged and in force", async () => {
  for (let seed = 1; seed <= 5; seed += 1) {
    const scene = sceneOf(seed * 7919);
    scene.desk.answerLossShare = 0.5;
    const orders = [...operators.ZONES, ...operators.ZONES].map((zone) => operators.evacuationOf(zone, true));
    expect(await sendAll(scene, orders)).toEqual(orders.map(() => 200));
    expect(scene.core.newestChosen()!.evacuations).toEqual([...operators.ZONES].sort());
    expect(scene.core.newestChosen()!.epoch).toBe(4);
    expect(await sendAll(scene, [operators.evacuationOf("north", false)])).toEqual([200]);
    expect(scene.core.newestChosen()!.evacuations).not.toContain("north");
  }
});

const LATER: [number, number][] = [
  [40, 200],
  [511, 200],
  [512, 503],
  [700, 503],
];

test.each(LATER)("an order retried after %i more orders gets %i", async (count, status) => {
  const scene = sceneOf(3);
  await begin(scene);
  const order = operators.replaceOf(10, 12, "x");
  const rival = operators.replaceOf(10, 12, "y");
  expect(await sendAll(scene, [order])).toEqual([200]);
  for (let index = 0; index < count; index += 1) {
    expect(await done(scene.clock, scene.desk.send(operators.updateOf(12 + index, 13 + index, "x"), ADDRESSES))).toBe(200);
  }
  expect(await done(scene.clock, scene.desk.call("b:1", order, 5000))).toBe(status);
  // One that was never taken is refused while that is known, and left without a clear answer beyond it.
  expect(await done(scene.clock, scene.desk.call("b:1", rival, 5000))).toBe(status === 200 ? 412 : 503);
});

const ALONE: [string, operators.Order, number][] = [
  ["no JSON", { path: "/-/Config.Replace", base: 10, body: Buffer.from("{") }, 400],
  ["a revision not above its base", operators.replaceOf(10, 10, "x"), 400],
  ["an update not above its base", operators.updateOf(10, 9, "x"), 400],
  ["an update without a revision", { path: "/-/Config.Update", base: 10, body: Buffer.from("{}") }, 400],
];

test.each(ALONE)("an invalid order is rejected by itself, also without a majority: %s", async (_name, order, status) => {
  const scene = sceneOf(3);
  for (const address of ["b:1", "c:1"]) scene.core.nodes.get(address)!.isUp = false;
  expect(await done(scene.clock, scene.desk.call("a:1", order))).toBe(status);
});

test("a configuration over the bound is rejected with its size and the bound, and nothing changes", async () => {
  const scene = sceneOf(3);
  await begin(scene);
  const update = { revision: 12, upsert: { routes: [{ ...operators.routeOf("big"), note: "x".repeat(12 * 1024 * 1024) }] } };
  const order = { path: "/-/Config.Update", base: 10, body: Buffer.from(JSON.stringify(update)) };
  expect(await done(scene.clock, scene.desk.call("a:1", order, 5000))).toBe(413);
  expect(scene.core.newestChosen()!.revision).toBe(10);
});
