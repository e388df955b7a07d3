// The platform's list in regions: what is news, and who is told (design/parts 6).
import * as endpointList from "../src/control/platform/endpoint-list.js";
import * as feeds from "../src/feed/feed.js";
import * as keyed from "../src/feed/keyed.js";
import type * as link from "../src/wire/link.js";
import * as schema from "../src/wire/schema.js";
import * as types from "../src/wire/types.js";
import * as watch from "./sim/watch.js";

const INSTANCE: schema.Instance = {
  id: types.small("i-1"),
  service: "s",
  address: "127.0.0.1:1",
  zone: "z",
  capacity: 4,
  isDraining: false,
  coldMs: 5000,
  leavesMs: -1,
};

const NEWS: [string, Partial<schema.Instance>, number, boolean][] = [
  ["a coldness that runs down", { coldMs: 3000 }, 2000, false],
  ["one that runs down late, within the slack", { coldMs: 3300 }, 2000, false],
  ["a coldness that is over", { coldMs: 0 }, 6000, true],
  ["one that begins again", { coldMs: 5000 }, 2000, true],
  ["draining", { coldMs: 3000, isDraining: true }, 2000, true],
  ["a time to leave", { coldMs: 3000, leavesMs: 900 }, 2000, true],
  ["another address", { coldMs: 3000, address: "127.0.0.1:2" }, 2000, true],
  ["another capacity", { coldMs: 3000, capacity: 5 }, 2000, true],
];

test.each(NEWS)("%s of the list is news or not", (_name, more, passedMs, isNews) => {
  const items = new endpointList.EndpointList();
  items.replaceAll([INSTANCE], types.small(0));
  const plan = items.replaceAll([{ ...INSTANCE, ...more }], types.small(passedMs));
  expect(keyed.isEmpty(plan)).toBe(!isNews);
});

test("each region is a topic with all its instances, also one without any; an instance goes with its zone", () => {
  const feed = new feeds.Feed("p");
  const told: schema.Change[] = [];
  const fake = { tell: (_pair: unknown, change: schema.Change) => told.push(change), once: () => undefined } as unknown as link.Link;
  const regions = new Map([
    ["z", "r"],
    ["y", "q"],
    ["x", "o"],
  ]);
  const byRegion = new endpointList.RegionalEndpoints(regions, feed);
  const topics = ["r", "q", "o", feeds.NO_REGION].map(feeds.listTopic);
  feed.follow(fake, { place: "", topics: topics.map((topic) => ({ topic, mode: "items", from: 0, digest: types.small("") })) });
  const items = new endpointList.EndpointList();
  function read(list: schema.Instance[]): [string, string[]][] {
    byRegion.applyChange(items.replaceAll(list, types.small(0)), types.small(0));
    return told.splice(0).map((change) => [change.topic, watch.keysOf(change)]);
  }
  const other = { ...INSTANCE, id: types.small<types.RunnerId>("i-2"), zone: "nowhere" };
  expect(read([INSTANCE, other])).toEqual([
    ["list:r", ["i-1"]],
    ["list:q", []],
    ["list:o", []],
    ["list:", ["i-2"]],
  ]);
  expect(read([INSTANCE, other])).toEqual([]);
  expect(read([{ ...INSTANCE, zone: "y" }, other])).toEqual([
    ["list:r", ["i-1"]],
    ["list:q", ["i-1"]],
  ]);
  expect([...byRegion.instancesOf("q")].map((item) => item.id)).toEqual(["i-1"]);
  expect(read([])).toEqual([
    ["list:q", ["i-1"]],
    ["list:", ["i-2"]],
  ]);
});
