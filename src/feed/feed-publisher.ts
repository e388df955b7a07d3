/**
 * The publisher of the keyed feed (design 6.4, design/parts 1). The state is divided into topics, a topic holds items (key to
 * body), and each subscriber receives the items of its topics as they change: deltas, or a snapshot (a "view" on the wire)
 * where it is too far behind. Offsets count the changes of one topic within one incarnation of the publisher (`number` and
 * `place` on the wire). A stamp is an epoch, or a time in milliseconds of the source's steady clock; it may advance without
 * any change of items. feed-replica.ts applies the changes, feed-subscriber.ts requests them.
 */
import * as calls from "../wire/calls.js";
import type * as link from "../wire/link.js";
import * as schema from "../wire/schema.js";
import * as types from "../wire/types.js";
import * as log from "../runtime/log.js";
import * as keyedItems from "./keyed-items.js";

/** Removed keys that are remembered for deltas; a subscriber that needs an older one gets a snapshot. */
const MAX_TOMBSTONES = 512;
/** Digests of earlier states by which subscribers of other publishers are recognized. */
const MAX_KNOWN_DIGESTS = 64;

/** What a subscriber receives of a topic: deltas; stamps and digests alone; one reply and no more; nothing. */
export type SubscriptionMode = "items" | "notices" | "once" | "none";

class Topic {
  readonly items = new keyedItems.KeyedItems();
  /** The offset of each item's last change, oldest first. */
  private readonly offsets = new Map<string, number>();
  private readonly tombstones = new Map<string, number>();
  /** The offset at which a digest was last seen, so that subscribers of another publisher can be sent deltas. */
  private readonly offsetsByDigest = new Map<types.Digest, number>();
  private packedSnapshot: ReturnType<typeof keyedItems.packChanges> | null = null;
  /** Deltas can be made from this offset on. */
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

  /** The offset up to which the subscriber holds the topic; null when it needs a snapshot. */
  offsetToResumeFrom(place: string, own: string, wanted: schema.TopicSubscription): number | null {
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

  /** All items, packed once for all subscribers. */
  snapshot(): ReturnType<typeof keyedItems.packChanges> {
    this.packedSnapshot ??= keyedItems.packChanges(this.items.bodies());
    return this.packedSnapshot;
  }
}

/** The topics of one control node, and their subscribers. */
export class FeedPublisher {
  private readonly topics = new Map<string, Topic>();
  private readonly subscribers = new Map<link.Link, Map<string, SubscriptionMode>>();

  constructor(readonly incarnation: string) {}

  /** Replaces all items of the topic; only those that differ are sent. */
  publishSnapshot(topic: string, items: ReadonlyMap<string, Buffer>, stamp: types.Stamp): void {
    const current = this.topics.get(topic);
    this.applyPlan(topic, (current?.items ?? new keyedItems.KeyedItems()).planSnapshot(items), stamp);
  }

  /** Changes some items of the topic; a body of null removes its item. */
  publishChanges(topic: string, changes: keyedItems.Changes, stamp: types.Stamp): void {
    const current = this.topics.get(topic);
    this.applyPlan(topic, (current?.items ?? new keyedItems.KeyedItems()).plan(changes), stamp);
  }

  /** Applies a change to the topic and sends it to the subscribers; all changes pass here. */
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
    for (const [subscriber, modes] of this.subscribers) {
      const mode = modes.get(name);
      if (mode === "items") this.sendChange(subscriber, change);
      else if (mode === "notices") this.sendNotice(subscriber, name, topic);
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

  private sendChange(subscriber: link.Link, change: schema.Change): void {
    log.count(change.isView ? "feed.view" : "feed.difference");
    log.count("feed.item_bytes", change.items.length);
    subscriber.send(calls.change, change);
  }

  private sendNotice(subscriber: link.Link, name: string, topic: Topic): void {
    subscriber.send(calls.notice, {
      place: this.incarnation,
      topic: name,
      number: topic.offset,
      stamp: topic.stamp,
      digest: topic.items.digest,
    });
  }

  /** Registers the handler of subscriptions. */
  registerHandlers(handlers: link.Handlers): void {
    handlers.on(calls.subscribe, (from, ask) => {
      this.subscribe(from, ask);
      return null;
    });
  }

  /** Sets what the subscriber receives, and sends at once what it lacks of each topic. */
  subscribe(subscriber: link.Link, ask: schema.Subscribe): void {
    let modes = this.subscribers.get(subscriber);
    if (!modes) {
      modes = new Map();
      this.subscribers.set(subscriber, modes);
      subscriber.once("end", () => this.removeSubscriber(subscriber));
    }
    for (const wanted of ask.topics) {
      const mode = wanted.mode as SubscriptionMode;
      if (mode === "none") modes.delete(wanted.topic);
      else if (mode !== "once") modes.set(wanted.topic, mode);
      const topic = this.topics.get(wanted.topic);
      if (!topic || mode === "none") continue;
      if (mode === "notices") this.sendNotice(subscriber, wanted.topic, topic);
      else this.sendChange(subscriber, this.missingChange(ask.place, wanted, topic));
    }
  }

  /** What the subscriber lacks as a delta, or a snapshot. */
  private missingChange(place: string, wanted: schema.TopicSubscription, topic: Topic): schema.Change {
    const from = topic.offsetToResumeFrom(place, this.incarnation, wanted);
    if (from === null) return this.changeMessage(wanted.topic, topic, keyedItems.EMPTY_DIGEST, true, topic.snapshot());
    return this.changeMessage(wanted.topic, topic, wanted.digest, false, keyedItems.packChanges(topic.changesSince(from)));
  }

  /** The links of those who receive the items of the topic. */
  *subscribersOf(topic: string): Generator<link.Link> {
    for (const [subscriber, modes] of this.subscribers) if (modes.get(topic) === "items") yield subscriber;
  }

  private removeSubscriber(subscriber: link.Link): void {
    this.subscribers.delete(subscriber);
  }
}
