// Silence takes a router out of the directory, then out of the membership (design 4.1, 4.3).
import * as directory from "../../src/control/directory/directory.js";
import * as membership from "../../src/control/members/membership.js";
import * as publishedMembership from "../../src/control/members/published-membership.js";
import type * as link from "../../src/wire/link.js";
import * as types from "../../src/wire/types.js";
import * as schema from "../../src/wire/schema.js";
import * as drainWindows from "../../src/settings/drain-windows.js";
import * as simulatedClock from "../sim/simulated-clock.js";
import { node, router } from "../sim/nodes.js";

const TIMEOUT_MS = 1800;
const GRACE_MS = 8000;

class FakeLink {
  receivedAt = 0;
  private readonly endListeners: ((cause: string) => void)[] = [];
  readonly sent: unknown[] = [];

  constructor(private readonly clock: simulatedClock.SimulatedClock) {}

  idleMs(): number {
    return this.clock.now() - this.receivedAt;
  }

  once(_event: string, listener: (cause: string) => void): void {
    this.endListeners.push(listener);
  }

  send(_pair: unknown, message: unknown): void {
    this.sent.push(message);
  }

  end(cause: string): void {
    for (const listener of this.endListeners.splice(0)) listener(cause);
  }

  receiveSomething(): void {
    this.receivedAt = this.clock.now();
  }

  asLink(): link.Link {
    return this as unknown as link.Link;
  }
}

function heartbeat(isReady: boolean): schema.Heartbeat {
  return { isReady, epoch: types.small(1), isSettled: true, index: 0, members: 1, silentRegions: [] };
}

function snapshotOf(nodes: schema.NodeInfo[]): schema.RosterUpdate {
  const peer = new publishedMembership.PublishedMembership("peer");
  peer.update(nodes, []);
  return peer.deltaSince(-1);
}

/** A control node's membership, with links that the test keeps. */
class MembershipFixture {
  readonly clock = new simulatedClock.SimulatedClock(1);
  readonly members = new membership.Membership(this.clock, TIMEOUT_MS, "life");

  open(info: schema.NodeInfo): FakeLink {
    const made = new FakeLink(this.clock);
    made.receiveSomething();
    this.members.openSession(info, made.asLink());
    return made;
  }

  /** The routers that the directory names to a client of their region. */
  resolve(): string[] {
    const drains: directory.DrainView = {
      isDraining: (info) => this.members.isDraining(info),
      stillServes: (info) => this.members.stillServes(info, GRACE_MS),
    };
    return directory.nearestRouters(this.members.routers(), { region: "r", zone: "r" }, drains).map((info) => info.name);
  }

  names(role: string): string[] {
    return this.members.withRole(role).map((info) => info.name);
  }
}

describe("membership", () => {
  test("a router that misses its heartbeats leaves the directory first and the membership later", async () => {
    const fixture = new MembershipFixture();
    const a = fixture.open(router("a"));
    const b = fixture.open(router("b"));
    await fixture.clock.play(1000);
    b.receiveSomething();
    expect(fixture.resolve()).toEqual(["b"]);
    expect(fixture.names("router")).toHaveLength(2);
    await fixture.clock.play(900);
    b.receiveSomething();
    fixture.members.expireSilent();
    expect(fixture.names("router")).toEqual(["b"]);
    expect(a.idleMs()).toBeGreaterThan(TIMEOUT_MS);
  });

  test("after the control node itself was frozen, all are silent and still no reply is empty", async () => {
    const fixture = new MembershipFixture();
    fixture.open(router("a"));
    fixture.open(router("b"));
    await fixture.clock.play(1500);
    expect(fixture.resolve()).toEqual(["a", "b"]);
  });

  test("a peer's older update does not make a draining router ready again; its next incarnation is accepted", () => {
    const fixture = new MembershipFixture();
    const { members } = fixture;
    const a = fixture.open(router("a"));
    fixture.open(router("c"));
    const peer = fixture.open(node("s", "control"));
    members.receiveHeartbeat(a.asLink(), heartbeat(false));
    a.end("closed");
    members.receivePeerMembership(peer.asLink(), snapshotOf([router("a")]));
    expect(fixture.resolve()).toEqual(["c"]);
    members.receivePeerMembership(peer.asLink(), snapshotOf([router("a", { life: "a/2" })]));
    expect(fixture.resolve()).toEqual(["a", "c"]);
  });

  test("while all routers of a region leave, the directory names those that still serve there, and others once they don't", () => {
    const fixture = new MembershipFixture();
    const { clock, members } = fixture;
    const { namedMs } = drainWindows.drainWindows(GRACE_MS);
    const a = fixture.open(router("a"));
    const b = fixture.open(router("b"));
    const c = fixture.open(router("c", { region: "q", zone: "q-1" }));
    const skip = (ms: number): void => {
      clock.skip(ms);
      for (const each of [a, b, c]) each.receiveSomething();
    };
    members.receiveHeartbeat(a.asLink(), heartbeat(false));
    expect(fixture.resolve()).toEqual(["b"]);
    skip(namedMs - 200);
    members.receiveHeartbeat(b.asLink(), heartbeat(false));
    expect(fixture.resolve()).toEqual(["a", "b"]);
    skip(300);
    expect(fixture.resolve()).toEqual(["b"]);
    skip(namedMs - 200);
    expect(fixture.resolve()).toEqual(["c"]);
  });

  test("a newer session of a node ends the older one and stays when that ends late", () => {
    const fixture = new MembershipFixture();
    const first = fixture.open(router("a"));
    fixture.open(router("a"));
    first.end("closed");
    expect(fixture.resolve()).toEqual(["a"]);
    expect(fixture.members.hasSession("a")).toBe(true);
  });

  test("a router's heartbeat carries its index among all routers, with sessions here or published by peers", () => {
    const fixture = new MembershipFixture();
    const b = fixture.open(router("b"));
    const peer = fixture.open(node("s", "control"));
    fixture.members.receivePeerMembership(peer.asLink(), snapshotOf([router("a"), router("c")]));
    fixture.members.sendHeartbeats({ isReady: true, epoch: types.small(1), isSettled: true, silentRegions: [], index: 0 });
    expect(b.sent).toEqual([{ isReady: true, epoch: 1, isSettled: true, index: 1, members: 3, silentRegions: [] }]);
  });
});
