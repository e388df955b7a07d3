// What may not run twice reaches a runner once, at whatever byte of the request or of the answer something fails: the
// bytes are counted at the runners. No library sends again by itself (design 7.8).
import * as diagnostics from "node:diagnostics_channel";
import type * as net from "node:net";
import * as fc from "fast-check";
import * as callerCases from "../sim/caller-cases.js";
import * as routerEdge from "../sim/router-edge.js";
import * as rawRunner from "../sim/raw-runner.js";
import * as simulatedClock from "../sim/simulated-clock.js";

/** CALLER_RUNS plays more, from a seed of their own; 400 from one seed are played each time. */
const MORE_RUNS = process.env["CALLER_RUNS"];
const RUNS = Number(MORE_RUNS ?? 400);
const SEED = MORE_RUNS === undefined ? 7919 : Date.now();
const LARGE_BODY = 3_000_000;

test("at each point of failure at most one stream of bytes reaches a runner that has not denied it", async () => {
  await fc.assert(
    fc.asyncProperty(callerCases.CASE, (of) => callerCases.play(of)),
    { numRuns: RUNS, seed: SEED },
  );
}, 3_600_000);

test.each([
  ["before its last line", 2],
  ["before the LF of its last line", 3],
])("a denial whose head ends %s is none", async (_name, bytesAfterFields) => {
  const bytes = rawRunner.answerBytes("i-1", "q1", rawRunner.DENIAL);
  const byte = bytes.indexOf("\r\n\r\n") + bytesAfterFields;
  const denial: rawRunner.Script = { answer: rawRunner.DENIAL, part: "answer", byte, fault: "close" };
  const edge = await routerEdge.Edge.over(new simulatedClock.SimulatedClock(), [
    new rawRunner.RawRunner("i-1", [denial]),
    new rawRunner.RawRunner("i-2", [denial]),
  ]);
  const reply = await edge.send(callerCases.textOf("q1", callerCases.SERVED));
  edge.stop();
  callerCases.judge(reply, edge);
  expect(edge.runners.flatMap((runner) => runner.streams)).toHaveLength(1);
});

const CUTS: [rawRunner.Fault, number][] = (["reset", "close"] as const).flatMap((fault) =>
  [0, 1, 2].map((served): [rawRunner.Fault, number] => [fault, served]),
);

test.each(CUTS)(
  "a connection that ends by %s at each byte of the request, after %i requests: one stream, no promise",
  async (fault, served) => {
    for (let byte = 1; byte < 400; byte += 9) {
      const script: rawRunner.Script = { answer: rawRunner.FINE, part: "request", byte, fault };
      await callerCases.play({ method: "PUT", bodyBytes: 100, isChunked: false, isPipelined: false, served, scripts: [script, script] });
    }
  },
);

test.each(["reset", "close", "silent"] as const)(
  "a large body that is cut off by %s while it is written is not written again",
  async (fault) => {
    const clock = new simulatedClock.SimulatedClock();
    const scripts: rawRunner.Script[] = [{ answer: rawRunner.FINE, part: "request", byte: 200_000, fault }];
    const edge = await routerEdge.Edge.over(clock, [new rawRunner.RawRunner("i-1", scripts), new rawRunner.RawRunner("i-2", [...scripts])]);
    edge.server.applyLimits({ max_body_bytes: LARGE_BODY });
    const reply = await callerCases.ask(clock, edge, callerCases.textOf("q1", { method: "PUT", bodyBytes: LARGE_BODY, isChunked: false }));
    const streams = edge.runners.flatMap((runner) => runner.streams);
    edge.stop();
    expect([streams.length, streams[0].isWhole]).toEqual([1, false]);
    expect(rawRunner.readAnswer(reply)!.status).toBe(fault === "silent" ? 504 : 502);
  },
);

test("a kept connection that ends in the moment of the next send is not replaced under a request that may have gone out", async () => {
  for (let turns = 0; turns < 12; turns += 1) {
    const clock = new simulatedClock.SimulatedClock();
    const edge = await routerEdge.Edge.over(clock, [new rawRunner.RawRunner("i-1")]);
    await edge.send(callerCases.textOf("a0", callerCases.SERVED));
    const reply = callerCases.ask(clock, edge, callerCases.textOf("q1", { method: "GET", bodyBytes: 0, isChunked: false }));
    for (let turn = 0; turn < turns; turn += 1) await simulatedClock.settle();
    for (const socket of edge.runners[0].sockets) socket.resetAndDestroy();
    callerCases.judge(await reply, edge);
    edge.stop();
  }
});

/** What the library does with a request at work when its connection ends by an error of its own: it sends it again. */
test("the library's own way to send again is closed: its client ends with its connection", async () => {
  const sockets: net.Socket[] = [];
  const connected = (message: unknown): void => void sockets.push((message as { socket: net.Socket }).socket);
  diagnostics.subscribe("undici:client:connected", connected);
  const clock = new simulatedClock.SimulatedClock();
  const silent: rawRunner.Script = { answer: rawRunner.FINE, part: "answer", byte: 0, fault: "silent" };
  const edge = await routerEdge.Edge.over(clock, [new rawRunner.RawRunner("i-1", [silent])]);
  const reply = edge.send(callerCases.textOf("q1", { method: "GET", bodyBytes: 0, isChunked: false }));
  while (!edge.runners[0].isSilent) await simulatedClock.settle();
  sockets[0].destroy(Object.assign(new Error("the library's own"), { code: "UND_ERR_INFO" }));
  const ended = new Promise((resolve) => edge.runners[0].sockets[0].once("close", resolve));
  await ended;
  for (let turn = 0; turn < 20; turn += 1) await simulatedClock.settle();
  await clock.play(callerCases.DEADLINE_MS);
  await reply;
  edge.stop();
  diagnostics.unsubscribe("undici:client:connected", connected);
  expect([sockets.length, edge.runners[0].streams.length]).toEqual([1, 1]);
});
