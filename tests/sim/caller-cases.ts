// Histories of one caller: a request, or two on one connection, over two runners that fail at any byte. What must hold
// is judged by the bytes that reached the runners and the client (design 7.8).
import * as assert from "node:assert/strict";
import * as fc from "fast-check";
import * as routerEdge from "./router-edge.js";
import * as rawRunner from "./raw-runner.js";
import * as simulatedClock from "./simulated-clock.js";

/** Of the routes that are asked here. */
export const DEADLINE_MS = 1500;
/** Answers that promise that nothing was done. */
const PROMISES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** A history that has no reply after so many turns of the loop never gets one. */
const MAX_TURNS = 20_000;

/** How a request is written. */
export interface Form {
  method: string;
  bodyBytes: number;
  isChunked: boolean;
}

/** One history. */
export interface Case extends Form {
  /** A second request follows on the same connection before the first is answered. */
  isPipelined: boolean;
  /** Requests that each runner serves before over the connection that is then kept. */
  served: number;
  /** What each runner does with the first request that reaches it, and then with the second. */
  scripts: rawRunner.Script[];
}

const ANSWERS: rawRunner.Answer[] = [
  rawRunner.FINE,
  { ...rawRunner.FINE, framing: "chunked" },
  { ...rawRunner.FINE, hints: 1 },
  { ...rawRunner.FINE, framing: "chunked", hints: 2 },
  { ...rawRunner.FINE, ids: ["other"], hints: 1 },
  { ...rawRunner.DENIAL, hints: 1 },
  { ...rawRunner.FINE, status: 500 },
  { ...rawRunner.FINE, status: 503 },
  { ...rawRunner.FINE, isSealed: false },
  { ...rawRunner.FINE, ids: [] },
  { ...rawRunner.FINE, ids: ["other"] },
  { ...rawRunner.DENIAL, ids: ["other"] },
  { ...rawRunner.DENIAL, ids: [] },
  rawRunner.DENIAL,
  { ...rawRunner.DENIAL, framing: "chunked" },
  { ...rawRunner.DENIAL, status: 429 },
  { ...rawRunner.DENIAL, status: 421, isNotExecuted: false },
];
const FAULTS: rawRunner.Fault[] = ["none", "reset", "close", "silent", "garbage", "extra"];

const SCRIPT: fc.Arbitrary<rawRunner.Script> = fc.record({
  answer: fc.constantFrom(...ANSWERS),
  part: fc.constantFrom("request" as const, "answer" as const),
  byte: fc.nat(420),
  fault: fc.constantFrom(...FAULTS),
});
/** All histories. */
export const CASE: fc.Arbitrary<Case> = fc.record({
  method: fc.constantFrom("POST", "GET", "PUT", "DELETE", "PATCH", "OPTIONS"),
  bodyBytes: fc.constantFrom(0, 1, 100),
  isChunked: fc.boolean(),
  isPipelined: fc.boolean(),
  served: fc.constantFrom(0, 1, 2),
  scripts: fc.array(SCRIPT, { minLength: 4, maxLength: 4 }),
});

/** Where a history is played. */
export interface Place {
  runner(id: string): rawRunner.RawRunner;
  edge(clock: simulatedClock.SimulatedClock, runners: rawRunner.RawRunner[]): Promise<routerEdge.Edge<rawRunner.RawRunner>>;
}

/** Sockets of the kernel, on loopback. */
export const LOOPBACK: Place = {
  runner: (id) => new rawRunner.RawRunner(id),
  edge: (clock, runners) => routerEdge.Edge.over(clock, runners),
};

/** Streams in memory; the library's connector must be that of `tests/callers/memory-connect.ts`. */
export const MEMORY: Place = {
  runner: (id) => new rawRunner.RawRunner(id, [], "", true),
  edge: (clock, runners) => routerEdge.Edge.inMemory(clock, runners),
};

/** The bytes of one request; the last one on its connection says so. */
export function textOf(id: string, of: Form, isLast = true): string {
  const body = "b".repeat(of.bodyBytes);
  const framing = of.isChunked ? "Transfer-Encoding: chunked" : `Content-Length: ${of.bodyBytes}`;
  const bytes = of.isChunked ? `${of.bodyBytes > 0 ? `${of.bodyBytes.toString(16)}\r\n${body}\r\n` : ""}0\r\n\r\n` : body;
  const closing = isLast ? "Connection: close\r\n" : "";
  return `${of.method} /once/x HTTP/1.1\r\nHost: h\r\nX-Cranewind-Request-Id: ${id}\r\n${closing}${framing}\r\n\r\n${bytes}`;
}

/** The client's answer; time passes only while a runner is silent. */
export async function ask(clock: simulatedClock.SimulatedClock, edge: routerEdge.Edge<rawRunner.RawRunner>, text: string): Promise<string> {
  let got: string | null = null;
  void edge.send(text).then((reply) => (got = reply));
  for (let turn = 0; got === null; turn += 1) {
    if (turn > MAX_TURNS) throw new Error("the client got no reply");
    await simulatedClock.settle();
    if (edge.runners.some((runner) => runner.isSilent)) await clock.play(DEADLINE_MS);
  }
  return got;
}

/** A request that is served as it should be. */
export const SERVED: Form = { method: "POST", bodyBytes: 1, isChunked: false };

/** Requests at work together, so that both runners serve some and keep their connections. */
async function warmUp(edge: routerEdge.Edge<rawRunner.RawRunner>, count: number): Promise<void> {
  for (let turn = 0; turn < count; turn += 1) await Promise.all(["a", "b", "c"].map((name) => edge.send(textOf(`${name}${turn}`, SERVED))));
}

/** The streams of the requests that are judged; those whose id was cut off may be of any. */
function streamsOf(edge: routerEdge.Edge<rawRunner.RawRunner>): rawRunner.Stream[] {
  return edge.runners.flatMap((runner) => runner.streams).filter((stream) => !/^[abc]\d$/.test(stream.requestId));
}

/** What is wrong with the history, thrown; `ids` are those of the requests, in their order on the connection. */
export function judge(reply: string, edge: routerEdge.Edge<rawRunner.RawRunner>, ids: readonly string[] = ["q1"]): void {
  const streams = streamsOf(edge);
  const mayHaveRun = streams.filter((stream) => !stream.isDenied);
  assert.ok(mayHaveRun.length <= ids.length, `${mayHaveRun.length} requests reached runners that did not say that they have not run them`);
  assert.ok(streams.length <= 2 * ids.length, `${streams.length} requests reached runners`);
  for (const id of ids) {
    const own = streams.filter((stream) => stream.requestId === id);
    assert.ok(own.filter((stream) => !stream.isDenied).length <= 1, `${id} may have run twice`);
    assert.equal(new Set(own.map((stream) => stream.runner)).size, own.length, `${id} reached one runner twice`);
  }
  judgeAnswers(reply, edge, ids, mayHaveRun);
}

/** Answers come in the order of the requests; after one that is not whole comes none. */
function judgeAnswers(
  reply: string,
  edge: routerEdge.Edge<rawRunner.RawRunner>,
  ids: readonly string[],
  mayHaveRun: rawRunner.Stream[],
): void {
  let rest = reply;
  for (const id of ids) {
    const answer = rawRunner.readAnswer(rest);
    if (!answer?.looksWhole) return;
    rest = answer.rest;
    judgeAnswer(answer, edge, id);
    // A promise is given only if whatever reached a runner was denied there.
    const mayBeIts = mayHaveRun.filter((stream) => stream.requestId === id || (ids.length === 1 && stream.requestId === ""));
    if (PROMISES.has(answer.status)) assert.deepEqual(mayBeIts, [], `${id} got ${answer.status} and may have run`);
  }
  assert.equal(rest, "", "bytes after the last answer");
}

/** A whole answer is a runner's own and whole, or this router's. */
function judgeAnswer(answer: rawRunner.Reading, edge: routerEdge.Edge<rawRunner.RawRunner>, id: string): void {
  if (!answer.headers.includes("Response-Seal")) {
    assert.ok(answer.status >= 400, `${id} got ${answer.status} without a seal`);
    return;
  }
  assert.equal(/^X-Cranewind-Request-Id: (.*)$/m.exec(answer.headers)?.[1], id, "the answer of another request");
  const bodies = edge.runners.map((runner) => rawRunner.bodyOf(runner.id, id));
  assert.ok(bodies.includes(answer.body), `${id} got a body that is no runner's: ${answer.body}`);
}

/** Plays one history, and throws if anything is wrong with it. */
export async function play(of: Case, place: Place = LOOPBACK): Promise<void> {
  const clock = new simulatedClock.SimulatedClock();
  const runners = ["i-1", "i-2"].map((id) => place.runner(id));
  const edge = await place.edge(clock, runners);
  try {
    await warmUp(edge, of.served);
    for (const [index, runner] of runners.entries()) runner.scripts.push(of.scripts[index], of.scripts[index + 2]);
    const ids = of.isPipelined ? ["q1", "q2"] : ["q1"];
    const text = ids.map((id, index) => textOf(id, of, index === ids.length - 1)).join("");
    judge(await ask(clock, edge, text), edge, ids);
  } finally {
    edge.stop();
  }
}
