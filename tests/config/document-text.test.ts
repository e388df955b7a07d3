// A configuration is cut into items by its text: the same items as if it were parsed, and only what changed is parsed.
import * as fc from "fast-check";
import * as configurationCheck from "../../src/config/configuration-check.js";
import * as configurationChange from "../../src/config/configuration-change.js";
import * as documentText from "../../src/config/document-text.js";
import * as configItems from "../../src/config/config-items.js";
import * as registerValue from "../../src/register/register-value.js";
import * as schema from "../../src/wire/schema.js";

const EMPTY = registerValue.initialValue(["a:1"]);

function valueOf(document: unknown): schema.Value {
  return { ...EMPTY, config: registerValue.pack(document) };
}

/** The items by their definition: each written alone. */
function written(document: Record<string, unknown>): Map<string, string> {
  const items = new Map<string, string>();
  for (const [field, part] of Object.entries(document)) {
    if (field === "revision") continue;
    const kind = { routes: "route:", services: "service:" }[field];
    if (kind) for (const item of part as { name: string }[]) items.set(kind + item.name, JSON.stringify(item));
    else items.set(`field:${field}`, JSON.stringify(part));
  }
  return items;
}

function split(splitter: configItems.ConfigSplitter, document: unknown): Map<string, string> {
  const items = new Map([...splitter.split(valueOf(document))].map(([key, body]) => [key, body.toString()]));
  items.delete("meta");
  items.delete("evacuations");
  return items;
}

const NASTY = fc.oneof(fc.string(), fc.string({ unit: "binary" }), fc.constantFrom('"', "\\", '\\"', "]},{[", ""));
const item = fc.record({ name: fc.string({ minLength: 1 }), rest: fc.dictionary(NASTY, fc.jsonValue()) });
const list = fc.uniqueArray(item, { selector: ({ name }) => name, maxLength: 8 });
const documents = fc.record({ revision: fc.nat(), routes: list, services: list, limits: fc.dictionary(NASTY, fc.jsonValue()) });

test("the items are those of the parsed document, from the first configuration on and after any change", () => {
  fc.assert(
    fc.property(fc.array(documents, { minLength: 1, maxLength: 4 }), (history) => {
      const splitter = new configItems.ConfigSplitter();
      for (const document of history) expect(split(splitter, document)).toEqual(written(JSON.parse(JSON.stringify(document)) as never));
    }),
    { numRuns: 300 },
  );
});

test("an item that did not change keeps its very bytes", () => {
  const splitter = new configItems.ConfigSplitter();
  const routes = [{ name: "one" }, { name: "two" }];
  const before = splitter.split(valueOf({ revision: 1, routes }));
  const after = splitter.split(valueOf({ revision: 2, routes: [routes[1], { name: "one", deadline_ms: 5 }] }));
  expect(after.get("route:two")).toBe(before.get("route:two"));
  expect(after.get("route:one")?.toString()).toBe('{"name":"one","deadline_ms":5}');
});

test("empty lists and objects, and what is no list, have no items", () => {
  expect([documentText.itemsOf("[]"), documentText.itemsOf("null"), documentText.fieldsOf("{}"), documentText.fieldsOf("")]).toEqual([
    [],
    [],
    [],
    [],
  ]);
});

const ROUTE = { name: "r", hostname: "h.example", path_prefix: "/", route_type: "read_only", deadline_ms: 100, service: "s" };
const DOCUMENT = { revision: 1, routes: [ROUTE], services: [{ name: "s" }] };

/** What an update must not bring past the check, though the rest was checked before. */
const BAD_UPDATES: [string, object, RegExp][] = [
  ["a new route of a bad shape", { upsert: { routes: [{ ...ROUTE, name: "q", deadline_ms: "x" }] } }, /routes\.1\.deadline_ms/],
  ["a changed route of a bad shape", { upsert: { routes: [{ ...ROUTE, path_prefix: "no" }] } }, /routes\.0\.path_prefix/],
  ["a tenant of a bad shape", { upsert: { tenants: [{ name: "t", rate_per_s: -1 }] } }, /tenants\.0\.rate_per_s/],
  ["a service that a checked route needs goes", { delete: { services: ["s"] } }, /unknown service s/],
  ["a place that a checked route has", { upsert: { routes: [{ ...ROUTE, name: "q" }] } }, /host and prefix/],
];

test.each(BAD_UPDATES)("an update is refused: %s", (_name, update, message) => {
  const order = configurationChange.parseUpdate(1, Buffer.from(JSON.stringify({ revision: 2, ...update })));
  const outcome = order.unwrapOrElse(() => () => order as never)({ ...valueOf(DOCUMENT), revision: 1 });
  expect(outcome.isErr && outcome.error.message).toMatch(message);
});

test("items that were checked before are not looked at again", () => {
  const strange = { name: "strange", hostname: "g.example", path_prefix: "/" } as unknown as configurationCheck.Route;
  const document = { ...DOCUMENT, routes: [{ ...ROUTE }, strange] };
  expect(configurationCheck.check(document).isErr).toBe(true);
  const shaped = configurationCheck.check(document, new Set<unknown>([document.routes[0], strange, document.services[0]]));
  expect(shaped.isErr && shaped.error.message).toMatch(/strange.*names no service/);
});
