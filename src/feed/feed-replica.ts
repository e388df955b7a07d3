/**
 * The subscriber's replica of the feed's topics (design/parts 1.4). A change becomes visible as a whole or not at all, after
 * its digest has proved it, whichever publisher it comes from.
 */
import type * as schema from "../wire/schema.js";
import * as types from "../wire/types.js";
import * as log from "../runtime/log.js";
import type * as feedPublisher from "./feed-publisher.js";
import * as keyedItems from "./keyed-items.js";

/** A change that was applied: the new bodies, and the keys of removed items. */
export interface AppliedChange {
  kind: "applied";
  topic: string;
  stamp: types.Stamp;
  changed: ReadonlyMap<string, Buffer>;
  removed: readonly string[];
  isFirst: boolean;
}

/** Result of a change; after a `gap` a delta from the current state is needed, after a `mismatch` a snapshot. */
export type Outcome = AppliedChange | { kind: "known" | "stale" | "gap" | "mismatch" };

interface TopicState {
  items: keyedItems.KeyedItems;
  incarnation: string;
  offset: number;
  stamp: types.Stamp;
}

/** The replica of all topics that one process subscribes to. */
export class FeedReplica {
  private readonly topics = new Map<string, TopicState>();

  /** `ordered`: topics whose stamps mean the same at every publisher; these never go back. */
  constructor(private readonly ordered: ReadonlySet<string>) {}

  has(topic: string): boolean {
    return this.topics.has(topic);
  }

  stamp(topic: string): types.Stamp {
    return this.topics.get(topic)?.stamp ?? types.small(Number.NEGATIVE_INFINITY);
  }

  digest(topic: string): types.Digest {
    return this.topics.get(topic)?.items.digest ?? keyedItems.EMPTY_DIGEST;
  }

  bodies(topic: string): Map<string, Buffer> {
    return this.topics.get(topic)?.items.bodies() ?? new Map<string, Buffer>();
  }

  /** Requests what this replica lacks of the topic: a delta where the publisher can make one. */
  subscription(topic: string, mode: feedPublisher.SubscriptionMode, place: string): schema.TopicSubscription {
    const current = this.topics.get(topic);
    return { topic, mode, from: current && current.incarnation === place ? current.offset : 0, digest: this.digest(topic) };
  }

  /** Requests a snapshot of the topic. */
  snapshotSubscription(topic: string, mode: feedPublisher.SubscriptionMode): schema.TopicSubscription {
    return { topic, mode, from: 0, digest: types.small("") };
  }

  /** Drops the topic; returns the keys of its items. */
  remove(topic: string): string[] {
    const keys = [...(this.topics.get(topic)?.items.keys() ?? [])];
    this.topics.delete(topic);
    return keys;
  }

  /** Applies a change if its digest proves it; nothing is visible of one that is not applied. */
  applyChange(change: schema.Change): Outcome {
    const current = this.topics.get(change.topic);
    const isOrdered = this.ordered.has(change.topic);
    const items = current?.items ?? new keyedItems.KeyedItems();
    if (current && change.digest === items.digest) return this.updateStamp(current, change, isOrdered);
    if (current && isOrdered && change.stamp <= current.stamp) return { kind: "stale" };
    if (!change.isView && change.base !== items.digest) return this.reject("gap");
    const plan = this.planChange(items, change);
    if (plan?.digest !== change.digest) return this.reject("mismatch");
    items.apply(plan);
    this.topics.set(change.topic, { items, incarnation: change.place, offset: change.number, stamp: change.stamp });
    return { kind: "applied", topic: change.topic, stamp: change.stamp, changed: plan.changed, removed: plan.removed, isFirst: !current };
  }

  /** The items are the same: the stamp may have advanced, or another publisher may have caught up. */
  private updateStamp(current: TopicState, change: schema.Change, isOrdered: boolean): Outcome {
    const isNewer = change.stamp > current.stamp;
    if (isNewer || !isOrdered) {
      current.stamp = change.stamp;
      current.incarnation = change.place;
      current.offset = change.number;
    }
    return isNewer && isOrdered
      ? { kind: "applied", topic: change.topic, stamp: change.stamp, changed: new Map(), removed: [], isFirst: false }
      : { kind: "known" };
  }

  private planChange(items: keyedItems.KeyedItems, change: schema.Change): keyedItems.ChangePlan | null {
    try {
      const changes = keyedItems.unpackChanges(change);
      return change.isView ? items.planSnapshot(changes) : items.plan(changes);
    } catch {
      return null;
    }
  }

  private reject(kind: "gap" | "mismatch"): Outcome {
    log.count(`feed.${kind}`);
    return { kind };
  }
}
