// The keyed feed, follower's side (design/parts 1.4): what is held of each topic. A change becomes visible
// whole or not at all, after its digest has proved it, whichever source it comes from.
//
//   take(change) -> applied (what changed and what is gone, also for a view), known, stale, gap, mismatch
//   wanted(topic, mode) -> what to ask a source for after a gap; wantedView(topic) after a mismatch
import type * as schema from "../wire/schema.js";
import * as types from "../wire/types.js";
import * as log from "../runtime/log.js";
import type * as feeds from "./feed.js";
import * as keyed from "./keyed.js";

/** A change that was taken. */
export interface Applied {
  kind: "applied";
  topic: string;
  stamp: types.Stamp;
  changed: ReadonlyMap<string, Buffer>;
  gone: readonly string[];
  isFirst: boolean;
}

/** What became of a change. */
export type Outcome = Applied | { kind: "known" | "stale" | "gap" | "mismatch" };

interface Held {
  items: keyed.Keyed;
  place: string;
  number: number;
  stamp: types.Stamp;
}

/** A follower's copy of its topics. */
export class Mirror {
  private readonly topics = new Map<string, Held>();

  /** `ordered`: topics whose stamps mean the same at every source; these never go back. */
  constructor(private readonly ordered: ReadonlySet<string>) {}

  has(topic: string): boolean {
    return this.topics.has(topic);
  }

  stamp(topic: string): types.Stamp {
    return this.topics.get(topic)?.stamp ?? types.small(Number.NEGATIVE_INFINITY);
  }

  digest(topic: string): types.Digest {
    return this.topics.get(topic)?.items.digest ?? keyed.EMPTY_DIGEST;
  }

  body(topic: string, key: string): Buffer | undefined {
    return this.topics.get(topic)?.items.body(key);
  }

  bodies(topic: string): Map<string, Buffer> {
    return this.topics.get(topic)?.items.bodies() ?? new Map<string, Buffer>();
  }

  /** Place of the last change; a source only believes numbers of its own place. */
  place(topic: string): string {
    return this.topics.get(topic)?.place ?? "";
  }

  wanted(topic: string, mode: feeds.Mode, place: string): schema.Wanted {
    const held = this.topics.get(topic);
    return { topic, mode, from: held && held.place === place ? held.number : 0, digest: this.digest(topic) };
  }

  wantedView(topic: string, mode: feeds.Mode): schema.Wanted {
    return { topic, mode, from: 0, digest: types.small("") };
  }

  /** The keys of what was held. */
  forget(topic: string): string[] {
    const keys = [...(this.topics.get(topic)?.items.keys() ?? [])];
    this.topics.delete(topic);
    return keys;
  }

  take(change: schema.Change): Outcome {
    const held = this.topics.get(change.topic);
    const isOrdered = this.ordered.has(change.topic);
    const items = held?.items ?? new keyed.Keyed();
    if (held && change.digest === items.digest) return this.keepUp(held, change, isOrdered);
    if (held && isOrdered && change.stamp <= held.stamp) return { kind: "stale" };
    if (!change.isView && change.base !== items.digest) return this.refuse("gap");
    const plan = this.read(items, change);
    if (plan?.digest !== change.digest) return this.refuse("mismatch");
    items.apply(plan);
    this.topics.set(change.topic, { items, place: change.place, number: change.number, stamp: change.stamp });
    return { kind: "applied", topic: change.topic, stamp: change.stamp, changed: plan.changed, gone: plan.gone, isFirst: !held };
  }

  /** The same items: the stamp may have moved on, or another source may have caught up. */
  private keepUp(held: Held, change: schema.Change, isOrdered: boolean): Outcome {
    const isNews = change.stamp > held.stamp;
    if (isNews || !isOrdered) {
      held.stamp = change.stamp;
      held.place = change.place;
      held.number = change.number;
    }
    return isNews && isOrdered
      ? { kind: "applied", topic: change.topic, stamp: change.stamp, changed: new Map(), gone: [], isFirst: false }
      : { kind: "known" };
  }

  private read(items: keyed.Keyed, change: schema.Change): keyed.Plan | null {
    try {
      const changes = keyed.unpack(change);
      return change.isView ? items.planView(changes) : items.plan(changes);
    } catch {
      return null;
    }
  }

  private refuse(kind: "gap" | "mismatch"): Outcome {
    log.count(`feed.${kind}`);
    return { kind };
  }
}
