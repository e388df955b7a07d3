// Rosters told by differences, and the few control nodes of a router (design/members).
import * as rosters from "../src/control/members/roster.js";
import * as sessionSelector from "../src/feed/session-selector.js";
import * as schema from "../src/wire/schema.js";
import * as types from "../src/wire/types.js";
import * as sim from "./sim/world.js";
import { router } from "./sim/nodes.js";

function names(nodes: Iterable<schema.NodeInfo>): string[] {
  return [...nodes].map((item) => `${item.name}${item.isReady ? "" : "-"}`).sort();
}

const CHANGES: [string, schema.NodeInfo[], string[], string[]][] = [
  ["nothing", [router("a"), router("b")], [], []],
  ["one entered", [router("a"), router("b"), router("c")], ["c"], []],
  ["one left", [router("a")], [], ["b"]],
  ["one no longer ready", [router("a"), router("b", { isReady: false })], ["b-"], []],
  ["one in its next life", [router("a", { life: "a/2" }), router("b")], ["a"], []],
  ["one left, another entered", [router("b"), router("d")], ["d"], ["a"]],
];

test.each(CHANGES)("a difference holds what changed and no more: %s", (_name, now, nodes, gone) => {
  const roster = new rosters.Roster("life");
  const told = new rosters.PeerRoster();
  roster.update([router("a"), router("b")], []);
  expect(told.applyUpdate(roster.deltaSince(-1))).toBe(true);
  const place = roster.newestNumber;
  roster.update(now, []);
  const news = roster.deltaSince(place);
  expect([names(news.nodes), news.gone, news.isWhole]).toEqual([nodes, gone, false]);
  expect(told.applyUpdate(schema.sessions.fromBuffer(schema.sessions.toBuffer(news)))).toBe(true);
  expect(names(told.all())).toEqual(names(now));
});

test("epochs that move are told two a beat at most, whatever the number of routers", () => {
  const roster = new rosters.Roster("life");
  const all = Array.from({ length: 40 }, (_item, index) => router(`r${index}`));
  roster.update(all, []);
  const moved = all.map((item) => ({ ...item, epoch: types.small<types.Epoch>(9) }));
  const seen = new Set<string>();
  for (let beat = 0; beat < 20; beat += 1) {
    const place = roster.newestNumber;
    roster.update(moved, []);
    const { nodes } = roster.deltaSince(place);
    expect(nodes).toHaveLength(2);
    for (const item of nodes) seen.add(item.name);
  }
  expect(seen.size).toBe(40);
  const place = roster.newestNumber;
  roster.update(moved, []);
  expect(roster.deltaSince(place).nodes).toHaveLength(0);
});

const GAPS: [string, (news: schema.Sessions) => schema.Sessions][] = [
  ["a difference missed", (news) => ({ ...news, from: news.from + 1 })],
  ["another life", (news) => ({ ...news, life: "other" })],
  ["another count", (news) => ({ ...news, count: news.count + 1 })],
  ["another digest", (news) => ({ ...news, digest: news.digest + 1 })],
];

test.each(GAPS)("a gap is noticed and the whole mends it: %s", (_name, harm) => {
  const roster = new rosters.Roster("life");
  const told = new rosters.PeerRoster();
  roster.update([router("a"), router("b")], []);
  told.applyUpdate(roster.deltaSince(-1));
  const place = roster.newestNumber;
  roster.update([router("b"), router("c")], []);
  expect(told.applyUpdate(harm(roster.deltaSince(place)))).toBe(false);
  expect(told.applyUpdate(roster.deltaSince(roster.newestNumber))).toBe(false);
  expect(told.applyUpdate(roster.deltaSince(-1))).toBe(true);
  expect(names(told.all())).toEqual(["b", "c"]);
});

test("by seed: differences equal the whole after random enters, leaves, lost news; one further behind than kept gets all", () => {
  for (let seed = 1; seed <= 12; seed += 1) {
    const clock = new sim.SimWorld(seed);
    const roster = new rosters.Roster("life");
    const told = new rosters.PeerRoster();
    const now = new Map<string, schema.NodeInfo>();
    let place = -1;
    for (let beat = 0; beat < 100; beat += 1) {
      for (let change = clock.random() * 12; change > 1; change -= 1) {
        const name = `r${Math.floor(clock.random() * 50)}`;
        if (clock.random() < 0.4) now.delete(name);
        else now.set(name, router(name, { isReady: clock.random() < 0.7, life: `${name}/${Math.floor(clock.random() * 3)}` }));
      }
      roster.update([...now.values()], []);
      const news = roster.deltaSince(place);
      place = roster.newestNumber;
      if (clock.random() < 0.2) continue; // the news is lost, and the teller does not know
      if (!told.applyUpdate(news)) expect(told.applyUpdate(roster.deltaSince(-1))).toBe(true);
      expect(names(told.all())).toEqual(names(now.values()));
    }
  }
  const roster = new rosters.Roster("life");
  roster.update([router("x")], []);
  const place = roster.newestNumber;
  roster.update([router("x"), ...Array.from({ length: 1100 }, (_item, index) => router(`r${index}`))], []);
  roster.update([router("x")], []);
  expect(roster.deltaSince(place).isWhole).toBe(true);
});

interface Core {
  regions: string[];
  routers: string[];
}

const SPREADS: [string, Core][] = [
  ["three regions with two, two and one", { regions: ["a", "a", "b", "b", "c"], routers: ["a", "b", "c"] }],
  ["five regions with one each", { regions: ["a", "b", "c", "d", "e"], routers: ["a", "b", "c", "d", "e"] }],
  ["thirteen regions, five of them with one", { regions: ["a", "b", "c", "d", "e"], routers: [..."abcdefghijklm"] }],
  ["one region", { regions: ["a", "a", "a", "a", "a"], routers: ["a"] }],
];

test.each(SPREADS)(
  "480 routers over 5 control nodes: each within 15 %% of the mean; own and another region held: %s",
  (_name, { regions, routers }) => {
    const places = regions.map((region, index) => ({ address: `10.0.${index}.7:9301`, region }));
    const held = new Map(places.map((place) => [place.address, 0]));
    for (let index = 0; index < 480; index += 1) {
      const region = routers[index % routers.length];
      const chosen = sessionSelector.choose(places, { name: `edge-${index}`, region });
      const of = places.filter((place) => chosen.has(place.address)).map((place) => place.region);
      expect(chosen.size).toBe(3);
      if (regions.includes(region)) expect(of).toContain(region);
      if (new Set(regions).size > 1) expect(of.some((other) => other !== region)).toBe(true);
      for (const address of chosen) held.set(address, held.get(address)! + 1);
    }
    for (const count of held.values()) expect(Math.abs(count / 288 - 1)).toBeLessThan(0.15);
  },
);

test("up to three known are all chosen; one lost moves only its own routers", () => {
  const places = ["a", "b", "c", "d", "e"].map((region) => ({ address: `${region}:1`, region }));
  expect(sessionSelector.choose(places.slice(0, 3), { name: "x", region: "a" }).size).toBe(3);
  expect(sessionSelector.choose(places.slice(0, 2), { name: "x", region: "q" }).size).toBe(2);
  const core = ["a", "a", "b", "b", "c"].map((region, index) => ({ address: `${region}${index}:1`, region }));
  for (const [index, lost] of Array.from({ length: 20 })
    .flatMap(() => core)
    .entries()) {
    const self = { name: `x${index}`, region: ["a", "b", "c", "q"][index % 4] };
    const before = sessionSelector.choose(core, self);
    const after = sessionSelector.choose(
      core.filter((place) => place !== lost),
      self,
      core,
    );
    if (!before.has(lost.address)) expect([...after].sort()).toEqual([...before].sort());
    else expect([...before].filter((address) => after.has(address))).toHaveLength(2);
  }
});
