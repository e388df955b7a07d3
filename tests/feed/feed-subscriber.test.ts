// A router that subscribes to the feeds of several control nodes (design/parts 4).
import * as feedPublisher from "../../src/feed/feed-publisher.js";
import * as feedTopics from "../../src/feed/feed-topics.js";
import * as schema from "../../src/wire/schema.js";
import * as feedLinks from "../sim/feed-links.js";
import * as simulatedClock from "../sim/simulated-clock.js";
import { keysOf } from "../sim/changes.js";

const { changes, items, stampOf, LIST } = feedLinks;

async function routerWith(...regions: string[]) {
  const clock = new simulatedClock.SimulatedClock(7);
  const router = new feedLinks.SimRouter(clock);
  const sources = regions.map((region) => new feedPublisher.FeedPublisher(`life-${region}`));
  for (const feed of sources) feed.publishSnapshot(feedTopics.REGISTER_TOPIC, items({ a: "1", b: "1" }), stampOf(1));
  for (const [index, feed] of sources.entries()) router.join(regions[index], regions[index], feed);
  await clock.play(200);
  return { clock, router, sources };
}

function sentBy(router: feedLinks.SimRouter, name: string): string[] {
  return router.sessions
    .get(name)!
    .down.frames.splice(0)
    .map((frame) =>
      frame.name === "change"
        ? `${(frame.ask as schema.Change).isView ? "view" : "difference"}:${keysOf(frame.ask as schema.Change).join("")}`
        : frame.name,
    );
}

test("bodies come from the main control node, notices from the others; a late main is helped out by a noticing one", async () => {
  const { clock, router, sources } = await routerWith("a", "b");
  expect([sentBy(router, "a"), sentBy(router, "b")]).toEqual([["notice", "view:ab"], ["notice"]]);
  sources[1].publishChanges(feedTopics.REGISTER_TOPIC, changes({ b: "2" }), stampOf(2));
  await clock.play(160);
  expect([sentBy(router, "a"), sentBy(router, "b"), router.epochs]).toEqual([[], ["notice"], [1]]);
  await clock.play(100);
  expect([sentBy(router, "b"), router.epochs]).toEqual([["difference:b"], [1, 2]]);
  sources[0].publishChanges(feedTopics.REGISTER_TOPIC, changes({ b: "2" }), stampOf(2));
  sources[0].publishChanges(feedTopics.REGISTER_TOPIC, changes({ a: "3" }), stampOf(3));
  sources[1].publishChanges(feedTopics.REGISTER_TOPIC, changes({ a: "3" }), stampOf(3));
  await clock.play(400);
  expect([sentBy(router, "a"), sentBy(router, "b"), router.epochs]).toEqual([["difference:b", "difference:a"], ["notice"], [1, 2, 3]]);
});

test("a follower that moves between control nodes and back gets only the difference", async () => {
  const { clock, router, sources } = await routerWith("a", "b");
  router.disconnect("a");
  for (const feed of sources) feed.publishChanges(feedTopics.REGISTER_TOPIC, changes({ b: "2" }), stampOf(2));
  sentBy(router, "b");
  await clock.play(200);
  expect([sentBy(router, "b"), router.epochs]).toEqual([["difference:b"], [1, 2]]);
  for (const feed of sources) feed.publishChanges(feedTopics.REGISTER_TOPIC, changes({ c: "3" }), stampOf(3));
  await clock.play(100);
  router.join("a", "a", sources[0]);
  await clock.play(200);
  expect([sentBy(router, "a"), router.epochs]).toEqual([
    ["notice", "difference:"],
    [1, 2, 3],
  ]);
});

test("topics that are no longer wanted are left and forgotten, others are taken up", async () => {
  const { clock, router, sources } = await routerWith("a");
  sources[0].publishSnapshot(LIST, items({ i: "1" }), stampOf(1));
  sources[0].publishSnapshot("list:b", items({ j: "1" }), stampOf(1));
  await clock.play(100);
  expect([router.held(LIST), router.held("list:b")]).toEqual([{ i: "1" }, {}]);
  router.topics = ["list:b"];
  router.subscriber.updateSubscriptions();
  sources[0].publishChanges(LIST, changes({ i: "2" }), stampOf(2));
  await clock.play(100);
  expect([router.held(LIST), router.subscriber.replica.has(LIST), router.held("list:b")]).toEqual([{}, false, { j: "1" }]);
  expect(router.unsubscribed.splice(0)).toEqual([[LIST, ["i"]]]);
  router.disconnect("a"); // what is no longer wanted when the next control node is found is left as well
  router.topics = [LIST];
  router.join("a", "a", sources[0]);
  await clock.play(100);
  expect([router.unsubscribed, router.held(LIST), router.subscriber.replica.has("list:b")]).toEqual([
    [["list:b", ["j"]]],
    { i: "2" },
    false,
  ]);
});
