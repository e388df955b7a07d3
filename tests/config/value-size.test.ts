// How large the register's value, its messages, the voter's record and the feed's messages get (design/hardening/4).
import * as crypto from "node:crypto";
import * as configurationChange from "../../src/config/configuration-change.js";
import * as link from "../../src/wire/link.js";
import * as configItems from "../../src/config/config-items.js";
import * as keyedItems from "../../src/feed/keyed-items.js";
import * as orderHistory from "../../src/register/order-history.js";
import * as registerValue from "../../src/register/register-value.js";
import * as schema from "../../src/wire/schema.js";

const CHANGES = [0, 1, 100, 512, 1000, 2000];
const ROUTES = [600, 5000];
/** A base, then for each order a step of the revision (these are under 128) and a digest. */
const MAX_HISTORY_BYTES = 8 + orderHistory.MAX_ORDERS * 9;

function routeOf(index: number, deadlineMs: number): Record<string, unknown> {
  return {
    name: `r-${(index * 7919).toString(36)}`,
    hostname: `h${index % 40}.example`,
    path_prefix: `/p${index.toString(36)}/${index % 7}/`,
    route_type: index % 3 === 0 ? "streaming" : "mutating",
    deadline_ms: deadlineMs,
    target_latency_ms: 800,
    priority: index % 3,
    backends: [
      { service: `s${index % 12}`, weight: 90 },
      { service: `s${(index + 1) % 12}`, weight: 10 },
    ],
    max_attempts: 2,
    session_affinity: true,
    resumable: false,
    allowed_regions: [],
  };
}

function documentOf(routes: number, revision: number): Record<string, unknown> {
  const services = Array.from({ length: 12 }, (_, index) => ({ name: `s${index}`, max_connections: 360, protocol: "h1" }));
  return { revision, routes: Array.from({ length: routes }, (_, index) => routeOf(index, 1000 + ((index * revision) % 9000))), services };
}

/** The value after so many changes; only the last one's configuration matters. */
function valueOf(routes: number, changes: number): schema.Value {
  let value = registerValue.initialValue(["10.0.0.1:70", "10.0.0.2:70", "10.0.0.3:70"]);
  for (let index = 1; index < changes; index += 1) value = registerValue.withConfig(value, 3 * index, value.config, `order ${index}`);
  if (changes === 0) return value;
  return registerValue.withConfig(value, 3 * changes, registerValue.pack(documentOf(routes, 3 * changes)), `order ${changes}`);
}

interface Sizes {
  history: number;
  config: number;
  accept: number;
  record: number;
  view: number;
}

function sizesOf(value: schema.Value): Sizes {
  const ballot = { n: 100_000, by: "0123456789ab" };
  const disk = "disk:0123456789ab";
  return {
    history: value.taken.length,
    config: value.config.length,
    accept: schema.accept.toBuffer({ disk, ballot, isSetChosen: true, value }).length,
    record: schema.disk.toBuffer({ disk, promised: ballot, accepted: { ballot, value } }).length,
    view: keyedItems.packChanges(new configItems.ConfigSplitter().split(value)).items.length,
  };
}

test.each(ROUTES)("%i routes: value, frames and record are bounded, whatever the number of changes", (routes) => {
  const found = CHANGES.map((changes) => ({ changes, ...sizesOf(valueOf(routes, changes)) }));
  for (const sizes of found) {
    process.stderr.write(`${routes} routes: ${JSON.stringify(sizes)}\n`);
    expect(sizes.history).toBeLessThanOrEqual(MAX_HISTORY_BYTES);
    // The rest of a message: voters, ballots, epochs.
    expect(sizes.accept - sizes.history - sizes.config).toBeLessThan(400);
    expect(sizes.record - sizes.history - sizes.config).toBeLessThan(400);
  }
  // From the bound on nothing grows but for the digits of the revisions.
  const [full, twice] = found.slice(-2);
  expect(Math.abs(twice.history - full.history)).toBeLessThan(16);
});

test("one changed route travels as one item, and a view as one frame", () => {
  const splitter = new configItems.ConfigSplitter();
  const held = new keyedItems.KeyedItems();
  held.apply(held.planSnapshot(splitter.split(valueOf(5000, 100))));
  const document = documentOf(5000, 300);
  (document["routes"] as Record<string, unknown>[])[77] = routeOf(77, 4321);
  const next = registerValue.withConfig(valueOf(5000, 100), 301, registerValue.pack(document), "one");
  const plan = held.planSnapshot(splitter.split(next));
  expect([...plan.changed.keys()].sort()).toEqual(["meta", `route:r-${(77 * 7919).toString(36)}`]);
  const { items } = keyedItems.packChanges(keyedItems.changesOf(plan));
  process.stderr.write(`a difference of one route: ${items.length} bytes\n`);
  expect(items.length).toBeLessThan(600);
});

test("the largest configuration that is taken fits a frame, also as a view whose names can't be packed", () => {
  const services = Array.from({ length: 5400 }, () => ({ name: crypto.randomBytes(1500).toString("base64") }));
  const order = configurationChange.parseReplace(0, Buffer.from(JSON.stringify({ revision: 3, routes: [], services })));
  const taken = (order.isOk ? order.value(valueOf(0, 0)) : order).unwrapOr(null) as schema.Value;
  expect(JSON.stringify(registerValue.unpack(taken.config)).length).toBeGreaterThan(0.9 * configurationChange.MAX_DOCUMENT_BYTES);
  const sizes = sizesOf(taken);
  process.stderr.write(`the largest: ${JSON.stringify(sizes)}, bound ${link.MAX_FRAME_BYTES}\n`);
  expect(Math.max(sizes.accept, sizes.record, sizes.view)).toBeLessThan(link.MAX_FRAME_BYTES);
});
