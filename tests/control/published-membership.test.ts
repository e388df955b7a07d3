// Memberships that control nodes publish to each other as deltas (design/members 1).
import * as peerMembership from "../../src/control/members/peer-membership.js";
import * as publishedMembership from "../../src/control/members/published-membership.js";
import * as schema from "../../src/wire/schema.js";
import * as types from "../../src/wire/types.js";
import * as simulatedClock from "../sim/simulated-clock.js";
import { router } from "../sim/nodes.js";

const UNKNOWN = -1;

function names(nodes: Iterable<schema.NodeInfo>): string[] {
  return [...nodes].map((node) => `${node.name}${node.isReady ? "" : "-"}`).sort();
}

interface Change {
  description: string;
  now: schema.NodeInfo[];
  published: string[];
  removed: string[];
}

const CHANGES: Change[] = [
  { description: "nothing", now: [router("a"), router("b")], published: [], removed: [] },
  { description: "one entered", now: [router("a"), router("b"), router("c")], published: ["c"], removed: [] },
  { description: "one left", now: [router("a")], published: [], removed: ["b"] },
  { description: "one no longer ready", now: [router("a"), router("b", { isReady: false })], published: ["b-"], removed: [] },
  { description: "one in its next incarnation", now: [router("a", { life: "a/2" }), router("b")], published: ["a"], removed: [] },
  { description: "one left, another entered", now: [router("b"), router("d")], published: ["d"], removed: ["a"] },
];

interface Gap {
  description: string;
  damage(update: schema.RosterUpdate): schema.RosterUpdate;
}

const GAPS: Gap[] = [
  { description: "a delta missed", damage: (update) => ({ ...update, from: update.from + 1 }) },
  { description: "another incarnation", damage: (update) => ({ ...update, life: "other" }) },
  { description: "another count", damage: (update) => ({ ...update, count: update.count + 1 }) },
  { description: "another digest", damage: (update) => ({ ...update, digest: update.digest + 1 }) },
];

describe("published membership", () => {
  test.each(CHANGES)("a delta holds what changed and no more: $description", ({ now, published, removed }) => {
    const own = new publishedMembership.PublishedMembership("life");
    const replica = new peerMembership.PeerMembership();
    own.update([router("a"), router("b")], []);
    expect(replica.applyUpdate(own.deltaSince(UNKNOWN))).toBe(true);
    const offset = own.newestNumber;
    own.update(now, []);
    const delta = own.deltaSince(offset);
    expect([names(delta.nodes), delta.gone, delta.isWhole]).toEqual([published, removed, false]);
    expect(replica.applyUpdate(schema.sessions.fromBuffer(schema.sessions.toBuffer(delta)))).toBe(true);
    expect(names(replica.all())).toEqual(names(now));
  });

  test("of nodes of which only the epoch moved at most two are published a heartbeat, whatever the number of routers", () => {
    const own = new publishedMembership.PublishedMembership("life");
    const all = Array.from({ length: 40 }, (_item, index) => router(`r${index}`));
    own.update(all, []);
    const moved = all.map((node) => ({ ...node, epoch: types.small<types.Epoch>(9) }));
    const seen = new Set<string>();
    for (let heartbeat = 0; heartbeat < 20; heartbeat += 1) {
      const offset = own.newestNumber;
      own.update(moved, []);
      const { nodes } = own.deltaSince(offset);
      expect(nodes).toHaveLength(2);
      for (const node of nodes) seen.add(node.name);
    }
    expect(seen.size).toBe(40);
    const offset = own.newestNumber;
    own.update(moved, []);
    expect(own.deltaSince(offset).nodes).toHaveLength(0);
  });

  test.each(GAPS)("a gap is noticed and a snapshot repairs it: $description", ({ damage }) => {
    const own = new publishedMembership.PublishedMembership("life");
    const replica = new peerMembership.PeerMembership();
    own.update([router("a"), router("b")], []);
    replica.applyUpdate(own.deltaSince(UNKNOWN));
    const offset = own.newestNumber;
    own.update([router("b"), router("c")], []);
    expect(replica.applyUpdate(damage(own.deltaSince(offset)))).toBe(false);
    expect(replica.applyUpdate(own.deltaSince(own.newestNumber))).toBe(false);
    expect(replica.applyUpdate(own.deltaSince(UNKNOWN))).toBe(true);
    expect(names(replica.all())).toEqual(["b", "c"]);
  });

  test("by seed: deltas equal the snapshot after random changes and lost updates; a peer further behind than kept gets a snapshot", () => {
    for (let seed = 1; seed <= 12; seed += 1) {
      const clock = new simulatedClock.SimulatedClock(seed);
      const own = new publishedMembership.PublishedMembership("life");
      const replica = new peerMembership.PeerMembership();
      const now = new Map<string, schema.NodeInfo>();
      let offset = UNKNOWN;
      for (let heartbeat = 0; heartbeat < 100; heartbeat += 1) {
        for (let change = clock.random() * 12; change > 1; change -= 1) {
          const name = `r${Math.floor(clock.random() * 50)}`;
          if (clock.random() < 0.4) now.delete(name);
          else now.set(name, router(name, { isReady: clock.random() < 0.7, life: `${name}/${Math.floor(clock.random() * 3)}` }));
        }
        own.update([...now.values()], []);
        const update = own.deltaSince(offset);
        offset = own.newestNumber;
        if (clock.random() < 0.2) continue; // the update is lost, and the publisher does not know
        if (!replica.applyUpdate(update)) expect(replica.applyUpdate(own.deltaSince(UNKNOWN))).toBe(true);
        expect(names(replica.all())).toEqual(names(now.values()));
      }
    }
    const own = new publishedMembership.PublishedMembership("life");
    own.update([router("x")], []);
    const offset = own.newestNumber;
    own.update([router("x"), ...Array.from({ length: 1100 }, (_item, index) => router(`r${index}`))], []);
    own.update([router("x")], []);
    expect(own.deltaSince(offset).isWhole).toBe(true);
  });
});
