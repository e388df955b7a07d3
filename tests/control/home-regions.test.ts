// Where the directory sends clients whose own region has no router to name (design 4.3).
import * as directory from "../../src/control/directory/directory.js";
import * as homeRegions from "../../src/control/directory/home-regions.js";
import type * as shrinkGuard from "../../src/control/members/shrink-guard.js";
import * as registerValue from "../../src/register/register-value.js";
import type * as schema from "../../src/wire/schema.js";

function router(name: string, region: string, isReady = true): shrinkGuard.ObservedNode {
  const node = { name, region, zone: `${region}-1`, isReady, outside: `${name}:1`, role: "router" } as schema.NodeInfo;
  return { node, isConfirmed: true };
}

function homeRegionsIn(routes: { hostname: string; allowed_regions?: string[] | null }[]): homeRegions.HomeRegions {
  const value = { ...registerValue.initialValue([]), config: registerValue.pack({ routes }) };
  return new homeRegions.HomeRegions(() => value);
}

const NO_DRAINS: directory.DrainView = { isDraining: () => false, stillServes: () => false };

function resolve(
  routers: shrinkGuard.ObservedNode[],
  regions: homeRegions.HomeRegions,
  name: string,
  drains: Partial<directory.DrainView> = {},
): unknown {
  const view = {
    routers: () => routers,
    drains: { ...NO_DRAINS, ...drains },
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

  test("the own region's routers go first, whatever the routes are bound to", () => {
    expect(resolve([router("here", "amman"), ...OTHERS], BOUND, "bound.example")).toMatchObject({ addresses: ["here:1"] });
  });

  // Requests bound to two regions were led to a third one: all routers of both regions were restarted one after the other, so that
  // for seconds each of them was leaving, gone or starting, and the directory named the ready routers of the third region instead.
  describe("routers of another region are never named for a bound host", () => {
    const here = router("here-leaves", "amman", false);
    const home = router("home-leaves", "irbid", false);
    const elsewhere = router("in-aqaba", "aqaba");
    const cases: [string, shrinkGuard.ObservedNode[], string[], string[]][] = [
      ["a leaving router of the own region that still serves", [here, home, elsewhere], ["here-leaves"], ["here-leaves:1"]],
      ["a leaving router of a home that still serves", [here, home, elsewhere], ["home-leaves"], ["home-leaves:1"]],
      ["all are leaving or starting: the own region's", [here, home, elsewhere], [], ["here-leaves:1"]],
      ["none known in the own region: a home's, though not ready", [home, elsewhere], [], ["home-leaves:1"]],
      ["a ready router of a home before an unready one here", [here, router("home", "irbid"), elsewhere], [], ["home:1"]],
    ];

    test.each(cases)("%s", (_title, routers, serving, addresses) => {
      const stillServes = (node: schema.NodeInfo): boolean => serving.includes(node.name);
      expect(resolve(routers, BOUND, "bound.example", { stillServes })).toMatchObject({ addresses });
    });

    test("none known in any region that the routes allow: 503, and the client asks again", () => {
      const view = { routers: () => [elsewhere], drains: NO_DRAINS, homeRegionsOf: () => new Set(["irbid"]), maxTtlS: 5 };
      const response = directory.resolve(view, new URLSearchParams({ name: "bound.example", region: "amman", zone: "amman-1" }));
      expect(response).toMatchObject({ status: 503, headers: { "Retry-After": "0.2" } });
    });
  });

  test("hosts that are not bound are sent to any region; a leaving router that serves goes before one that does not", () => {
    const leaving = [router("stays", "irbid", false), router("goes", "aqaba", false)];
    const stillServes = (node: schema.NodeInfo): boolean => node.name === "stays";
    expect(resolve([DRAINING[0], OTHERS[0]], BOUND, "free.example")).toMatchObject({ addresses: ["in-aqaba:1"] });
    expect(resolve(leaving, BOUND, "free.example", { stillServes })).toMatchObject({ addresses: ["stays:1"] });
  });

  test("a router that starts goes before one that shuts down and takes no requests any more", () => {
    const isDraining = (node: schema.NodeInfo): boolean => node.name === "left";
    const routers = [...DRAINING, router("starts", "irbid", false), router("in-aqaba", "aqaba")];
    expect(resolve(routers, BOUND, "bound.example", { isDraining })).toMatchObject({ addresses: ["starts:1"] });
  });

  test("a changed configuration is read again", () => {
    let value: schema.Value = { ...registerValue.initialValue([]), config: registerValue.pack({ routes: [] }) };
    const regions = new homeRegions.HomeRegions(() => value);
    expect(regions.ofHost("h").size).toBe(0);
    value = { ...value, config: registerValue.pack({ routes: [{ hostname: "h", allowed_regions: ["a"] }] }) };
    expect([...regions.ofHost("h")]).toEqual(["a"]);
  });
});
