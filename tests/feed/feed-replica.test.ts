// Feed publisher and replica: only changes are sent, nothing unverified is visible, nothing goes back (design/parts 1-3).
import * as feedPublisher from "../../src/feed/feed-publisher.js";
import * as keyedItems from "../../src/feed/keyed-items.js";
import * as feedReplica from "../../src/feed/feed-replica.js";
import * as log from "../../src/runtime/log.js";
import type * as link from "../../src/wire/link.js";
import * as schema from "../../src/wire/schema.js";
import * as types from "../../src/wire/types.js";
import * as feedLinks from "../sim/feed-links.js";
import { keysOf } from "../sim/changes.js";

const { changes, items, stampOf } = feedLinks;

/** A follower's link that keeps what it is told, and the mirror behind it. */
function setUp(ordered: string[] = []) {
  const told: schema.Change[] = [];
  const notices: schema.Notice[] = [];
  const fake = {
    send: (pair: { name: string }, ask: unknown) =>
      pair.name === "change" ? told.push(ask as schema.Change) : notices.push(ask as schema.Notice),
    once: () => undefined,
  } as unknown as link.Link;
  const mirror = new feedReplica.FeedReplica(new Set(ordered));
  return {
    fake,
    told,
    notices,
    mirror,
    follow(feed: feedPublisher.FeedPublisher, mode: feedPublisher.SubscriptionMode = "items", topic = "t"): void {
      feed.subscribe(fake, { place: feed.incarnation, topics: [mirror.subscription(topic, mode, feed.incarnation)] });
    },
    takeAll: () => told.splice(0).map((change) => mirror.applyChange(change)),
    held: (topic = "t") => Object.fromEntries([...mirror.bodies(topic)].map(([key, body]) => [key, body.toString()])),
  };
}

test("only items that differ travel; what vanished is told as gone; the same again tells nothing", () => {
  const { follow, told, takeAll, held } = setUp();
  const feed = new feedPublisher.FeedPublisher("p");
  follow(feed);
  feed.publishSnapshot("t", items({ a: "1", b: "1", c: "1" }), stampOf(1));
  feed.publishSnapshot("t", items({ a: "1", b: "2" }), stampOf(1));
  feed.publishSnapshot("t", items({ a: "1", b: "2" }), stampOf(1));
  feed.publishChanges("t", changes({ a: "1", x: null, d: "1" }), stampOf(1));
  expect(told.map((change) => [change.isView, change.number, keysOf(change)])).toEqual([
    [false, 1, ["a", "b", "c"]],
    [false, 2, ["b", "c"]],
    [false, 3, ["d"]],
  ]);
  const outcomes = takeAll() as feedReplica.AppliedChange[];
  expect(outcomes.map((outcome) => [outcome.kind, outcome.isFirst, [...outcome.changed.keys()], outcome.removed])).toEqual([
    ["applied", true, ["a", "b", "c"], []],
    ["applied", false, ["b"], ["c"]],
    ["applied", false, ["d"], []],
  ]);
  expect(held()).toEqual({ a: "1", b: "2", d: "1" });
});

test("an empty topic is a view, too: nothing is there, and that is known", () => {
  const { follow, mirror, takeAll } = setUp();
  const feed = new feedPublisher.FeedPublisher("p");
  feed.publishSnapshot("t", new Map(), stampOf(1));
  expect(mirror.has("t")).toBe(false);
  follow(feed);
  expect(takeAll()).toMatchObject([{ kind: "applied", isFirst: true }]);
  expect(mirror.has("t")).toBe(true);
});

test("a stamp that moves on without items travels alone, also to those who follow notices", () => {
  const { follow, told, notices, takeAll, mirror } = setUp(["t"]);
  const watcher = setUp();
  const feed = new feedPublisher.FeedPublisher("p");
  feed.publishSnapshot("t", items({ a: "1" }), stampOf(1));
  follow(feed);
  watcher.follow(feed, "notices");
  feed.publishSnapshot("t", items({ a: "1" }), stampOf(2));
  expect(told.map((change) => [change.stamp, keysOf(change)])).toEqual([
    [1, ["a"]],
    [2, []],
  ]);
  expect(watcher.notices.map((notice) => [notice.stamp, notice.number])).toEqual([
    [1, 1],
    [2, 2],
  ]);
  expect([watcher.told.length, notices.length, takeAll().map((outcome) => outcome.kind), mirror.stamp("t")]).toEqual([
    0,
    0,
    ["applied", "applied"],
    2,
  ]);
});

const RETURNS: [string, (feed: feedPublisher.FeedPublisher) => feedPublisher.FeedPublisher, boolean, string[]][] = [
  ["the same life", (feed) => feed, false, ["b", "c"]],
  ["another life that had these items", () => lifeOf(["1", "2"]), false, ["b", "c"]],
  ["another life that never had them", () => lifeOf(["2"]), true, ["a", "b"]],
];

/** b goes through these values; c is gone with the second. */
function lifeOf(values: string[], name = "q"): feedPublisher.FeedPublisher {
  const feed = new feedPublisher.FeedPublisher(name);
  for (const value of values)
    feed.publishSnapshot("t", items(value === "1" ? { a: "1", b: "1", c: "1" } : { a: "1", b: value }), stampOf(Number(value)));
  return feed;
}

test.each(RETURNS)("a follower that comes back to %s gets what it lacks", (_name, move, isView, keys) => {
  const { follow, told, takeAll, held } = setUp();
  const feed = lifeOf(["1"], "p");
  follow(feed, "once");
  takeAll();
  feed.publishSnapshot("t", items({ a: "1", b: "2" }), stampOf(2));
  expect(told).toEqual([]);
  follow(move(feed));
  expect([told[0].isView, keysOf(told[0])]).toEqual([isView, keys]);
  expect(takeAll()).toMatchObject([{ kind: "applied", removed: ["c"] }]);
  expect(held()).toEqual({ a: "1", b: "2" });
});

test("a lost change is a gap: nothing of the next is seen, and the difference heals it", () => {
  const { follow, told, takeAll, mirror, held } = setUp();
  const feed = lifeOf(["1"], "p");
  follow(feed);
  takeAll();
  feed.publishChanges("t", changes({ b: "2" }), stampOf(2));
  told.splice(0);
  feed.publishChanges("t", changes({ c: "2" }), stampOf(3));
  const before = log.counted().get("feed.gap") ?? 0;
  expect([takeAll().map((outcome) => outcome.kind), log.counted().get("feed.gap")]).toEqual([["gap"], before + 1]);
  expect(held()).toEqual({ a: "1", b: "1", c: "1" });
  follow(feed);
  expect([told[0].isView, keysOf(told[0])]).toEqual([false, ["b", "c"]]);
  takeAll();
  expect([held(), mirror.digest("t")]).toEqual([{ a: "1", b: "2", c: "2" }, told[0]?.digest ?? mirror.digest("t")]);
});

const GARBLES: [string, (change: schema.Change) => schema.Change][] = [
  ["a body", (change) => ({ ...change, ...keyedItems.packChanges(changes({ b: "3" })) })],
  ["a missing item", (change) => ({ ...change, ...keyedItems.packChanges(new Map()) })],
  ["a further item", (change) => ({ ...change, ...keyedItems.packChanges(changes({ b: "2", d: "1" })) })],
  ["a digest", (change) => ({ ...change, digest: types.small("0123456789abcdef") })],
  ["unreadable items", (change) => ({ ...change, isPacked: true, items: Buffer.from([7, 7, 7]) })],
];

test.each(GARBLES)("%s that does not fit the digest leaves all as it was, counted; a view heals it", (_name, garble) => {
  const { fake, follow, told, takeAll, mirror, held } = setUp();
  const feed = lifeOf(["1"], "p");
  follow(feed);
  takeAll();
  feed.publishChanges("t", changes({ b: "2" }), stampOf(2));
  const before = log.counted().get("feed.mismatch") ?? 0;
  expect(mirror.applyChange(garble(told.splice(0)[0])).kind).toBe("mismatch");
  expect([log.counted().get("feed.mismatch"), held()]).toEqual([before + 1, { a: "1", b: "1", c: "1" }]);
  feed.subscribe(fake, { place: "p", topics: [mirror.snapshotSubscription("t", "items")] });
  expect(told[0].isView).toBe(true);
  expect(takeAll()).toMatchObject([{ kind: "applied", removed: [] }]);
  expect(held()).toEqual({ a: "1", b: "2", c: "1" });
});

test("a topic with an order never goes back, by difference or by view", () => {
  const { mirror, follow, takeAll, held, told } = setUp(["t"]);
  const newer = lifeOf(["1", "2", "3"], "p");
  const older = lifeOf(["1", "2"], "q");
  follow(newer);
  takeAll();
  older.subscribe(setUp().fake, { place: "q", topics: [] });
  follow(older);
  expect([told[0].isView, takeAll().map((outcome) => outcome.kind), mirror.stamp("t"), held()]).toEqual([
    true,
    ["stale"],
    3,
    { a: "1", b: "3" },
  ]);
});

test("tombstones are bounded: who is older than the oldest kept gets a view, others the difference", () => {
  const feed = new feedPublisher.FeedPublisher("p");
  feed.publishSnapshot("t", items({ stays: "1" }), stampOf(0));
  const early = setUp();
  early.follow(feed, "once");
  early.takeAll();
  const late = setUp();
  for (let index = 0; index < 1000; index += 1) {
    feed.publishChanges("t", changes({ [`k${index}`]: "1" }), stampOf(index));
    feed.publishChanges("t", changes({ [`k${index}`]: null }), stampOf(index));
    if (index === 900) {
      late.follow(feed, "once");
      late.takeAll();
    }
  }
  early.follow(feed, "once");
  late.follow(feed, "once");
  expect([early.told[0].isView, late.told[0].isView, keysOf(late.told[0]).length]).toEqual([true, false, 99]);
  early.takeAll();
  late.takeAll();
  expect([early.held(), late.held()]).toEqual([{ stays: "1" }, { stays: "1" }]);
});

test("who follows a topic no longer, or follows another, is told nothing of it", () => {
  const { follow, told } = setUp();
  const feed = lifeOf(["1"], "p");
  follow(feed);
  follow(feed, "none");
  told.splice(0);
  feed.publishChanges("t", changes({ b: "2" }), stampOf(2));
  feed.publishSnapshot("u", items({ a: "1" }), stampOf(2));
  expect(told).toEqual([]);
});
