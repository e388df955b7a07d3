// Whose answer reaches a client, and what says that a request has run: raw bytes at stand-in runners, time is simulated.
import * as net from "node:net";
import * as log from "../../src/runtime/log.js";
import * as routerEdge from "../sim/router-edge.js";
import * as rawRunner from "../sim/raw-runner.js";
import * as simulatedClock from "../sim/simulated-clock.js";

type Edge = routerEdge.Edge<rawRunner.RawRunner>;

let clock: simulatedClock.SimulatedClock;
let edge: Edge | null = null;
beforeEach(() => (clock = new simulatedClock.SimulatedClock()));
afterEach(() => edge?.stop());

/** A router with two runners; the first takes these scripts, and both are told apart by their bodies. */
async function start(scripts: rawRunner.Script[], greeting = ""): Promise<Edge> {
  edge = await routerEdge.Edge.over(clock, [new rawRunner.RawRunner("i-1", scripts, greeting), new rawRunner.RawRunner("i-2")]);
  return edge;
}

function post(route: string, id: string, isLast = true): string {
  return `POST /${route}/x HTTP/1.1\r\nHost: h\r\nX-Cranewind-Request-Id: ${id}\r\n${isLast ? "Connection: close\r\n" : ""}Content-Length: 4\r\n\r\nbody`;
}

async function ask(route: string, id: string): Promise<rawRunner.Reading> {
  const text = await edge!.send(post(route, id));
  return rawRunner.readAnswer(text)!;
}

function streams(): rawRunner.Stream[] {
  return edge!.runners.flatMap((runner) => runner.streams);
}

const FOREIGN: [string, string[]][] = [
  ["no id", []],
  ["another id", ["q0"]],
  ["an empty id", [""]],
  ["its own id and another", ["own", "q0"]],
  ["another id and its own", ["q0", "own"]],
  ["its own id with more behind it", ["q1, q0"]],
];

describe.each(FOREIGN)("an answer with %s", (_name, ids) => {
  test.each([200, 404, 500, 503])("of status %i is not passed on, and what may not run twice has run", async (status) => {
    await start([rawRunner.served({ ids, status, isNotExecuted: status === 503 })]);
    const reply = await ask("once", "q1");
    expect([reply.status, reply.headers.includes("Seal"), streams().length]).toEqual([502, false, 1]);
  });

  test("of a repeatable request is left for another runner's", async () => {
    await start([rawRunner.served({ ids })]);
    expect(await ask("read", "q1")).toMatchObject({ status: 200, body: rawRunner.bodyOf("i-2", "q1"), looksWhole: true });
  });
});

test("an answer that bears its own id twice is its own", async () => {
  await start([rawRunner.served({ ids: ["own", "own"] })]);
  expect(await ask("once", "q1")).toMatchObject({ status: 200, body: rawRunner.bodyOf("i-1", "q1") });
});

test.each([408, 429, 503])("a %i that does not say that the request has not run is no promise to a client", async (status) => {
  await start([rawRunner.served({ status })]);
  const reply = await ask("once", "q1");
  expect([reply.status, reply.headers.includes("Seal"), streams().length]).toEqual([502, false, 1]);
});

test("a success that says it has not run may have run", async () => {
  await start([rawRunner.served({ isNotExecuted: true })]);
  await ask("once", "q1");
  expect(streams()).toHaveLength(1);
});

test.each([400, 401, 404, 409, 413, 422, 500, 502, 504])(
  "a failure with a runner's seal keeps its status %i and its body",
  async (status) => {
    await start([rawRunner.served({ status })]);
    const reply = await ask("once", "q1");
    expect(reply).toMatchObject({ status, body: rawRunner.bodyOf("i-1", "q1"), looksWhole: true });
    expect(reply.headers).toContain("Seal: seal-q1");
  },
);

test.each([400, 429, 503])("a runner's %i that says it has not run bears no seal on its way to the client", async (status) => {
  const denial = rawRunner.served({ status, isNotExecuted: true });
  edge = await routerEdge.Edge.over(clock, [new rawRunner.RawRunner("i-1", [denial]), new rawRunner.RawRunner("i-2", [denial])]);
  const reply = await ask("once", "q1");
  expect([reply.status, reply.headers.includes("Seal")]).toEqual([status === 400 ? 400 : 503, false]);
  expect(streams().every((stream) => stream.isDenied)).toBe(true);
});

describe("an answer too many", () => {
  const extra: rawRunner.Script = { answer: rawRunner.FINE, part: "answer", byte: rawRunner.EVERY_BYTE, fault: "extra" };

  test("right after a whole one reaches nobody, and its connection is not used again", async () => {
    await start([extra]);
    expect(await ask("once", "q1")).toMatchObject({ status: 200, body: rawRunner.bodyOf("i-1", "q1"), rest: "" });
    await simulatedClock.settle();
    expect(await ask("once", "q2")).toMatchObject({ status: 200, looksWhole: true });
    expect(edge!.runners[0].sockets.length + edge!.runners[1].sockets.length).toBe(2);
  });

  test("on an idle connection ends that connection", async () => {
    await start([]);
    await ask("once", "q1");
    const [runner] = edge!.runners;
    runner.sockets[0].write(rawRunner.answerBytes("i-1", "q1", rawRunner.FINE));
    await new Promise((resolve) => runner.sockets[0].once("close", resolve));
    expect(await ask("once", "q2")).toMatchObject({ status: 200, looksWhole: true });
    expect(streams().map((stream) => stream.requestId)).toEqual(["q1", "q2"]);
  });

  test.each(["", "H", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "garbage"])(
    "sent before any request (%j) is taken for none",
    async (greeting) => {
      await start([], greeting);
      const reply = await ask("once", "q1");
      expect([200, 502]).toContain(reply.status);
      if (reply.status === 200) expect(reply.body).toMatch(/ to q1$/);
      expect(streams().length).toBeLessThanOrEqual(1);
    },
  );

  test("in the place of the next answer reaches nobody, and the next request is not sent again", async () => {
    await start([rawRunner.served(), rawRunner.served({ ids: ["q1"] })]);
    await ask("once", "q1");
    const before = log.counted().get("router.foreign_answer") ?? 0;
    expect(await ask("once", "q2")).toMatchObject({ status: 502 });
    expect(log.counted().get("router.foreign_answer")).toBe(before + 1);
    expect(streams().map((stream) => stream.requestId)).toEqual(["q1", "q2"]);
  });

  test("with the id of a request that is being repeated is on another connection than the repetition", async () => {
    await start([{ answer: { ...rawRunner.FINE, ids: ["q0"] }, part: "answer", byte: rawRunner.EVERY_BYTE, fault: "extra" }]);
    expect(await ask("read", "q1")).toMatchObject({ status: 200, body: rawRunner.bodyOf("i-2", "q1"), rest: "" });
  });
});

describe("an answer that ends with its connection", () => {
  const answer: rawRunner.Answer = { ...rawRunner.FINE, framing: "until_close" };

  test("is whole when that ends in order", async () => {
    await start([rawRunner.served({ framing: "until_close" })]);
    expect(await ask("once", "q1")).toMatchObject({ status: 200, body: rawRunner.bodyOf("i-1", "q1"), looksWhole: true });
  });

  test("is not whole when that is reset", async () => {
    const head = rawRunner.answerBytes("i-1", "q1", answer).indexOf("\r\n\r\n") + 4;
    await start([{ answer, part: "answer", byte: head + 5, fault: "silent" }]);
    const reply = edge!.send(post("once", "q1"));
    while (!edge!.runners[0].isSilent) await simulatedClock.settle();
    await simulatedClock.settle();
    edge!.runners[0].sockets[0].resetAndDestroy();
    const read = rawRunner.readAnswer(await reply);
    expect(read === null || read.status === 502 || !read.looksWhole).toBe(true);
  });
});

test("a runner whose address went to another service is left, and not asked again", async () => {
  const reused = new rawRunner.RawRunner("i-1");
  edge = await routerEdge.Edge.over(clock, [reused, new rawRunner.RawRunner("i-2")]);
  Object.defineProperty(reused, "id", { value: "i-9" });
  for (const id of ["q1", "q2", "q3"]) expect(await ask("once", id)).toMatchObject({ status: 200, body: rawRunner.bodyOf("i-2", id) });
  expect(reused.streams.map((stream) => stream.isDenied)).toEqual([true]);
});

test("max_attempts counts all runners that one try was sent to, also after answers that ended early", async () => {
  const cut: rawRunner.Script = { answer: rawRunner.FINE, part: "answer", byte: 20, fault: "reset" };
  edge = await routerEdge.Edge.over(
    clock,
    ["i-1", "i-2", "i-3", "i-4"].map((id) => new rawRunner.RawRunner(id, [cut])),
  );
  expect((await ask("read", "q1")).status).toBe(502);
  expect(streams()).toHaveLength(2);
});

describe("the client's connection", () => {
  test("ends with an answer that broke off: what was sent behind it gets no answer there", async () => {
    const half: rawRunner.Script = {
      answer: rawRunner.FINE,
      part: "answer",
      byte: rawRunner.answerBytes("i-1", "q1", rawRunner.FINE).length - 5,
      fault: "close",
    };
    await start([half]);
    const text = await edge!.send(post("once", "q1", false) + post("once", "q2"));
    expect(text.match(/HTTP\/1\.1 /g) ?? []).toHaveLength(1);
    expect(rawRunner.readAnswer(text)!.looksWhole).toBe(false);
  });

  test("bears answers in the order of the requests", async () => {
    await start([]);
    const text = await edge!.send(post("once", "q1", false) + post("once", "q2"));
    const first = rawRunner.readAnswer(text)!;
    const second = rawRunner.readAnswer(first.rest)!;
    expect([first.body.slice(-2), second.body.slice(-2), second.rest]).toEqual(["q1", "q2", ""]);
  });

  test("is taken up again after resting for four fifths of idle_timeout_ms", async () => {
    await start([]);
    edge!.server.applyLimits({ idle_timeout_ms: 2500 });
    const socket = net.connect(edge!.server.port, "127.0.0.1");
    let text = "";
    socket.on("data", (chunk: Buffer) => (text += chunk.toString("latin1")));
    const ended = new Promise((resolve) => socket.once("close", resolve));
    socket.write(post("once", "q1", false));
    while (!text.includes("to q1")) await simulatedClock.settle();
    // Both ends' timers are of this process, so the shorter one always comes first.
    setTimeout(() => socket.write(post("once", "q2")), 2000);
    await ended;
    expect(text).toContain("to q2");
  });
});

describe("a request's time", () => {
  test.each([
    ["the route's deadline", "", 1500],
    ["the client's budget", "X-Cranewind-Time-Budget-Ms: 300\r\n", 300],
    ["the route's deadline, under a longer budget", "X-Cranewind-Time-Budget-Ms: 60000\r\n", 1500],
  ])("ends with %s when its runner is silent", async (_name, field, ms) => {
    await start([{ answer: rawRunner.FINE, part: "answer", byte: 0, fault: "silent" }]);
    const reply = edge!.send(post("once", "q1").replace("Content-Length", `${field}Content-Length`));
    while (!edge!.runners[0].isSilent) await simulatedClock.settle();
    await clock.play(ms - 1);
    expect(edge!.server.activeCount).toBe(1);
    await clock.play(2);
    expect(edge!.server.activeCount).toBe(0);
    expect(rawRunner.readAnswer(await reply)!.status).toBe(504);
  });

  test.each([
    ["its budget", "X-Cranewind-Time-Budget-Ms: 200\r\n", 200],
    ["at most 800 ms", "", 800],
  ])("is not spent waiting for a first configuration beyond %s", async (_name, field, ms) => {
    await start([]);
    edge!.isReady = false;
    const reply = edge!.send(post("once", "q1").replace("Content-Length", `${field}Content-Length`));
    while (edge!.server.activeCount === 0) await simulatedClock.settle();
    await simulatedClock.settle();
    await clock.play(ms - 1);
    expect(edge!.server.activeCount).toBe(1);
    await clock.play(2);
    expect(rawRunner.readAnswer(await reply)!.status).toBe(503);
    expect(streams()).toHaveLength(0);
  });
});
