// The keyed feed, follower's side (design/parts 1.4): what is held of each topic. A change becomes visible
// whole or not at all, after its digest has proved it, whichever source it comes from.
//
//   take(change) -> applied (what changed and what is gone, also for a view), known, stale, gap, mismatch
//   wanted(topic, mode) -> what to ask a source for after a gap; wantedView(topic) after a mismatch
import type * as schema from "../wire/schema.js";
import * as types from "../wire/types.js";
import * as log from "../runtime/log.js";
import type * as feedPublisher from "./feed-publisher.js";
import * as keyedItems from "./keyed-items.js";

/** A change that was taken. */
export interface AppliedChange {
  kind: "applied";
  topic: string;
  stamp: types.Stamp;
  changed: ReadonlyMap<string, Buffer>;
  removed: readonly string[];
  isFirst: boolean;
}

/** What became of a change. */
export type Outcome = AppliedChange | { kind: "known" | "stale" | "gap" | "mismatch" };

interface TopicState {
  items: keyedItems.KeyedItems;
  incarnation: string;
  offset: number;
  stamp: types.Stamp;
}

/** A follower's copy of its topics. */
export class FeedReplica {
  private readonly topics = new Map<string, TopicState>();

  /** `ordered`: topics whose stamps mean the same at every source; these never go back. */
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

  body(topic: string, key: string): Buffer | undefined {
    return this.topics.get(topic)?.items.body(key);
  }

  bodies(topic: string): Map<string, Buffer> {
    return this.topics.get(topic)?.items.bodies() ?? new Map<string, Buffer>();
  }

  /** Place of the last change; a source only believes numbers of its own place. */
  incarnation(topic: string): string {
    return this.topics.get(topic)?.incarnation ?? "";
  }

  subscription(topic: string, mode: feedPublisher.SubscriptionMode, place: string): schema.Wanted {
    const held = this.topics.get(topic);
    return { topic, mode, from: held && held.incarnation === place ? held.offset : 0, digest: this.digest(topic) };
  }

  snapshotSubscription(topic: string, mode: feedPublisher.SubscriptionMode): schema.Wanted {
    return { topic, mode, from: 0, digest: types.small("") };
  }

  /** The keys of what was held. */
  remove(topic: string): string[] {
    const keys = [...(this.topics.get(topic)?.items.keys() ?? [])];
    this.topics.delete(topic);
    return keys;
  }

  applyChange(change: schema.Change): Outcome {
    const held = this.topics.get(change.topic);
    const isOrdered = this.ordered.has(change.topic);
    const items = held?.items ?? new keyedItems.KeyedItems();
    if (held && change.digest === items.digest) return this.updateStamp(held, change, isOrdered);
    if (held && isOrdered && change.stamp <= held.stamp) return { kind: "stale" };
    if (!change.isView && change.base !== items.digest) return this.reject("gap");
    const plan = this.planChange(items, change);
    if (plan?.digest !== change.digest) return this.reject("mismatch");
    items.apply(plan);
    this.topics.set(change.topic, { items, incarnation: change.place, offset: change.number, stamp: change.stamp });
    return { kind: "applied", topic: change.topic, stamp: change.stamp, changed: plan.changed, removed: plan.removed, isFirst: !held };
  }

  /** The same items: the stamp may have moved on, or another source may have caught up. */
  private updateStamp(held: TopicState, change: schema.Change, isOrdered: boolean): Outcome {
    const isNews = change.stamp > held.stamp;
    if (isNews || !isOrdered) {
      held.stamp = change.stamp;
      held.incarnation = change.place;
      held.offset = change.number;
    }
    return isNews && isOrdered
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
