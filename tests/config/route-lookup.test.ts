// Guards against lookups whose work grows with the square of the path (review case 6, design/edge 7.14).
import * as fastCheck from "fast-check";
import * as routeTable from "../../src/config/route-table.js";

function tableOf(prefixes: readonly string[]): routeTable.RouteTable {
  const routes = prefixes.map((prefix) => ({
    name: prefix,
    hostname: "h",
    path_prefix: prefix,
    route_type: "read_only" as const,
    deadline_ms: 1000,
    target_latency_ms: 100,
    max_attempts: 1,
    service: "s",
  }));
  return new routeTable.RouteTable({ routes, services: [] });
}

/** Characters of all keys that are looked up while one target is. */
function charactersLookedUp(table: routeTable.RouteTable, target: string): number {
  const spy = jest.spyOn(Map.prototype, "get");
  table.find("h", target);
  const count = spy.mock.calls.reduce((sum, [key]) => sum + (typeof key === "string" ? key.length : 0), 0);
  spy.mockRestore();
  return count;
}

test.each([
  ["slashes alone", "/"],
  ["segments", "a/"],
  ["one segment", "a"],
])("a long path of %s below known prefixes is looked up in one pass", (_what, unit) => {
  const table = tableOf(["/", "/a/", "/a/a/", "//", "///"]);
  for (const length of [4000, 8000, 16_000]) {
    const target = `/${unit.repeat(length / unit.length)}`;
    expect(charactersLookedUp(table, target)).toBeLessThanOrEqual(target.length + "h".length);
  }
});

test("the longest prefix is found, as by trying all, also after routes have gone", () => {
  const segment = fastCheck.constantFrom("a", "b", "", "a%2F", "..");
  const prefix = fastCheck.array(segment, { maxLength: 4 }).map((segments) => `/${segments.map((item) => `${item}/`).join("")}`);
  const target = fastCheck.tuple(prefix, fastCheck.constantFrom("", "a", "?a/b/", "x?/")).map((parts) => parts.join(""));
  fastCheck.assert(
    fastCheck.property(fastCheck.uniqueArray(prefix, { maxLength: 8 }), target, fastCheck.nat(8), (prefixes, path, kept) => {
      const table = tableOf(prefixes);
      table.amend({ routes: [], goneRoutes: prefixes.slice(kept), services: [], goneServices: [] });
      const bare = path.split("?")[0];
      const fitting = prefixes.slice(0, kept).filter((each) => bare.startsWith(each));
      const longest = fitting.sort((left, right) => right.length - left.length)[0];
      expect(table.find("H:80", path)?.route.name).toBe(longest);
    }),
    { numRuns: 500 },
  );
});

test.each(["*", "", "a/b", "?/"])("the target %j has no route", (target) => {
  expect(tableOf(["/"]).find("h", target)).toBeNull();
});
