// Tenants in the configuration, on the feed, and in a router's table: checked, without keys, item by item.
import * as configurationChange from "../../src/config/configuration-change.js";
import * as configurationCheck from "../../src/config/configuration-check.js";
import * as configItems from "../../src/config/config-items.js";
import * as registerValue from "../../src/register/register-value.js";
import * as digests from "../../src/tenants/digest.js";
import * as tenant from "../../src/tenants/tenant.js";
import type * as schema from "../../src/wire/schema.js";
import * as types from "../../src/wire/types.js";

const BASE = {
  revision: 1,
  services: [{ name: "s" }],
  routes: [{ name: "r", hostname: "h", path_prefix: "/", route_type: "read_only", deadline_ms: 1000, service: "s" }],
};

function checked(configured: unknown): string {
  const outcome = configurationCheck.check({ ...BASE, tenants: configured });
  return outcome.isErr ? outcome.error.message : "";
}

test.each<[string, unknown, RegExp]>([
  ["a key of two tenants", [{ name: "a", api_keys: ["k"] }, { name: "b", api_keys: ["k"] }], /tenants\[b\].*held by a/], // prettier-ignore
  ["a key twice", [{ name: "a", api_keys: ["k", "k"] }], /tenants\[a\].*twice/],
  ["a name twice", [{ name: "a" }, { name: "a" }], /tenants: a stands there twice/],
  ["an empty key", [{ name: "a", api_keys: [""] }], /tenants\.0\.api_keys\.0/],
  ["no name", [{ api_keys: ["k"] }], /tenants\.0\.name/],
  ["a rate below 0", [{ name: "a", rate_per_s: -1 }], /tenants\.0\.rate_per_s/],
  ["a burst that is no number", [{ name: "a", burst: "5" }], /tenants\.0\.burst/],
  ["no list", { a: 1 }, /tenants/],
])("%s is invalid, and the message names the field but no key", (_name, configured, message) => {
  expect(checked(configured)).toMatch(message);
  expect(checked(configured)).not.toMatch(/\bk\b/);
});

test.each<[string, unknown]>([
  ["none", undefined],
  ["null", null],
  ["an empty list", []],
  ["a tenant without keys", [{ name: "a" }]],
  ["no limit", [{ name: "a", api_keys: ["k"], rate_per_s: 0, burst: 0 }]],
  ["all fields", [{ name: "a", api_keys: ["k", "l"], priority: 0, rate_per_s: 51, burst: 51, allowed_regions: ["x"] }]],
])("tenants: %s is valid", (_name, configured) => {
  expect(checked(configured)).toBe("");
});

const TENANTS: configurationCheck.Tenant[] = [
  { name: "yard", api_keys: ["key-one", "key-two"], rate_per_s: 5, priority: 0, allowed_regions: ["suva"] },
  { name: "school", api_keys: ["key-three"] },
];

function valueOf(document: object, epoch = 1): schema.Value {
  const text = Buffer.from(JSON.stringify(document));
  return { ...registerValue.initialValue([]), config: registerValue.packText(text), epoch: types.small(epoch), revision: 1 };
}

test("no item of the feed holds a key", () => {
  const items = new configItems.ConfigSplitter().split(valueOf({ ...BASE, tenants: TENANTS }));
  expect([...items.keys()]).toEqual(expect.arrayContaining(["tenant:yard", "tenant:school"]));
  for (const body of items.values()) expect(body.toString()).not.toMatch(/key-/);
});

test("a changed rate changes no item, a changed key changes one", () => {
  const splitter = new configItems.ConfigSplitter();
  const before = splitter.split(valueOf({ ...BASE, tenants: TENANTS }));
  const faster = splitter.split(valueOf({ ...BASE, tenants: [{ ...TENANTS[0], rate_per_s: 9 }, TENANTS[1]] }));
  expect(faster).toEqual(before);
  const rekeyed = splitter.split(valueOf({ ...BASE, tenants: [{ ...TENANTS[0], api_keys: ["key-two"] }, TENANTS[1]] }));
  expect([...rekeyed].filter(([key, body]) => !before.get(key)?.equals(body)).map(([key]) => key)).toEqual(["tenant:yard"]);
});

function tenantOf(name: string, keys: string[]): tenant.Tenant {
  return { name, keys: keys.map(digests.digestOf), priority: null, isLimited: false, homes: [] };
}

test("a key moves between tenants, is taken away and given back", () => {
  const table = new tenant.TenantTable();
  expect(table.isEmpty).toBe(true);
  table.amend([tenantOf("a", ["k", "l"]), tenantOf("b", [])], []);
  expect(table.find("k")?.name).toBe("a");
  expect(table.find("m")).toBeNull();
  table.amend([tenantOf("b", ["k"]), tenantOf("a", ["l"])], []);
  expect(table.find("k")?.name).toBe("b");
  table.amend([tenantOf("b", [])], []);
  expect(table.find("k")).toBeNull();
  table.amend([tenantOf("a", ["k", "l"])], []);
  expect(table.find("k")?.name).toBe("a");
  table.amend([], ["a", "b"]);
  expect(table.find("l")).toBeNull();
  expect(table.isEmpty).toBe(true);
});

test("the router's parts keep the table up to date, epoch by epoch", () => {
  const splitter = new configItems.ConfigSplitter();
  const held = new configItems.ConfigReplica();
  const first = splitter.split(valueOf({ ...BASE, tenants: TENANTS }));
  held.applyChange({ kind: "applied", topic: "register", stamp: types.small(1), changed: first, removed: [], isFirst: true });
  expect(held.tenants.find("key-one")).toMatchObject({ name: "yard", priority: 0, isLimited: true, homes: ["suva"] });
  const second = splitter.split(valueOf({ ...BASE, tenants: [TENANTS[1]] }, 2));
  const gone = [...first.keys()].filter((key) => !second.has(key));
  held.applyChange({ kind: "applied", topic: "register", stamp: types.small(2), changed: new Map(), removed: gone, isFirst: false });
  expect(held.tenants.find("key-one")).toBeNull();
  expect(held.tenants.find("key-three")?.name).toBe("school");
});

test("Update adds, replaces and deletes tenants by name, and is checked as a whole", () => {
  const value = valueOf({ ...BASE, tenants: TENANTS });
  const update = (body: object): ReturnType<typeof apply> => apply(value, { revision: 2, ...body });
  expect(update({ upsert: { tenants: [{ name: "club", api_keys: ["key-four"] }] }, delete: { tenants: ["school"] } })).toEqual([
    "yard",
    "club",
  ]);
  expect(update({ upsert: { tenants: [{ name: "club", api_keys: ["key-one"] }] } })).toMatch(/held by yard too/);
  expect(update({ delete: { tenants: ["nobody"] } })).toMatch(/delete\.tenants/);
});

function apply(value: schema.Value, body: object): string[] | string {
  const order = configurationChange.parseUpdate(1, Buffer.from(JSON.stringify(body)));
  if (order.isErr) return order.error.message;
  const made = order.value(value);
  if (made.isErr) return made.error.message;
  return (registerValue.unpack(made.value.config) as configurationCheck.Configuration).tenants!.map((tenant) => tenant.name);
}
