// Kept connections and their idle times (design/edge 7.13): told, learned, forgotten; time is simulated.
import * as connectionPool from "../../src/runners/connection-pool.js";
import * as idleTimeout from "../../src/runners/idle-timeout.js";
import * as routerEdge from "../sim/router-edge.js";
import * as simulatedClock from "../sim/simulated-clock.js";

const USUAL = connectionPool.IDLE_TIMEOUT_MS;
let clock: simulatedClock.SimulatedClock;
beforeEach(() => (clock = new simulatedClock.SimulatedClock()));

describe("the learned idle limit of a service", () => {
  test("learns nothing from short idle times or late resets", () => {
    const limit = new idleTimeout.IdleTimeout(clock, USUAL);
    expect(limit.maxIdleMs()).toBe(Infinity);
    limit.recordReset(249, 5);
    limit.recordReset(2000, 601);
    expect(limit.maxIdleMs()).toBe(Infinity);
  });

  test("is four fifths of the shortest idle time that was reset, and rises to the default over a minute", () => {
    const limit = new idleTimeout.IdleTimeout(clock, USUAL);
    limit.recordReset(2000, 50);
    expect(limit.maxIdleMs()).toBe(1600);
    limit.recordReset(3000, 50);
    expect(limit.maxIdleMs()).toBe(1600);
    limit.recordReset(1000, 50);
    expect(limit.maxIdleMs()).toBe(800);
    clock.skip(30_000);
    expect(limit.maxIdleMs()).toBe(1600);
    limit.recordReset(1500, 50);
    expect(limit.maxIdleMs()).toBe(1200);
    clock.skip(59_999);
    expect(limit.maxIdleMs()).toBeLessThan(USUAL);
    clock.skip(1);
    expect(limit.maxIdleMs()).toBe(Infinity);
  });

  test("is learned for each service apart", () => {
    const limits = new idleTimeout.IdleTimeouts(clock, USUAL);
    limits.ofService("a").recordReset(1000, 1);
    expect([limits.ofService("a").maxIdleMs(), limits.ofService("b").maxIdleMs()]).toEqual([800, Infinity]);
  });

  test.each([
    ["timeout=5", 4000],
    ["Timeout=3, max=100", 2000],
    ["max=9, timeout=1", 0],
    ["timeout=0", 0],
    ["max=9", Infinity],
    [undefined, Infinity],
  ])("Keep-Alive %s allows %d ms", (told, ms) => {
    expect(idleTimeout.parseKeepAliveMs(told)).toBe(ms);
  });

  test.each([
    ["ECONNRESET", true],
    ["EPIPE", true],
    ["UND_ERR_SOCKET", true],
    ["HPE_INVALID_CONSTANT", false],
    [undefined, false],
  ])("an error %s is a reset: %s", (code, isReset) => {
    expect(idleTimeout.isConnectionReset({ code })).toBe(isReset);
  });
});

let opened = 0;
let limit: idleTimeout.IdleTimeout;
let kept: connectionPool.ConnectionPool;

/** Gives each test of a group connections of its own. */
function useConnections(): void {
  beforeEach(() => {
    opened = 0;
    limit = new idleTimeout.IdleTimeout(clock, USUAL);
    kept = new connectionPool.ConnectionPool("127.0.0.1:1", () => (opened += 1), limit);
  });
  afterEach(() => kept.closeIdle());
}

/** Two kept connections, given back in this order with so much time between and after. */
function two(betweenMs: number, afterMs: number): [connectionPool.Connection, connectionPool.Connection] {
  const [first, second] = [kept.acquire(4)!, kept.acquire(4)!];
  kept.release(first, true);
  clock.skip(betweenMs);
  kept.release(second, true);
  clock.skip(afterMs);
  return [first, second];
}

describe("connections", () => {
  useConnections();

  test("the connection used last is reused by default, for any request", () => {
    const [first, second] = two(500, 3000);
    expect(kept.acquire(4, false)).toBe(second);
    expect(kept.acquire(4, true)).toBe(first);
    expect([second.idleMs, first.idleMs]).toEqual([3000, 3500]);
  });

  test("with a learned limit, requests that are not repeatable leave older connections to the others", () => {
    const [first, second] = two(500, 1000);
    limit.recordReset(1000, 10);
    const fresh = kept.acquire(4, false)!;
    expect([first, second]).not.toContain(fresh);
    expect(fresh.isFresh).toBe(true);
    expect([kept.acquire(4, true), kept.acquire(4, true)]).toEqual([second, first]);
    kept.release(fresh, true);
    clock.skip(800);
    expect(kept.acquire(4, false)).toBe(fresh);
  });

  test("at the maximum, the connection that was idle for longest is closed for a new one", () => {
    const [first, second] = two(500, 1000);
    limit.recordReset(1000, 10);
    const fresh = kept.acquire(2, false)!;
    expect([fresh === first, fresh === second, first.isClosed, second.isClosed]).toEqual([false, false, true, false]);
    expect(kept.acquire(2, true)).toBe(second);
    expect(kept.acquire(2, false)).toBeNull();
  });
});

describe("connections", () => {
  useConnections();

  test("the Keep-Alive of the runner limits the reuse for all requests", () => {
    const made = kept.acquire(4)!;
    kept.release(made, true, "timeout=3");
    clock.skip(2000);
    expect(kept.acquire(4, true)).toBe(made);
    kept.release(made, true, "timeout=3");
    clock.skip(2001);
    expect(kept.acquire(4, true)).not.toBe(made);
    expect(made.isClosed).toBe(true);
  });

  test("only a reset of a reused connection is learned from", () => {
    const made = kept.acquire(4)!;
    clock.skip(2000);
    kept.recordReset(made);
    expect(limit.maxIdleMs()).toBe(Infinity);
    kept.release(made, true);
    clock.skip(2000);
    kept.acquire(4);
    clock.skip(40);
    kept.recordReset(made);
    expect(limit.maxIdleMs()).toBe(1600);
  });
});

describe("a runner that closes connections idle for over 1.5 s", () => {
  let edge: routerEdge.Edge;
  let asked = 0;
  beforeEach(async () => {
    edge = await routerEdge.Edge.start(clock, [{ id: "i-1", forgetMs: 1500, now: () => clock.now() }]);
    asked = 0;
  });
  afterEach(() => edge.stop());

  async function ask(route: string, idleMs: number): Promise<string> {
    clock.skip(idleMs);
    asked += 1;
    const reply = await edge.send(
      `POST /${route}/x HTTP/1.1\r\nHost: h\r\nX-Cranewind-Request-Id: q${asked}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`,
    );
    return reply.slice(9, 12);
  }

  test("loses one request; the next ones open new connections, and none runs twice", async () => {
    expect(await ask("once", 0)).toBe("200");
    expect(await ask("once", 1000)).toBe("200");
    expect(edge.runners[0].openedConnections).toBe(1);
    expect(await ask("once", 2000)).toBe("502"); // may have run: nothing says that it has not
    expect(await ask("once", 5000)).toBe("200");
    for (let turn = 0; turn < 4; turn += 1) expect(await ask("once", 2000)).toBe("200");
    expect(await ask("once", 1200)).toBe("200");
    expect(edge.runners[0].openedConnections).toBe(6); // the last one was within the learned limit and reused
    const ids = edge.seen().map((seen) => seen.requestId);
    expect(new Set(ids).size).toBe(ids.length);
    expect(ids).not.toContain("q3");
  });

  test("is still reached over reused connections by repeatable requests, from which the others learn", async () => {
    expect(await ask("once", 0)).toBe("200");
    await ask("read", 2000);
    expect(edge.seen()).toHaveLength(1); // reset unread; the only runner was tried
    expect(await ask("once", 3000)).toBe("200");
    expect(await ask("once", 2000)).toBe("200");
    expect(edge.seen().map((seen) => seen.requestId)).toEqual(["q1", "q3", "q4"]);
  });
});
