// Sessions: silence takes a router out of the directory, then out of the members (design 4.1, 4.3).
import * as directory from "../src/control/directory/directory.js";
import * as rosters from "../src/control/members/roster.js";
import * as membership from "../src/control/members/membership.js";
import type * as link from "../src/wire/link.js";
import * as types from "../src/wire/types.js";
import * as schema from "../src/wire/schema.js";
import * as sim from "./sim/world.js";

class FakeLink {
  heardAt = 0;
  private ended: ((cause: string) => void)[] = [];
  readonly told: unknown[] = [];
  constructor(private readonly clock: sim.SimWorld) {}
  silentMs(): number {
    return this.clock.now() - this.heardAt;
  }
  once(_event: string, run: (cause: string) => void): void {
    this.ended.push(run);
  }
  tell(_pair: unknown, ask: unknown): void {
    this.told.push(ask);
  }
  end(cause: string): void {
    for (const run of this.ended.splice(0)) run(cause);
  }
  hear(): void {
    this.heardAt = this.clock.now();
  }
}

function node(name: string, role = "router", more: Partial<schema.NodeInfo> = {}): schema.NodeInfo {
  return {
    name,
    role,
    life: `${name}/1`,
    zone: "z",
    region: "r",
    address: "",
    outside: `${name}:1`,
    disk: "",
    isCounted: false,
    isReady: true,
    epoch: types.small(1),
    ...more,
  };
}

function told(nodes: schema.NodeInfo[]): schema.Sessions {
  const roster = new rosters.Roster("sibling");
  roster.update(nodes, []);
  return roster.deltaSince(-1);
}

function setUp(): {
  clock: sim.SimWorld;
  members: membership.Membership;
  links: FakeLink[];
  enter(info: schema.NodeInfo): FakeLink;
  names(): string[];
} {
  const clock = new sim.SimWorld(1);
  const members = new membership.Membership(clock, 1800, "life");
  const links: FakeLink[] = [];
  return {
    clock,
    members,
    links,
    enter(info) {
      const made = new FakeLink(clock);
      made.hear();
      links.push(made);
      members.enter(info, made as unknown as link.Link);
      return made;
    },
    names: () => directory.nearest(members.routers(), { region: "r", zone: "z" }).map((item) => item.name),
  };
}

test("a router that misses its beats leaves the directory first and the members later", async function missed() {
  const { clock, members, enter, names } = setUp();
  const a = enter(node("a"));
  const b = enter(node("b"));
  await clock.play(1000);
  b.hear();
  expect(names()).toEqual(["b"]);
  expect(members.withRole("router")).toHaveLength(2);
  await clock.play(900);
  b.hear();
  members.expireSilent();
  expect(members.withRole("router").map((item) => item.name)).toEqual(["b"]);
  expect(a.silentMs()).toBeGreaterThan(1800);
});

test("after the control node itself was frozen, all are silent and still no reply is empty", async function frozen() {
  const { clock, enter, names } = setUp();
  enter(node("a"));
  enter(node("b"));
  await clock.play(1500);
  expect(names()).toEqual(["a", "b"]);
});

test("a sibling's older word does not bring a leaving router back; its next life is taken", async function leaving() {
  const { members, enter, names } = setUp();
  const a = enter(node("a"));
  enter(node("c"));
  const sibling = enter(node("s", "control"));
  members.receiveHeartbeat(a as unknown as link.Link, {
    isReady: false,
    epoch: types.small(1),
    isSettled: true,
    index: 0,
    members: 1,
    silentRegions: [],
  });
  a.end("closed");
  members.receiveRoster(sibling as unknown as link.Link, told([node("a")]));
  expect(names()).toEqual(["c"]);
  members.receiveRoster(sibling as unknown as link.Link, told([node("a", "router", { life: "a/2" })]));
  expect(names()).toEqual(["a", "c"]);
});

test("while all routers of a region leave, the directory names those that still serve there, and others once they don't", () => {
  const { clock, members, enter } = setUp();
  const links = ["a", "b"].map((name) => enter(node(name)));
  const all = [...links, enter(node("c", "router", { region: "q", zone: "q-1" }))];
  const { region, zone } = node("a");
  const named = (): string[] => {
    const stillServes = members.stillServes.bind(members);
    return directory.nearest(members.routers(), { region, zone }, stillServes).map((item) => item.name);
  };
  const leave = (at: number): void => {
    const beat = { isReady: false, epoch: types.small<types.Epoch>(1), isSettled: true, index: 0, members: 1, silentRegions: [] };
    members.receiveHeartbeat(links[at] as unknown as link.Link, beat);
  };
  leave(0);
  expect(named()).toEqual(["b"]);
  clock.skip(1400);
  for (const each of all) each.hear();
  leave(1);
  expect(named()).toEqual(["a", "b"]);
  clock.skip(1200);
  for (const each of all) each.hear();
  expect(named()).toEqual(["b"]);
  clock.skip(1400);
  for (const each of all) each.hear();
  expect(named()).toEqual(["c"]);
});

test("a newer session of a node ends the older one and stays when that ends late", function newer() {
  const { members, enter, names } = setUp();
  const first = enter(node("a"));
  enter(node("a"));
  first.end("closed");
  expect(names()).toEqual(["a"]);
  expect(members.hasSession("a")).toBe(true);
});

test("shares are dealt by place among all routers, held here or told", function dealt() {
  const { members, enter } = setUp();
  const b = enter(node("b"));
  const sibling = enter(node("s", "control"));
  members.receiveRoster(sibling as unknown as link.Link, told([node("a"), node("c")]));
  members.sendHeartbeats({ isReady: true, epoch: types.small(1), isSettled: true, silentRegions: [], index: 0 });
  expect(b.told).toEqual([{ isReady: true, epoch: 1, isSettled: true, index: 1, members: 3, silentRegions: [] }]);
});
