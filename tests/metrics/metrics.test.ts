// The process's own figures as text, and rows of `cranewind tenants`.
import * as tenants from "../../src/cli/tenants.js";
import * as log from "../../src/runtime/log.js";
import * as prometheus from "../../src/metrics/prometheus.js";
import type * as schema from "../../src/wire/schema.js";

test.each([
  ["9464/metrics", { port: 9464, path: "/metrics" }],
  ["1/-/figures", { port: 1, path: "/-/figures" }],
])("%s is an endpoint", (text, endpoint) => {
  expect(prometheus.parseEndpoint(text).unwrapOr({ port: 0, path: "" })).toEqual(endpoint);
});

test.each(["", "9464", "/metrics", "0/metrics", "70000/metrics", "x/metrics", "9464/a b"])(
  "%j is none, and the message says how",
  (text) => {
    const parsed = prometheus.parseEndpoint(text);
    expect(parsed.isErr && parsed.error.message).toMatch(/write it like 9464\/metrics/);
  },
);

test("figures are told as they are at each reading", async () => {
  log.count("test.figures", 2);
  expect(await prometheus.text()).toMatch(/^cranewind_test_figures_total 2$/m);
  log.count("test.figures");
  const told = await prometheus.text();
  expect(told).toMatch(/^cranewind_test_figures_total 3$/m);
  expect(told).toMatch(/^# TYPE cranewind_memory_megabytes gauge$/m);
});

function statusOf(region: string, grantedPerS: number, isGranting = true): tenants.OwnerStatus {
  const used = { yard: { granted: 10, denied: 1, granted_per_s: grantedPerS, denied_per_s: 0.5 } };
  return { node: { region } as schema.NodeInfo, quotas: { isGranting, limits: { yard: { perS: 10, burst: 5 } }, used } };
}

test("rows sum over owners, and name what is missing", () => {
  const statuses = [statusOf("north", 2), statusOf("north", 1), statusOf("south", 0.26, false)];
  const [row] = tenants.rowsOf(statuses);
  expect(row).toMatchObject({ tenant: "yard", rate_per_s: 10, burst: 5, used_per_s: 3.3, denied_per_s: 1.5, granted: 30, denied: 3 });
  expect(row.by_region).toEqual({ north: 3, south: 0.3 });
  const [first, second] = tenants.lines([row], statuses, 5);
  expect(first).toBe("owners    3 of 5 control nodes replied, 2 grant");
  expect(second).toMatch(/yard: 3.3\/s, 33 % of 10 \+ 5, denied 1.5\/s/);
  expect(tenants.lines([], statuses, 3).at(-1)).toMatch(/no tenant has a limit/);
});
