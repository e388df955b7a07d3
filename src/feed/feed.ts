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
import * as keyed from "./keyed.js";

const MAX_TOMBSTONES = 512;
const MAX_MARKS = 64;

/** How a topic is followed. */
export type Mode = "items" | "notices" | "once" | "none";

class Topic {
  readonly items = new keyed.Keyed();
  /** The number of each item's last change, oldest first. */
  private readonly numbers = new Map<string, number>();
  private readonly tombstones = new Map<string, number>();
  /** Which number a digest was last seen at: differences for those who come from another source. */
  private readonly marks = new Map<types.Digest, number>();
  private view: ReturnType<typeof keyed.pack> | null = null;
  /** Differences can be told from here on. */
  private floor = 0;
  number = 0;
  stamp: types.Stamp = types.small(Number.NEGATIVE_INFINITY);

  apply(plan: keyed.Plan, stamp: types.Stamp): void {
    this.number += 1;
    this.stamp = stamp;
    this.view = null;
    this.items.apply(plan);
    for (const key of plan.gone) {
      this.numbers.delete(key);
      this.tombstones.set(key, this.number);
    }
    for (const key of plan.changed.keys()) {
      this.tombstones.delete(key);
      this.numbers.delete(key);
      this.numbers.set(key, this.number);
    }
    for (const [key, number] of this.tombstones) {
      if (this.tombstones.size <= MAX_TOMBSTONES) break;
      this.tombstones.delete(key);
      this.floor = number;
    }
    this.marks.delete(plan.digest);
    this.marks.set(plan.digest, this.number);
    for (const digest of this.marks.keys()) {
      if (this.marks.size <= MAX_MARKS) break;
      this.marks.delete(digest);
    }
  }

  /** The number from which a follower lacks items; null when only a view will do. */
  after(place: string, own: string, wanted: schema.Wanted): number | null {
    const isOwn = place === own && wanted.from > 0 && wanted.from <= this.number;
    const from = isOwn ? wanted.from : this.marks.get(wanted.digest);
    return from !== undefined && from >= this.floor ? from : null;
  }

  since(from: number): Map<string, Buffer | null> {
    const changes = new Map<string, Buffer | null>();
    for (const [key, number] of this.tombstones) if (number > from) changes.set(key, null);
    for (const [key, number] of this.numbers) if (number > from) changes.set(key, this.items.body(key)!);
    return changes;
  }

  /** Packed once for all that ask. */
  whole(): ReturnType<typeof keyed.pack> {
    this.view ??= keyed.pack(this.items.bodies());
    return this.view;
  }
}

/** The topics of one control node, and who follows them. */
export class Feed {
  private readonly topics = new Map<string, Topic>();
  private readonly followers = new Map<link.Link, Map<string, Mode>>();

  constructor(readonly place: string) {}

  publish(topic: string, items: ReadonlyMap<string, Buffer>, stamp: types.Stamp): void {
    const held = this.topics.get(topic);
    this.move(topic, (held?.items ?? new keyed.Keyed()).planView(items), stamp);
  }

  amend(topic: string, changes: keyed.Changes, stamp: types.Stamp): void {
    const held = this.topics.get(topic);
    this.move(topic, (held?.items ?? new keyed.Keyed()).plan(changes), stamp);
  }

  /** The one place where a topic changes, and where it is told. */
  private move(name: string, plan: keyed.Plan, stamp: types.Stamp): void {
    let topic = this.topics.get(name);
    if (topic && keyed.isEmpty(plan) && stamp <= topic.stamp) return;
    if (!topic) {
      topic = new Topic();
      this.topics.set(name, topic);
    }
    const base = topic.items.digest;
    topic.apply(plan, stamp);
    const change = this.frame(name, topic, base, false, keyed.pack(keyed.changesOf(plan)));
    for (const [follower, modes] of this.followers) {
      const mode = modes.get(name);
      if (mode === "items") this.tell(follower, change);
      else if (mode === "notices") this.tellNotice(follower, name, topic);
    }
  }

  private frame(name: string, topic: Topic, base: types.Digest, isView: boolean, packed: ReturnType<typeof keyed.pack>): schema.Change {
    return {
      place: this.place,
      topic: name,
      number: topic.number,
      stamp: topic.stamp,
      base,
      digest: topic.items.digest,
      isView,
      ...packed,
    };
  }

  private tell(follower: link.Link, change: schema.Change): void {
    log.count(change.isView ? "feed.view" : "feed.difference");
    log.count("feed.item_bytes", change.items.length);
    follower.tell(calls.change, change);
  }

  private tellNotice(follower: link.Link, name: string, topic: Topic): void {
    follower.tell(calls.notice, { place: this.place, topic: name, number: topic.number, stamp: topic.stamp, digest: topic.items.digest });
  }

  /** Answers those who follow topics. */
  register(handlers: link.Handlers): void {
    handlers.on(calls.follow, (from, ask) => {
      this.follow(from, ask);
      return null;
    });
  }

  follow(follower: link.Link, ask: schema.Follow): void {
    let modes = this.followers.get(follower);
    if (!modes) {
      modes = new Map();
      this.followers.set(follower, modes);
      follower.once("end", this.forget.bind(this, follower));
    }
    for (const wanted of ask.topics) {
      const mode = wanted.mode as Mode;
      if (mode === "none") modes.delete(wanted.topic);
      else if (mode !== "once") modes.set(wanted.topic, mode);
      const topic = this.topics.get(wanted.topic);
      if (!topic || mode === "none") continue;
      if (mode === "notices") this.tellNotice(follower, wanted.topic, topic);
      else this.tell(follower, this.reply(ask.place, wanted, topic));
    }
  }

  /** What the follower lacks, or all. */
  private reply(place: string, wanted: schema.Wanted, topic: Topic): schema.Change {
    const from = topic.after(place, this.place, wanted);
    if (from === null) return this.frame(wanted.topic, topic, keyed.EMPTY_DIGEST, true, topic.whole());
    return this.frame(wanted.topic, topic, wanted.digest, false, keyed.pack(topic.since(from)));
  }

  /** Who follows the items of the topic. */
  *followersOf(topic: string): Generator<link.Link> {
    for (const [follower, modes] of this.followers) if (modes.get(topic) === "items") yield follower;
  }

  private forget(follower: link.Link): void {
    this.followers.delete(follower);
  }
}

/** The configuration, its evacuations and routes. */
export const REGISTER_TOPIC = "register";
/** The key of a topic's only item. */
export const ALL_KEY = "all";
/** Stands for zones that the settings do not name. */
export const NO_REGION = "";
const LIST_PREFIX = "list:";
/** The topic of a region's part of the platform's list. */
export function listTopic(region: string): string {
  return LIST_PREFIX + region;
}
/** Whether a topic is a part of the platform's list. */
export function isListTopic(topic: string): boolean {
  return topic.startsWith(LIST_PREFIX);
}
const CELL = "cell:";
/** The topic of a region's reports. */
export function cellTopic(region: string): string {
  return `${CELL}${region}`;
}

/** Null for other topics. */
export function regionOf(topic: string): string | null {
  return topic.startsWith(CELL) ? topic.slice(CELL.length) : null;
}
