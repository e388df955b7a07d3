// The endpoint list: what counts as a change, and what is published in which region's topic (design/parts 6).
import * as endpointList from "../../src/control/platform/endpoint-list.js";
import * as feedPublisher from "../../src/feed/feed-publisher.js";
import * as feedTopics from "../../src/feed/feed-topics.js";
import * as keyedItems from "../../src/feed/keyed-items.js";
import type * as link from "../../src/wire/link.js";
import * as schema from "../../src/wire/schema.js";
import * as types from "../../src/wire/types.js";
import * as watch from "../sim/watch.js";

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

const CHANGES: [string, Partial<schema.Instance>, number, boolean][] = [
  ["a warm-up time that elapses", { coldMs: 3000 }, 2000, false],
  ["a warm-up time that elapses late, within the tolerance", { coldMs: 3300 }, 2000, false],
  ["the end of a warm-up", { coldMs: 0 }, 6000, true],
  ["a warm-up that begins again", { coldMs: 5000 }, 2000, true],
  ["draining", { coldMs: 3000, isDraining: true }, 2000, true],
  ["a remaining time", { coldMs: 3000, leavesMs: 900 }, 2000, true],
  ["another address", { coldMs: 3000, address: "127.0.0.1:2" }, 2000, true],
  ["another capacity", { coldMs: 3000, capacity: 5 }, 2000, true],
];

test.each(CHANGES)("%s is published as a change or not", (_name, more, passedMs, isPublished) => {
  const items = new endpointList.EndpointList();
  items.replaceAll([INSTANCE], types.small(0));
  const plan = items.replaceAll([{ ...INSTANCE, ...more }], types.small(passedMs));
  expect(keyedItems.isEmpty(plan)).toBe(!isPublished);
});

test("each region has a topic with its instances, also a region without any; an instance moves with its zone", () => {
  const feed = new feedPublisher.FeedPublisher("p");
  const published: schema.Change[] = [];
  const fake = { send: (_pair: unknown, change: schema.Change) => published.push(change), once: () => undefined } as unknown as link.Link;
  const regions = new Map([
    ["z", "r"],
    ["y", "q"],
    ["x", "o"],
  ]);
  const byRegion = new endpointList.RegionalEndpoints(regions, feed);
  const topics = ["r", "q", "o", feedTopics.NO_REGION].map(feedTopics.listTopic);
  feed.subscribe(fake, { place: "", topics: topics.map((topic) => ({ topic, mode: "items", from: 0, digest: types.small("") })) });
  const items = new endpointList.EndpointList();
  function read(list: schema.Instance[]): [string, string[]][] {
    byRegion.applyChange(items.replaceAll(list, types.small(0)), types.small(0));
    return published.splice(0).map((change) => [change.topic, watch.keysOf(change)]);
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
