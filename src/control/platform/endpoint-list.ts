/**
 * The platform's endpoint list as control nodes keep and replicate it: one keyed item an instance, so that only changes
 * travel (design/parts 6).
 */
import type * as feedPublisher from "../../feed/feed-publisher.js";
import * as feedTopics from "../../feed/feed-topics.js";
import * as keyedItems from "../../feed/keyed-items.js";
import * as schema from "../../wire/schema.js";
import * as types from "../../wire/types.js";

/** A remaining warm-up time that exceeds the expected one by less than this is no change. */
const WARM_UP_TOLERANCE_MS = 400;
const { NO_REGION } = feedTopics;

interface Entry extends schema.Listed {
  readAt: types.SteadyMs;
}

/**
 * Whether an instance differs from its entry. Relative times of an entry are as of its reading: a warm-up time that
 * merely elapses is no change until the warm-up is over.
 */
function isChanged(before: Entry, item: schema.Instance, now: types.SteadyMs): boolean {
  const old = before.instance;
  if (old.service !== item.service || old.address !== item.address || old.zone !== item.zone) return true;
  if (old.isDraining !== item.isDraining || old.capacity !== item.capacity) return true;
  if (old.leavesMs < 0 !== item.leavesMs < 0 || (old.coldMs > 0 && item.coldMs === 0)) return true;
  return item.coldMs > Math.max(0, old.coldMs - (now - before.readAt)) + WARM_UP_TOLERANCE_MS;
}

/** The endpoint list as keyed items with a digest over all of them. */
export class EndpointList {
  private readonly items = new keyedItems.KeyedItems();
  private readonly entries = new Map<types.RunnerId, Entry>();

  /** The digest of all items: equal at nodes that hold the same list. */
  get digest(): types.Digest {
    return this.items.digest;
  }

  /** All instances of the list. */
  instances(): schema.Instance[] {
    const instances: schema.Instance[] = [];
    for (const { instance } of this.entries.values()) instances.push(instance);
    return instances;
  }

  /** Applies the complete list as just read from the platform, and returns what has changed. */
  replaceAll(list: readonly schema.Instance[], now: types.SteadyMs): keyedItems.ChangePlan {
    const changes = new Map<string, Buffer | null>();
    const listed = new Set<string>();
    for (const item of list) {
      listed.add(item.id);
      const before = this.entries.get(item.id);
      if (!before || isChanged(before, item, now))
        changes.set(item.id, schema.listed.toBuffer({ times: (before?.times ?? 0) + 1, instance: item }));
    }
    for (const id of this.entries.keys()) if (!listed.has(id)) changes.set(id, null);
    const plan = this.items.plan(changes);
    this.apply(plan, now);
    return plan;
  }

  /** Applies a peer's update; null, and no change, when it builds on another state or its digest does not match. */
  applyUpdate(change: schema.Change, now: types.SteadyMs): keyedItems.ChangePlan | null {
    if (!change.isView && change.base !== this.items.digest) return null;
    const changes = keyedItems.unpackChanges(change);
    const plan = change.isView ? this.items.planSnapshot(changes) : this.items.plan(changes);
    if (plan.digest !== change.digest) return null;
    this.apply(plan, now);
    return plan;
  }

  private apply(plan: keyedItems.ChangePlan, now: types.SteadyMs): void {
    this.items.apply(plan);
    for (const id of plan.removed) this.entries.delete(types.small(id));
    for (const [id, body] of plan.changed) this.entries.set(types.small(id), { ...schema.listed.fromBuffer(body), readAt: now });
  }

  /** All items, for a peer that holds another list. */
  snapshot(): ReturnType<typeof keyedItems.packChanges> {
    return keyedItems.packChanges(this.items.bodies());
  }
}

/** Adds a change of one item to those to be published; a null body removes the item. */
type AddChange = (region: string, id: string, body: Buffer | null) => void;

/** The endpoint list by region, published as a topic each, and one for zones that the settings do not name. */
export class RegionalEndpoints {
  private readonly byRegion = new Map<string, Map<string, schema.Instance>>();
  private readonly regionOfId = new Map<string, string>();
  private isPublished = false;

  constructor(
    private readonly regionOfZone: ReadonlyMap<string, string>,
    private readonly feed: feedPublisher.FeedPublisher,
  ) {
    for (const region of regionOfZone.values()) this.byRegion.set(region, new Map());
    this.byRegion.set(NO_REGION, new Map());
  }

  /** The instances of a region; none where the region is unknown. */
  instancesOf(region: string): Iterable<schema.Instance> {
    return this.byRegion.get(region)?.values() ?? [];
  }

  /** Applies a change of the list and publishes it in the topics of the regions that it touches. */
  applyChange(plan: keyedItems.ChangePlan, stamp: types.Stamp): void {
    const changes = new Map<string, Map<string, Buffer | null>>();
    const addChange: AddChange = (region, id, body) => {
      const ofRegion = changes.get(region);
      if (ofRegion) ofRegion.set(id, body);
      else changes.set(region, new Map([[id, body]]));
    };
    // The first list publishes all topics, also those of regions without an instance.
    if (!this.isPublished) for (const region of this.byRegion.keys()) changes.set(region, new Map());
    this.isPublished = true;
    for (const id of plan.removed) this.remove(id, addChange);
    for (const [id, body] of plan.changed) {
      const { instance } = schema.listed.fromBuffer(body);
      const region = this.regionOfZone.get(instance.zone) ?? NO_REGION;
      if (this.regionOfId.get(id) !== region) this.remove(id, addChange);
      this.regionOfId.set(id, region);
      this.byRegion.get(region)!.set(id, instance);
      addChange(region, id, body);
    }
    for (const [region, ofRegion] of changes) this.feed.publishChanges(feedTopics.listTopic(region), ofRegion, stamp);
  }

  private remove(id: string, addChange: AddChange): void {
    const region = this.regionOfId.get(id);
    if (region === undefined) return;
    this.regionOfId.delete(id);
    this.byRegion.get(region)!.delete(id);
    addChange(region, id, null);
  }
}
