// The platform's list as control nodes hold and tell it: an item for each instance (design/parts 6).
import * as feeds from "../../feed/feed.js";
import * as keyed from "../../feed/keyed.js";
import * as schema from "../../wire/schema.js";
import * as types from "../../wire/types.js";

const COLD_SLACK_MS = 400;
const { NO_REGION } = feeds;

interface Entry extends schema.Listed {
  readAt: types.SteadyMs;
}

/** Relative times in an entry are as of its reading; a coldness that only runs down is nothing new until it is over. */
function differs(before: Entry, item: schema.Instance, now: types.SteadyMs): boolean {
  const old = before.instance;
  if (old.service !== item.service || old.address !== item.address || old.zone !== item.zone) return true;
  if (old.isDraining !== item.isDraining || old.capacity !== item.capacity) return true;
  if (old.leavesMs < 0 !== item.leavesMs < 0 || (old.coldMs > 0 && item.coldMs === 0)) return true;
  return item.coldMs > Math.max(0, old.coldMs - (now - before.readAt)) + COLD_SLACK_MS;
}

/** The platform's list as keyed items. */
export class EndpointList {
  private readonly items = new keyed.Keyed();
  private readonly entries = new Map<types.RunnerId, Entry>();

  get digest(): types.Digest {
    return this.items.digest;
  }

  all(): schema.Instance[] {
    const all: schema.Instance[] = [];
    for (const { instance } of this.entries.values()) all.push(instance);
    return all;
  }

  /** The whole list as it was read: what is new of it is kept and returned. */
  replaceAll(list: readonly schema.Instance[], now: types.SteadyMs): keyed.Plan {
    const changes = new Map<string, Buffer | null>();
    const standing = new Set<string>();
    for (const item of list) {
      standing.add(item.id);
      const before = this.entries.get(item.id);
      if (!before || differs(before, item, now))
        changes.set(item.id, schema.listed.toBuffer({ times: (before?.times ?? 0) + 1, instance: item }));
    }
    for (const id of this.entries.keys()) if (!standing.has(id)) changes.set(id, null);
    const plan = this.items.plan(changes);
    this.apply(plan, now);
    return plan;
  }

  /** What a sibling told; null when it builds on other items or does not prove itself. */
  applyUpdate(change: schema.Change, now: types.SteadyMs): keyed.Plan | null {
    if (!change.isView && change.base !== this.items.digest) return null;
    const changes = keyed.unpack(change);
    const plan = change.isView ? this.items.planView(changes) : this.items.plan(changes);
    if (plan.digest !== change.digest) return null;
    this.apply(plan, now);
    return plan;
  }

  private apply(plan: keyed.Plan, now: types.SteadyMs): void {
    this.items.apply(plan);
    for (const id of plan.gone) this.entries.delete(types.small(id));
    for (const [id, body] of plan.changed) this.entries.set(types.small(id), { ...schema.listed.fromBuffer(body), readAt: now });
  }

  /** All of it, for a sibling that lacks it. */
  snapshot(): ReturnType<typeof keyed.pack> {
    return keyed.pack(this.items.bodies());
  }
}

/** The list divided by region: a topic each, and one for zones that the settings do not name. */
export class RegionalEndpoints {
  private readonly lists = new Map<string, Map<string, schema.Instance>>();
  private readonly regionOfId = new Map<string, string>();
  private isPublished = false;

  constructor(
    private readonly regionOfZone: ReadonlyMap<string, string>,
    private readonly feed: feeds.Feed,
  ) {
    for (const region of regionOfZone.values()) this.lists.set(region, new Map());
    this.lists.set(NO_REGION, new Map());
  }

  instancesOf(region: string): Iterable<schema.Instance> {
    return this.lists.get(region)?.values() ?? [];
  }

  applyChange(plan: keyed.Plan, stamp: types.Stamp): void {
    const changes = new Map<string, Map<string, Buffer | null>>();
    function amend(region: string, id: string, body: Buffer | null): void {
      const some = changes.get(region);
      if (some) some.set(id, body);
      else changes.set(region, new Map([[id, body]]));
    }
    // With the first list all regions are known, also those without an instance.
    if (!this.isPublished) for (const region of this.lists.keys()) changes.set(region, new Map());
    this.isPublished = true;
    for (const id of plan.gone) this.remove(id, amend);
    for (const [id, body] of plan.changed) {
      const { instance } = schema.listed.fromBuffer(body);
      const region = this.regionOfZone.get(instance.zone) ?? NO_REGION;
      if (this.regionOfId.get(id) !== region) this.remove(id, amend);
      this.regionOfId.set(id, region);
      this.lists.get(region)!.set(id, instance);
      amend(region, id, body);
    }
    for (const [region, some] of changes) this.feed.amend(feeds.listTopic(region), some, stamp);
  }

  private remove(id: string, amend: (region: string, id: string, body: null) => void): void {
    const region = this.regionOfId.get(id);
    if (region === undefined) return;
    this.regionOfId.delete(id);
    this.lists.get(region)!.delete(id);
    amend(region, id, null);
  }
}
