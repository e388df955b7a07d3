// The keyed feed, publisher's side (design 6.4, design/parts 1). The state is divided into topics, a topic
// holds items (key -> body), and each follower gets the items of the topics that it follows, as they change.
//
//   publish(topic, items, stamp)   the whole topic; only what differs gets a new number and travels
//   amend(topic, changes, stamp)   some items; a body of null takes one away
//   follow(link, {place, topics})  per topic a mode: "items" (differences from what it holds, else a view), "notices"
//                                  (stamp and digest only), "once" (as items, now and not again), "none"
//
// `place` is this life of the publisher; numbers count within a topic and a place. `stamp`: an epoch or a time in
// milliseconds of the source's steady clock; it may move on without any item. The other side is mirror.ts.
import * as calls from "../wire/calls.js";
import type * as link from "../wire/link.js";
import * as schema from "../wire/schema.js";
import * as types from "../wire/types.js";
import * as log from "../runtime/log.js";
import * as keyedItems from "./keyed-items.js";

const MAX_TOMBSTONES = 512;
const MAX_KNOWN_DIGESTS = 64;

/** How a topic is followed. */
export type SubscriptionMode = "items" | "notices" | "once" | "none";

class Topic {
  readonly items = new keyedItems.KeyedItems();
  /** The number of each item's last change, oldest first. */
  private readonly offsets = new Map<string, number>();
  private readonly tombstones = new Map<string, number>();
  /** Which number a digest was last seen at: differences for those who come from another source. */
  private readonly offsetsByDigest = new Map<types.Digest, number>();
  private packedSnapshot: ReturnType<typeof keyedItems.packChanges> | null = null;
  /** Differences can be told from here on. */
  private oldestOffset = 0;
  offset = 0;
  stamp: types.Stamp = types.small(Number.NEGATIVE_INFINITY);

  apply(plan: keyedItems.ChangePlan, stamp: types.Stamp): void {
    this.offset += 1;
    this.stamp = stamp;
    this.packedSnapshot = null;
    this.items.apply(plan);
    for (const key of plan.removed) {
      this.offsets.delete(key);
      this.tombstones.set(key, this.offset);
    }
    for (const key of plan.changed.keys()) {
      this.tombstones.delete(key);
      this.offsets.delete(key);
      this.offsets.set(key, this.offset);
    }
    for (const [key, number] of this.tombstones) {
      if (this.tombstones.size <= MAX_TOMBSTONES) break;
      this.tombstones.delete(key);
      this.oldestOffset = number;
    }
    this.offsetsByDigest.delete(plan.digest);
    this.offsetsByDigest.set(plan.digest, this.offset);
    for (const digest of this.offsetsByDigest.keys()) {
      if (this.offsetsByDigest.size <= MAX_KNOWN_DIGESTS) break;
      this.offsetsByDigest.delete(digest);
    }
  }

  /** The number from which a follower lacks items; null when only a view will do. */
  offsetToResumeFrom(place: string, own: string, wanted: schema.Wanted): number | null {
    const isOwn = place === own && wanted.from > 0 && wanted.from <= this.offset;
    const from = isOwn ? wanted.from : this.offsetsByDigest.get(wanted.digest);
    return from !== undefined && from >= this.oldestOffset ? from : null;
  }

  changesSince(from: number): Map<string, Buffer | null> {
    const changes = new Map<string, Buffer | null>();
    for (const [key, number] of this.tombstones) if (number > from) changes.set(key, null);
    for (const [key, number] of this.offsets) if (number > from) changes.set(key, this.items.body(key)!);
    return changes;
  }

  /** Packed once for all that ask. */
  snapshot(): ReturnType<typeof keyedItems.packChanges> {
    this.packedSnapshot ??= keyedItems.packChanges(this.items.bodies());
    return this.packedSnapshot;
  }
}

/** The topics of one control node, and who follows them. */
export class FeedPublisher {
  private readonly topics = new Map<string, Topic>();
  private readonly subscribers = new Map<link.Link, Map<string, SubscriptionMode>>();

  constructor(readonly incarnation: string) {}

  publishSnapshot(topic: string, items: ReadonlyMap<string, Buffer>, stamp: types.Stamp): void {
    const held = this.topics.get(topic);
    this.applyPlan(topic, (held?.items ?? new keyedItems.KeyedItems()).planSnapshot(items), stamp);
  }

  publishChanges(topic: string, changes: keyedItems.Changes, stamp: types.Stamp): void {
    const held = this.topics.get(topic);
    this.applyPlan(topic, (held?.items ?? new keyedItems.KeyedItems()).plan(changes), stamp);
  }

  /** The one place where a topic changes, and where it is told. */
  private applyPlan(name: string, plan: keyedItems.ChangePlan, stamp: types.Stamp): void {
    let topic = this.topics.get(name);
    if (topic && keyedItems.isEmpty(plan) && stamp <= topic.stamp) return;
    if (!topic) {
      topic = new Topic();
      this.topics.set(name, topic);
    }
    const base = topic.items.digest;
    topic.apply(plan, stamp);
    const change = this.changeMessage(name, topic, base, false, keyedItems.packChanges(keyedItems.changesOf(plan)));
    for (const [follower, modes] of this.subscribers) {
      const mode = modes.get(name);
      if (mode === "items") this.sendChange(follower, change);
      else if (mode === "notices") this.sendNotice(follower, name, topic);
    }
  }

  private changeMessage(
    name: string,
    topic: Topic,
    base: types.Digest,
    isView: boolean,
    packed: ReturnType<typeof keyedItems.packChanges>,
  ): schema.Change {
    return {
      place: this.incarnation,
      topic: name,
      number: topic.offset,
      stamp: topic.stamp,
      base,
      digest: topic.items.digest,
      isView,
      ...packed,
    };
  }

  private sendChange(follower: link.Link, change: schema.Change): void {
    log.count(change.isView ? "feed.view" : "feed.difference");
    log.count("feed.item_bytes", change.items.length);
    follower.send(calls.change, change);
  }

  private sendNotice(follower: link.Link, name: string, topic: Topic): void {
    follower.send(calls.notice, {
      place: this.incarnation,
      topic: name,
      number: topic.offset,
      stamp: topic.stamp,
      digest: topic.items.digest,
    });
  }

  /** Answers those who follow topics. */
  registerHandlers(handlers: link.Handlers): void {
    handlers.on(calls.follow, (from, ask) => {
      this.subscribe(from, ask);
      return null;
    });
  }

  subscribe(follower: link.Link, ask: schema.Follow): void {
    let modes = this.subscribers.get(follower);
    if (!modes) {
      modes = new Map();
      this.subscribers.set(follower, modes);
      follower.once("end", this.removeSubscriber.bind(this, follower));
    }
    for (const wanted of ask.topics) {
      const mode = wanted.mode as SubscriptionMode;
      if (mode === "none") modes.delete(wanted.topic);
      else if (mode !== "once") modes.set(wanted.topic, mode);
      const topic = this.topics.get(wanted.topic);
      if (!topic || mode === "none") continue;
      if (mode === "notices") this.sendNotice(follower, wanted.topic, topic);
      else this.sendChange(follower, this.missingChange(ask.place, wanted, topic));
    }
  }

  /** What the follower lacks, or all. */
  private missingChange(place: string, wanted: schema.Wanted, topic: Topic): schema.Change {
    const from = topic.offsetToResumeFrom(place, this.incarnation, wanted);
    if (from === null) return this.changeMessage(wanted.topic, topic, keyedItems.EMPTY_DIGEST, true, topic.snapshot());
    return this.changeMessage(wanted.topic, topic, wanted.digest, false, keyedItems.packChanges(topic.changesSince(from)));
  }

  /** Who follows the items of the topic. */
  *subscribersOf(topic: string): Generator<link.Link> {
    for (const [follower, modes] of this.subscribers) if (modes.get(topic) === "items") yield follower;
  }

  private removeSubscriber(follower: link.Link): void {
    this.subscribers.delete(follower);
  }
}
