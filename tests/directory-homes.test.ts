// Where the directory sends clients whose own region has no router to name (design 4.3).
import * as directory from "../src/control/directory/directory.js";
import * as hostHomes from "../src/control/directory/host-homes.js";
import type * as shrinkGuard from "../src/control/members/shrink-guard.js";
import * as registerValue from "../src/register/register-value.js";
import type * as schema from "../src/wire/schema.js";

function router(name: string, region: string, isReady = true): shrinkGuard.ObservedNode {
  const node = { name, region, zone: `${region}-1`, isReady, outside: `${name}:1`, role: "router" } as schema.NodeInfo;
  return { node, isConfirmed: true };
}

function homesIn(routes: { hostname: string; allowed_regions?: string[] | null }[]): hostHomes.HostHomes {
  const value = { ...registerValue.initialValue([]), config: registerValue.pack({ routes }) };
  return new hostHomes.HostHomes(() => value);
}

function resolve(routers: shrinkGuard.ObservedNode[], homes: hostHomes.HostHomes, name: string): unknown {
  const view = { routers: () => routers, stillServes: () => false, homesOf: homes.of.bind(homes), ttlMostS: 5 };
  return directory.resolve(view, new URLSearchParams({ name, region: "amman", zone: "amman-1" })).json;
}

const BOUND = homesIn([
  { hostname: "Bound.example", allowed_regions: ["amman", "irbid"] },
  { hostname: "bound.example", allowed_regions: ["irbid", "aqaba"] },
  { hostname: "bound.example", allowed_regions: null },
  { hostname: "apart.example", allowed_regions: ["amman"] },
  { hostname: "apart.example", allowed_regions: ["irbid"] },
  { hostname: "free.example" },
]);
const LEFT = [router("left", "amman", false)];
const OTHERS = [router("in-aqaba", "aqaba"), router("in-irbid", "irbid")];

test("regions that a host's routes are bound to: those that all allow, any where they share none, none where none is bound", () => {
  expect([...BOUND.of("bound.example")]).toEqual(["irbid"]);
  expect([...BOUND.of("APART.example")].sort()).toEqual(["amman", "irbid"]);
  expect([...BOUND.of("free.example"), ...BOUND.of("unknown.example")]).toEqual([]);
});

test("with all routers of the own region leaving, bound hosts are sent to a region that their routes allow", () => {
  expect(resolve([...LEFT, ...OTHERS], BOUND, "bound.example")).toMatchObject({ addresses: ["in-irbid:1"] });
  expect(resolve([...LEFT, ...OTHERS], BOUND, "free.example")).toMatchObject({ addresses: ["in-aqaba:1", "in-irbid:1"] });
});

test("where no region that they allow has a router, any will do; the own region's go first as ever", () => {
  expect(resolve([...LEFT, OTHERS[0]], BOUND, "bound.example")).toMatchObject({ addresses: ["in-aqaba:1"] });
  expect(resolve([router("here", "amman"), ...OTHERS], BOUND, "bound.example")).toMatchObject({ addresses: ["here:1"] });
});

test("a changed configuration is read anew", () => {
  let value: schema.Value = { ...registerValue.initialValue([]), config: registerValue.pack({ routes: [] }) };
  const homes = new hostHomes.HostHomes(() => value);
  expect(homes.of("h").size).toBe(0);
  value = { ...value, config: registerValue.pack({ routes: [{ hostname: "h", allowed_regions: ["a"] }] }) };
  expect([...homes.of("h")]).toEqual(["a"]);
});
