// The configuration in parts: one changed route is one item on the way and one parse (design/parts 4).
import * as configurationCheck from "../../src/config/configuration-check.js";
import * as configItems from "../../src/config/config-items.js";
import * as routeTable from "../../src/config/route-table.js";
import * as feedPublisher from "../../src/feed/feed-publisher.js";
import * as feedTopics from "../../src/feed/feed-topics.js";
import * as registerValue from "../../src/register/register-value.js";
import * as schema from "../../src/wire/schema.js";
import * as types from "../../src/wire/types.js";
import * as feedLinks from "../sim/feed-links.js";
import * as simulatedClock from "../sim/simulated-clock.js";

type Item = Record<string, unknown>;
type Doc = Item & { routes: Item[] };

function routeOf(index: number, more: Item = {}): Item {
  return {
    name: `route-${index}`,
    hostname: `tenant-${index % 97}.example`,
    path_prefix: `/r${index}/`,
    route_type: "mutating",
    deadline_ms: 1000 + index,
    target_latency_ms: 400,
    service: "s",
    max_attempts: 2,
    priority: index % 4,
    allowed_regions: ["a", "b"],
    ...more,
  };
}

function docOf(count: number, more: Item = {}): Doc {
  return {
    revision: 1,
    routes: Array.from({ length: count }, (_item, index) => routeOf(index)),
    services: [{ name: "s" }, { name: "t" }],
    limits: { max_body_bytes: 1000 },
    ...more,
  };
}

function valueOf(epoch: number, document: Doc | null, evacuations: string[] = []): schema.Value {
  const first = registerValue.initialValue(["a:1"]);
  if (!document) return { ...first, epoch: types.small(epoch) };
  return {
    ...first,
    epoch: types.small(epoch),
    revision: document["revision"] as number,
    config: registerValue.pack(document),
    evacuations,
  };
}

/** A router that keeps its configuration from simulated links, and control nodes that split what is chosen. */
async function setUp(names = ["a"]) {
  const clock = new simulatedClock.SimulatedClock(3);
  const router = new feedLinks.SimRouter(clock);
  const config = new configItems.ConfigReplica();
  let done = 0;
  const sources = names.map((name) => ({
    feed: new feedPublisher.FeedPublisher(`life-${name}`),
    splitter: new configItems.ConfigSplitter(),
  }));
  for (const [index, { feed }] of sources.entries()) router.join(names[index], names[index], feed);
  return {
    clock,
    router,
    config,
    async choose(value: schema.Value, at = 0) {
      const { feed, splitter } = sources[at];
      feed.publishSnapshot(feedTopics.REGISTER_TOPIC, splitter.split(value), types.small(value.epoch));
      await clock.play(100);
      for (; done < router.applied.length; done += 1) config.applyChange(router.applied[done]);
    },
    frames: () =>
      router.sessions
        .get("a")!
        .down.frames.splice(0)
        .filter((frame) => frame.name === "change"),
  };
}

function found(table: routeTable.RouteTable, document: Doc): unknown[] {
  return document.routes.map((route) => table.find(String(route["hostname"]), `${String(route["path_prefix"])}x`)?.route ?? null);
}

test("one changed route of 2,000 costs under a kilobyte on the way and two parsed items", async () => {
  const { choose, config, frames } = await setUp();
  const document = docOf(2000);
  await choose(valueOf(1, document));
  const [view] = frames();
  expect(config.parsedItems).toBe(2000 + 2 + 3);
  const changed = {
    ...document,
    revision: 2,
    routes: document.routes.map((route, index) => (index === 1234 ? routeOf(1234, { service: "t" }) : route)),
  };
  const before = config.parsedItems;
  await choose(valueOf(2, changed));
  const [difference] = frames();
  expect(difference.bytes).toBeLessThan(700);
  expect(view.bytes / difference.bytes).toBeGreaterThan(30);
  expect(config.parsedItems - before).toBe(2);
  expect(config.table!.find("tenant-70.example", "/r1234/x")?.route.service).toBe("t");
});

test("an evacuation and a change of voters do not touch the routes", async () => {
  const { choose, config, frames, router } = await setUp();
  const document = docOf(500);
  await choose(valueOf(1, document));
  frames();
  const before = config.parsedItems;
  await choose(valueOf(2, document, ["z1"]));
  await choose({ ...valueOf(3, document, ["z1"]), voters: [] });
  expect([config.parsedItems - before, config.evacuations, router.epochs]).toEqual([1, ["z1"], [1, 2, 3]]);
  for (const frame of frames()) expect(frame.bytes).toBeLessThan(200);
});

test("no configuration yet is none; each field keeps its way", async () => {
  const { choose, config } = await setUp();
  await choose(valueOf(0, null));
  expect([config.table, config.limits, config.revision]).toEqual([null, undefined, 0]);
  await choose(valueOf(1, docOf(1, { later: { field: [1] } })));
  expect([config.table !== null, config.limits, config.revision, [...config.table!.services.keys()]]).toEqual([
    true,
    { max_body_bytes: 1000 },
    1,
    ["s", "t"],
  ]);
  await choose(valueOf(2, docOf(0, { revision: 2, services: [{ name: "t" }], limits: undefined })));
  expect([config.limits, config.revision, [...config.table!.services.keys()], config.table!.find("tenant-0.example", "/r0/")]).toEqual([
    undefined,
    2,
    ["t"],
    null,
  ]);
});

function placeOf(route: Item): Item {
  return { hostname: route["hostname"], path_prefix: route["path_prefix"] };
}

const MOVES: [string, (routes: Item[]) => Item[]][] = [
  ["two routes that change places", ([a, b, ...rest]) => [routeOf(0, placeOf(b)), routeOf(1, placeOf(a)), ...rest]],
  ["a route that takes the place of a dropped one", ([a, _b, ...rest]) => [routeOf(1, placeOf(a)), ...rest]],
  ["a renamed route at the same place", ([a, ...rest]) => [{ ...a, name: "other" }, ...rest]],
  ["a host in another case", ([_a, ...rest]) => [routeOf(0, { hostname: "TENANT-0.example" }), ...rest]],
  ["all dropped", () => []],
];

test.each(MOVES)("the table is that of the whole document: %s", async (_name, move) => {
  const { choose, config } = await setUp();
  const before = docOf(4);
  await choose(valueOf(1, before));
  const after = { ...before, revision: 2, routes: move(before.routes) };
  await choose(valueOf(2, after));
  const whole = new routeTable.RouteTable(configurationCheck.check(after).unwrapOr(null)!);
  for (const document of [before, after]) expect(found(config.table!, document)).toEqual(found(whole, document));
});

test("a control node with an older epoch changes nothing, whichever is followed", async () => {
  const { choose, config, router, clock } = await setUp(["a", "b"]);
  await choose(valueOf(1, docOf(3)), 1);
  await choose(valueOf(2, docOf(3, { revision: 2 })), 0);
  router.disconnect("a");
  await clock.play(1000);
  await choose(valueOf(1, docOf(3)), 1);
  expect([router.epochs.at(-1), config.revision]).toEqual([2, 2]);
  await choose(valueOf(3, docOf(2, { revision: 3 })), 1);
  expect([router.epochs.at(-1), config.revision, config.table!.find("tenant-2.example", "/r2/")]).toEqual([3, 3, null]);
});
