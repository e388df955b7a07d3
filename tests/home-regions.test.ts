// Where the directory sends clients whose own region has no router to name (design 4.3).
import * as directory from "../src/control/directory/directory.js";
import * as homeRegions from "../src/control/directory/home-regions.js";
import type * as shrinkGuard from "../src/control/members/shrink-guard.js";
import * as registerValue from "../src/register/register-value.js";
import type * as schema from "../src/wire/schema.js";

function router(name: string, region: string, isReady = true): shrinkGuard.ObservedNode {
  const node = { name, region, zone: `${region}-1`, isReady, outside: `${name}:1`, role: "router" } as schema.NodeInfo;
  return { node, isConfirmed: true };
}

function homeRegionsIn(routes: { hostname: string; allowed_regions?: string[] | null }[]): homeRegions.HomeRegions {
  const value = { ...registerValue.initialValue([]), config: registerValue.pack({ routes }) };
  return new homeRegions.HomeRegions(() => value);
}

function resolve(routers: shrinkGuard.ObservedNode[], regions: homeRegions.HomeRegions, name: string): unknown {
  const view = {
    routers: () => routers,
    stillServes: () => false,
    homeRegionsOf: (hostname: string) => regions.ofHost(hostname),
    maxTtlS: 5,
  };
  return directory.resolve(view, new URLSearchParams({ name, region: "amman", zone: "amman-1" })).json;
}

const BOUND = homeRegionsIn([
  { hostname: "Bound.example", allowed_regions: ["amman", "irbid"] },
  { hostname: "bound.example", allowed_regions: ["irbid", "aqaba"] },
  { hostname: "bound.example", allowed_regions: null },
  { hostname: "apart.example", allowed_regions: ["amman"] },
  { hostname: "apart.example", allowed_regions: ["irbid"] },
  { hostname: "free.example" },
]);
const DRAINING = [router("left", "amman", false)];
const OTHERS = [router("in-aqaba", "aqaba"), router("in-irbid", "irbid")];

describe("home regions", () => {
  test("regions that a host's routes are bound to: those that all allow, any where they share none, none where none is bound", () => {
    expect([...BOUND.ofHost("bound.example")]).toEqual(["irbid"]);
    expect([...BOUND.ofHost("APART.example")].sort()).toEqual(["amman", "irbid"]);
    expect([...BOUND.ofHost("free.example"), ...BOUND.ofHost("unknown.example")]).toEqual([]);
  });

  test("with all routers of the own region draining, bound hosts are sent to a region that their routes allow", () => {
    expect(resolve([...DRAINING, ...OTHERS], BOUND, "bound.example")).toMatchObject({ addresses: ["in-irbid:1"] });
    expect(resolve([...DRAINING, ...OTHERS], BOUND, "free.example")).toMatchObject({ addresses: ["in-aqaba:1", "in-irbid:1"] });
  });

  test("where no region that they allow has a router, any router is named; the own region's go first", () => {
    expect(resolve([...DRAINING, OTHERS[0]], BOUND, "bound.example")).toMatchObject({ addresses: ["in-aqaba:1"] });
    expect(resolve([router("here", "amman"), ...OTHERS], BOUND, "bound.example")).toMatchObject({ addresses: ["here:1"] });
  });

  test("a changed configuration is read again", () => {
    let value: schema.Value = { ...registerValue.initialValue([]), config: registerValue.pack({ routes: [] }) };
    const regions = new homeRegions.HomeRegions(() => value);
    expect(regions.ofHost("h").size).toBe(0);
    value = { ...value, config: registerValue.pack({ routes: [{ hostname: "h", allowed_regions: ["a"] }] }) };
    expect([...regions.ofHost("h")]).toEqual(["a"]);
  });
});
