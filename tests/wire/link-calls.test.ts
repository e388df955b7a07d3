// Calls over links and their replies: each reply reaches the one call that it is for, or nobody; sockets and time are simulated.
import * as fc from "fast-check";
import * as registerValue from "../../src/register/register-value.js";
import * as log from "../../src/runtime/log.js";
import * as calls from "../../src/wire/calls.js";
import * as link from "../../src/wire/link.js";
import * as schema from "../../src/wire/schema.js";
import * as types from "../../src/wire/types.js";
import * as sockets from "../sim/sockets.js";
import * as simulatedClock from "../sim/simulated-clock.js";

const CALL = 1;
const REPLY = 2;
const MAX_ID = 2 ** 32 - 1;
const WITHIN_MS = 100;

interface Ends {
  caller: link.Link;
  callee: link.Link;
  callerSocket: sockets.SimSocket;
  calleeSocket: sockets.SimSocket;
}

let clock: simulatedClock.SimulatedClock;
/** Replies of the callee wait here, by the epoch that was asked for, until a test sends them. */
let answers: Map<number, (reply: schema.Chosen | null) => void>;
beforeEach(() => {
  clock = new simulatedClock.SimulatedClock();
  answers = new Map();
});

function replyOf(epoch: number): schema.Chosen {
  return { value: { ...registerValue.initialValue(["a:1"]), epoch: types.small(epoch) } };
}

function joined(firstCallId = 1): Ends {
  const handlers = new link.Handlers();
  handlers.on(calls.ask, (_from, ask) => new Promise((resolve) => answers.set(ask.epoch, resolve)));
  const [callerSocket, calleeSocket] = sockets.socketPair();
  const caller = new link.Link(clock, sockets.asSocket(callerSocket), new link.Handlers(), firstCallId);
  const callee = new link.Link(clock, sockets.asSocket(calleeSocket), handlers);
  return { caller, callee, callerSocket, calleeSocket };
}

function frame(kind: number, code: number, id: number, body: Buffer): Buffer {
  const head = Buffer.alloc(10);
  head.writeUInt32BE(body.length, 0);
  head.writeUInt8(kind, 4);
  head.writeUInt8(code, 5);
  head.writeUInt32BE(id, 6);
  return Buffer.concat([head, body]);
}

async function epochOf(call: Promise<schema.Chosen | null>): Promise<number | null> {
  return (await call)?.value?.epoch ?? null;
}

function ask(ends: Ends, epoch: number, withinMs = WITHIN_MS): Promise<number | null> {
  return epochOf(ends.caller.call(calls.ask, { epoch: types.small(epoch) }, withinMs));
}

async function arrive(): Promise<void> {
  for (let turn = 0; turn < 4; turn += 1) await simulatedClock.settle();
}

test("replies in any order reach their own calls", async () => {
  const ends = joined();
  const all = [1, 2, 3].map((epoch) => ask(ends, epoch));
  await arrive();
  for (const epoch of [3, 1, 2]) answers.get(epoch)!(replyOf(epoch));
  expect(await Promise.all(all)).toEqual([1, 2, 3]);
});

// A process that stood still reads replies before its timers run: a time of day, or a right to act, would be taken for a new one.
test("a reply that is read after its call's time is none, also before the timer has run", async () => {
  const ends = joined();
  const before = log.counted().get("link.late_reply") ?? 0;
  const late = ask(ends, 1);
  await arrive();
  clock.skip(WITHIN_MS);
  answers.get(1)!(replyOf(1));
  expect(await late).toBeNull();
  expect(log.counted().get("link.late_reply")).toBe(before + 1);
});

test("what is read first after a long silence may be as old as that; what is read later is not", async () => {
  const lateness: number[] = [];
  const handlers = new link.Handlers();
  handlers.on(calls.ask, (from) => {
    lateness.push(from.latenessMs());
    return null;
  });
  const [callerSocket, calleeSocket] = sockets.socketPair();
  const caller = new link.Link(clock, sockets.asSocket(callerSocket), new link.Handlers());
  new link.Link(clock, sockets.asSocket(calleeSocket), handlers);
  for (const pauseMs of [0, link.HEARTBEAT_INTERVAL_MS, 3 * link.HEARTBEAT_INTERVAL_MS, 10, link.HEARTBEAT_INTERVAL_MS]) {
    clock.skip(pauseMs);
    caller.send(calls.ask, { epoch: types.small(1) });
    await arrive();
  }
  expect(lateness).toEqual([0, 0, 900, 910, 0]);
});

test("a reply that comes after its call was given up reaches no other call", async () => {
  const ends = joined();
  const before = log.counted().get("link.late_reply") ?? 0;
  const late = ask(ends, 1);
  await clock.play(WITHIN_MS);
  expect(await late).toBeNull();
  const next = ask(ends, 2);
  await arrive();
  answers.get(1)!(replyOf(1));
  await arrive();
  expect(log.counted().get("link.late_reply")).toBe(before + 1);
  answers.get(2)!(replyOf(2));
  expect(await next).toBe(2);
});

test("a second reply to the same call reaches nobody", async () => {
  const ends = joined();
  const first = ask(ends, 1);
  await arrive();
  answers.get(1)!(replyOf(1));
  expect(await first).toBe(1);
  const next = ask(ends, 2);
  ends.callerSocket.inject(frame(REPLY, calls.ask.code, 1, schema.chosen.toBuffer(replyOf(9))));
  await arrive();
  answers.get(2)!(replyOf(2));
  expect(await next).toBe(2);
});

test("ids wrap, and pass over those of calls that still wait", async () => {
  const ends = joined(MAX_ID);
  const waiting = [1, 2, 3].map((epoch) => ask(ends, epoch, 10_000));
  await arrive();
  answers.get(1)!(replyOf(1));
  expect(await waiting[0]).toBe(1);
  // Once around: the next ids are the last one, which is free again, and then those of the calls that wait.
  Object.assign(ends.caller, { lastCallId: MAX_ID - 1 });
  const more = [4, 5, 6].map((epoch) => ask(ends, epoch));
  await arrive();
  for (const epoch of [6, 5, 4, 3, 2]) answers.get(epoch)!(replyOf(epoch));
  expect(await Promise.all([...waiting, ...more])).toEqual([1, 2, 3, 4, 5, 6]);
});

test.each([
  ["before the call arrives", true, false],
  ["after the call arrived", false, false],
  ["while the reply is on its way", false, true],
])("a link that ends %s ends its calls with nothing known", async (_name, isCallHeld, isReplyHeld) => {
  const ends = joined();
  if (isCallHeld) ends.callerSocket.heldBack = [];
  if (isReplyHeld) ends.calleeSocket.heldBack = [];
  const call = ask(ends, 1);
  await arrive();
  if (isReplyHeld) answers.get(1)!(replyOf(1));
  await arrive();
  ends.callee.end("killed");
  expect(await call).toBeNull();
  expect(ends.caller.isOpen).toBe(false);
  expect(await ask(ends, 2)).toBeNull();
});

test("a reply that is ready after its link ended is not sent over the link that took its place", async () => {
  const first = joined();
  const call = ask(first, 1);
  await arrive();
  first.callee.end("killed");
  expect(await call).toBeNull();
  const second = joined();
  const other = ask(second, 2);
  await arrive();
  answers.get(1)!(replyOf(1));
  await arrive();
  answers.get(2)!(replyOf(2));
  expect(await other).toBe(2);
});

test("a reply on another link reaches no call of this one, though it bears its id", async () => {
  const [left, right] = [joined(), joined()];
  const call = ask(left, 1);
  await arrive();
  right.callerSocket.inject(frame(REPLY, calls.ask.code, 1, schema.chosen.toBuffer(replyOf(7))));
  await arrive();
  answers.get(1)!(replyOf(1));
  expect(await call).toBe(1);
  expect(right.caller.isOpen).toBe(true);
});

test.each([
  ["that can't be read", calls.ask.code, Buffer.from([255, 255, 255])],
  ["of another kind", calls.lease.code, calls.lease.reply.toBuffer({ life: "l", isGranting: true, grants: [] })],
])("a reply %s ends the link, and its call with it", async (_name, code, body) => {
  const ends = joined();
  const before = log.counted().get("link.garbled") ?? 0;
  const call = ask(ends, 1, 10_000);
  await arrive();
  ends.callerSocket.inject(frame(REPLY, code, 1, body));
  expect(await call).toBeNull();
  expect([ends.caller.isOpen, log.counted().get("link.garbled")]).toEqual([false, before + 1]);
});

test("a call that came over a link is answered with its own id, whatever else is under way", async () => {
  const ends = joined();
  const written: Buffer[] = [];
  await arrive();
  ends.calleeSocket.write = (chunk: Buffer) => written.push(chunk) > 0;
  for (const [id, epoch] of [
    [MAX_ID, 1],
    [0, 2],
  ])
    ends.calleeSocket.inject(frame(CALL, calls.ask.code, id, schema.ask.toBuffer({ epoch: types.small(epoch) })));
  await arrive();
  for (const epoch of [2, 1]) answers.get(epoch)!(replyOf(epoch));
  await arrive();
  expect(written.map((bytes) => [bytes.readUInt32BE(6), schema.chosen.fromBuffer(bytes.subarray(10)).value!.epoch])).toEqual([
    [0, 2],
    [MAX_ID, 1],
  ]);
});

/** One step of a history: a call, a reply to the oldest or newest call that has none, time, or the end of a link. */
const STEP = fc.oneof(
  { weight: 5, arbitrary: fc.constant("call") },
  { weight: 4, arbitrary: fc.constantFrom("reply_oldest", "reply_newest") },
  { weight: 2, arbitrary: fc.constant("time") },
  { weight: 1, arbitrary: fc.constant("replace") },
);

async function replay(steps: readonly string[], firstCallId: number): Promise<void> {
  clock = new simulatedClock.SimulatedClock();
  answers = new Map();
  let ends = joined(firstCallId);
  const wrong: string[] = [];
  const open: Promise<void>[] = [];
  for (const [epoch, step] of steps.entries()) {
    if (step === "call")
      open.push(ask(ends, epoch).then((got) => void (got === null || got === epoch || wrong.push(`${epoch} got ${got}`))));
    if (step === "time") await clock.play(WITHIN_MS / 2);
    if (step === "replace") {
      ends.caller.end("replaced");
      ends = joined(firstCallId);
    }
    await arrive();
    const waiting = [...answers.keys()];
    const chosen = step === "reply_oldest" ? waiting[0] : step === "reply_newest" ? waiting[waiting.length - 1] : undefined;
    if (chosen !== undefined) answers.get(chosen)!(replyOf(chosen));
    if (chosen !== undefined) answers.delete(chosen);
    await arrive();
  }
  await clock.play(WITHIN_MS);
  await Promise.all(open);
  expect(wrong).toEqual([]);
}

test("whatever is late, lost or replaced, a call gets its own reply or none, and always ends", async () => {
  await fc.assert(fc.asyncProperty(fc.array(STEP, { maxLength: 30 }), fc.constantFrom(1, MAX_ID - 1), replay), {
    numRuns: 100,
    seed: 7919,
  });
});
