// Orders without a base that a node reads, or decides, late: none is applied after a newer one was acknowledged (review/1).
import * as log from "../../src/runtime/log.js";
import * as calls from "../../src/wire/calls.js";
import type * as serve from "../../src/wire/serve.js";
import * as systems from "../sim/system.js";

const ZONE = "z3";
/** As an operator waits for a node before it moves on to another one. */
const PATIENCE_MS = 1000;

function pathOf(isStart: boolean): string {
  return `/-/Evacuations.${isStart ? "Start" : "Stop"}/${ZONE}`;
}

async function order(system: systems.System, name: string, isStart: boolean): Promise<number> {
  const { told } = await systems.answered(system, systems.get(system, name).call("POST", pathOf(isStart)));
  return told.status;
}

/** Plays on until whatever is on its way has arrived; whether the zone is evacuated then, by what each node knows. */
async function isEvacuated(system: systems.System): Promise<boolean[]> {
  await system.clock.play(6000);
  return systems.NAMES.map((name) => systems.get(system, name).replica.chosen!.evacuations.includes(ZONE));
}

function always(isStart: boolean): boolean[] {
  return systems.NAMES.map(() => isStart);
}

/** A caller that sent its call so long ago, and closes its connection, if at all, once it has waited for a second. */
function callerSince(system: systems.System, sentMsAgo: number, leaves: boolean): serve.Caller {
  const sentAt = system.clock.now() - sentMsAgo;
  const waitedMs = (): number => system.clock.now() - sentAt;
  return { waitedMs, hasLeft: () => leaves && waitedMs() >= PATIENCE_MS };
}

/** Whether the late order is a Start, and whether its caller has left by then. */
const LATE: [isStart: boolean, leaves: boolean][] = [
  [true, true],
  [true, false],
  [false, true],
  [false, false],
];

test.each(LATE)("read late, Start %s, caller left %s: refused, and what was ordered since stays", async (isStart, leaves) => {
  const system = await systems.start();
  expect(await order(system, "b", isStart)).toBe(200);
  expect(await order(system, "b", !isStart)).toBe(200);
  const late = systems.get(system, "a").call("POST", pathOf(isStart), callerSince(system, 5000, leaves));
  expect((await systems.answered(system, late)).told.status).toBe(503);
  expect(await isEvacuated(system)).toEqual(always(!isStart));
});

test("read late by a node that no majority confirms: refused, and its caller is not sent on with it", async () => {
  const system = await systems.start();
  system.network.cut(["a"], ["b", "c"]);
  await system.clock.play(3000);
  const late = systems.get(system, "a").call("POST", pathOf(true), callerSince(system, 5000, false));
  expect((await systems.answered(system, late)).told.status).toBe(503);
});

test.each(LATE)("decided late, Start %s, caller left %s: a step that waited for a majority is not applied", async (isStart, leaves) => {
  const system = await systems.start();
  expect(await order(system, "b", !isStart)).toBe(200);
  system.network.cut(["a"], ["b", "c"]);
  const late = systems.get(system, "a").call("POST", pathOf(isStart), callerSince(system, 0, leaves));
  await system.clock.play(PATIENCE_MS);
  expect(await order(system, "b", isStart)).toBe(200);
  expect(await order(system, "b", !isStart)).toBe(200);
  system.network.cuts.clear();
  expect((await systems.answered(system, late)).told.status).not.toBe(200);
  expect(await isEvacuated(system)).toEqual(always(!isStart));
});

test.each([true, false])("sent on while it waits for a majority, Start %s: not applied here afterwards", async (isStart) => {
  const system = await systems.start();
  expect(await order(system, "b", !isStart)).toBe(200);
  system.network.cut(["a"], ["b", "c"]);
  await system.clock.play(1000);
  expect(systems.get(system, "a").contact.isConfirmed()).toBe(true);
  const call = systems.get(system, "a").call("POST", pathOf(isStart), callerSince(system, 0, false));
  const { told } = await systems.answered(system, call);
  expect([307, 503]).toContain(told.status);
  expect(await order(system, "b", isStart)).toBe(200);
  expect(await order(system, "b", !isStart)).toBe(200);
  system.network.cuts.clear();
  expect(await isEvacuated(system)).toEqual(always(!isStart));
});

test.each([
  [true, 1],
  [false, 1],
  [true, 2],
  [false, 2],
  [true, 3],
  [false, 3],
])("forwarded to a node that reads it late, Start %s, seed %i: decided once, where it arrived", async (isStart, seed) => {
  const system = await systems.start({ seed });
  expect(await order(system, "c", !isStart)).toBe(200);
  await systems.contend(system);
  system.network.frozen.add("a");
  expect(await order(system, "c", isStart)).toBe(200);
  expect(await order(system, "c", !isStart)).toBe(200);
  system.network.frozen.delete("a");
  expect(await isEvacuated(system)).toEqual(always(!isStart));
});

test.each([true, false])("taken by a node that then stands still, Start %s: not applied there when it goes on", async (isStart) => {
  const system = await systems.start();
  expect(await order(system, "c", !isStart)).toBe(200);
  await systems.contend(system);
  const taken = (): number => log.counted().get("operator.forwarded_here") ?? 0;
  const before = taken();
  const call = systems.get(system, "c").call("POST", pathOf(isStart));
  while (taken() === before) await system.clock.play(1);
  system.network.frozen.add("a");
  expect((await systems.answered(system, call)).told.status).toBe(200);
  expect(await order(system, "c", !isStart)).toBe(200);
  system.network.frozen.delete("a");
  expect(await isEvacuated(system)).toEqual(always(!isStart));
});

test("forwarded by a build that can't say how old it is: not decided there", async () => {
  const system = await systems.start();
  const toA = [...systems.get(system, "b").dial.controls.values()].find(({ node }) => node.name === "a")!.link;
  const call = toA.call(calls.order, { path: pathOf(true), base: "", body: Buffer.alloc(0) }, PATIENCE_MS);
  await system.clock.play(PATIENCE_MS);
  expect((await call)?.status).toBe(503);
  expect(await isEvacuated(system)).toEqual(always(false));
});
