// Conformance: configurations, updates and routes (design 6).
import * as configurationCheck from "../../src/config/configuration-check.js";
import * as configurationChange from "../../src/config/configuration-change.js";
import * as routeTable from "../../src/config/route-table.js";
import * as registerValue from "../../src/register/register-value.js";
import type * as registerStep from "../../src/register/register-step.js";
import * as result from "true-myth/result";
import * as schema from "../../src/wire/schema.js";

type Doc = Record<string, unknown>;

function routeOf(name: string, more: Doc = {}): Doc {
  return { name, hostname: "h.example", path_prefix: `/${name}/`, route_type: "mutating", deadline_ms: 1000, service: "s", ...more };
}

function docOf(more: Doc = {}): Doc {
  return { revision: 5, routes: [routeOf("a"), routeOf("b")], services: [{ name: "s" }], limits: { max_body_bytes: 1000 }, ...more };
}

const INVALID: [string, unknown, RegExp][] = [
  ["unknown service", docOf({ routes: [routeOf("a", { service: "t" })] }), /routes\[a\]\.service.*unknown service t/],
  ["same host and prefix", docOf({ routes: [routeOf("a"), routeOf("b", { path_prefix: "/a/" })] }), /host and prefix/],
  [
    "same host in another case",
    docOf({ routes: [routeOf("a"), routeOf("b", { path_prefix: "/a/", hostname: "H.example" })] }),
    /host and prefix/,
  ],
  ["weights of 0", docOf({ routes: [routeOf("a", { backends: [{ service: "s", weight: 0 }] })] }), /weights sum to 0/],
  [
    "unknown service in a split",
    docOf({
      routes: [
        routeOf("a", {
          backends: [
            { service: "s", weight: 1 },
            { service: "x", weight: 0 },
          ],
        }),
      ],
    }),
    /unknown service x/,
  ],
  ["no service", docOf({ routes: [routeOf("a", { service: undefined })] }), /names no service/],
  ["deadline 0", docOf({ routes: [routeOf("a", { deadline_ms: 0 })] }), /deadline_ms/],
  ["deadline as text", docOf({ routes: [routeOf("a", { deadline_ms: "5" })] }), /deadline_ms/],
  ["double route name", docOf({ routes: [routeOf("a"), routeOf("a", { path_prefix: "/z/" })] }), /stands there twice/],
  ["double service name", docOf({ services: [{ name: "s" }, { name: "s" }] }), /stands there twice/],
  ["unknown type", docOf({ routes: [routeOf("a", { route_type: "odd" })] }), /route_type/],
  ["prefix without slash", docOf({ routes: [routeOf("a", { path_prefix: "a" })] }), /path_prefix/],
  ["negative weight", docOf({ routes: [routeOf("a", { backends: [{ service: "s", weight: -1 }] })] }), /weight/],
  ["routes missing", { revision: 5, services: [] }, /routes/],
  ["revision missing", docOf({ revision: undefined }), /revision/],
  ["a revision beyond whole numbers", docOf({ revision: 2 ** 53 }), /revision/],
  ["no object", [], /body/],
];

test.each(INVALID)("invalid: %s", function invalid(_name, document, message) {
  const outcome = configurationCheck.check(document);
  expect(outcome.isErr && outcome.error.message).toMatch(message);
  expect(outcome.isErr && outcome.error.remedy.length).toBeGreaterThan(5);
});

test("a body cut short is no configuration", function cut() {
  const text = Buffer.from(JSON.stringify(docOf()));
  expect(configurationCheck.parseJson(text.subarray(0, text.length - 3)).isErr).toBe(true);
  expect(configurationCheck.parseJson(Buffer.from([0x7b, 0xff, 0x7d])).isErr).toBe(true);
});

function placed(document: Doc): schema.Value {
  const value = registerValue.initialValue(["x:1"]);
  return registerValue.withConfig(value, document["revision"] as number, registerValue.pack(document), "placed");
}

type Order = ReturnType<typeof configurationChange.parseReplace>;

function play(order: Order, value: schema.Value): ReturnType<registerStep.Step> {
  return order.isErr ? result.err(order.error) : order.value(value);
}

function kindOf(order: Order, value: schema.Value): string {
  const outcome = play(order, value);
  return outcome.isOk ? `revision ${outcome.value.revision}` : outcome.error.code;
}

function replace(base: number, document: Doc): Order {
  return configurationChange.parseReplace(base, Buffer.from(JSON.stringify(document)));
}

function update(base: number, document: Doc): Order {
  return configurationChange.parseUpdate(base, Buffer.from(JSON.stringify(document)));
}

const STEPS: [string, ReturnType<typeof replace>, string][] = [
  ["a higher revision on the current one", replace(5, docOf({ revision: 7 })), "revision 7"],
  ["another base", replace(4, docOf({ revision: 7 })), "race"],
  ["the same revision", replace(5, docOf({ revision: 5 })), "invalid"],
  ["a lower revision", replace(5, docOf({ revision: 4 })), "invalid"],
  ["update: add and delete", update(5, { revision: 6, upsert: { routes: [routeOf("c")] }, delete: { routes: ["a"] } }), "revision 6"],
  ["update: unknown delete", update(5, { revision: 6, delete: { routes: ["q"] } }), "invalid"],
  ["update: delete a service in use", update(5, { revision: 6, delete: { services: ["s"] } }), "invalid"],
  ["update: no revision", update(5, { upsert: { routes: [routeOf("c")] } }), "invalid"],
  ["update: an item without name", update(5, { revision: 6, upsert: { routes: [{}] } }), "invalid"],
  ["update: the same item twice", update(5, { revision: 6, upsert: { routes: [routeOf("c"), routeOf("c")] } }), "invalid"],
  ["update: other than a list", update(5, { revision: 6, upsert: { limits: [] } }), "invalid"],
  ["update: another base", update(3, { revision: 6, upsert: { routes: [routeOf("c")] } }), "race"],
];

test.each(STEPS)("step: %s", function steps(_name, step, expected) {
  expect(kindOf(step, placed(docOf()))).toBe(expected);
});

test("an unchanged resend of what was taken is taken, also after a newer one", function resend() {
  const order = replace(5, docOf({ revision: 7 }));
  const taken = play(order, placed(docOf())).unwrapOr(null)!;
  expect(kindOf(order, taken)).toBe("revision 7");
  const later = play(replace(7, docOf({ revision: 9 })), taken).unwrapOr(null)!;
  expect(kindOf(order, later)).toBe("revision 9");
  expect(kindOf(replace(5, docOf({ revision: 8 })), later)).toBe("race");
});

test("unknown fields come back as they were sent", function kept() {
  const document = docOf({ revision: 7, later: { field: [1] } });
  const taken = play(replace(5, document), placed(docOf())).unwrapOr(null)!;
  expect(registerValue.unpack(taken.config)).toEqual(JSON.parse(JSON.stringify(document)));
});

const LOOKUPS: [string, string, string | null][] = [
  ["h.example", "/a/x", "a"],
  ["H.EXAMPLE:8080", "/a/x?y=/b/", "a"],
  ["h.example", "/a/deep/x", "deep"],
  ["h.example", "/a/deep", "a"],
  ["h.example", "/a", null],
  ["h.example", "/c/x", null],
  ["i.example", "/a/x", null],
  ["h.example", "", null],
];

test.each(LOOKUPS)("route of %s%s is %s", function lookup(host, target, name) {
  const table = new routeTable.RouteTable(
    configurationCheck.check(docOf({ routes: [routeOf("a"), routeOf("deep", { path_prefix: "/a/deep/" })] })).unwrapOr(null)!,
  );
  expect(table.find(host, target)?.route.name ?? null).toBe(name);
});

test("a split follows its weights and never takes a weight of 0", function split() {
  const backends = [
    { service: "s", weight: 90 },
    { service: "t", weight: 10 },
    { service: "u", weight: 0 },
  ];
  const document = docOf({ routes: [routeOf("a", { backends })], services: [{ name: "s" }, { name: "t" }, { name: "u" }] });
  const entry = new routeTable.RouteTable(configurationCheck.check(document).unwrapOr(null)!).find("h.example", "/a/")!;
  expect([0, 0.5, 0.899, 0.901, 0.9999].map(routeTable.chooseService.bind(null, entry))).toEqual(["s", "s", "s", "t", "t"]);
});
