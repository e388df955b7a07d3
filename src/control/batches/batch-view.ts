/**
 * What a control node knows of the fleet, as batches need it (design/batch 6, 9): routes by the configuration in force,
 * rooms by the newest reports, and the work that lies before a batch.
 */
import * as projection from "../../batch/projection.js";
import * as items from "../../batch/items.js";
import type * as outlook from "../../batch/outlook.js";
import type * as submissions from "../../batch/submission.js";
import * as tables from "../../batch/table.js";
import * as trickle from "../../batch/trickle.js";
import * as check from "../../config/check.js";
import * as routes from "../../config/routes.js";
import type * as loads from "../../forecast/loads.js";
import * as registerValue from "../../register/register-value.js";
import type * as batchSchema from "../../wire/batch-schema.js";
import type * as schema from "../../wire/schema.js";
import type * as types from "../../wire/types.js";

/** Of a shared part so much is usually kept where an item is sent (*ours*). */
const SHARED_KEPT = 0.8;
/** Before anything is known of a route: a place is held for this part of its deadline (*ours*). */
const USUAL_HELD_SHARE = 0.25;
/** Weight of the newest item in the mean time that items of a batch hold a place (*ours*). */
const HELD_WEIGHT = 0.1;

/** What the view is made from. */
export interface Sources {
  /** The newest chosen value of the configuration's register. */
  configuration(): schema.Value | null;
  instances(): readonly schema.Instance[];
  reports(): readonly schema.CellReport[];
  regionOf(zone: string): string;
  readonly forecast: loads.LoadForecast;
}

interface Parsed {
  epoch: types.Epoch;
  routes: ReadonlyMap<string, check.Route>;
}

/** Sizes of one item of a batch. */
export type Sizes = Pick<submissions.Outline, "route" | "shared_tokens" | "prompt_tokens" | "tokens_out" | "homes">;

/** One for each control node with batches on. */
export class BatchView {
  private parsed: Parsed | null = null;
  /** Mean milliseconds that items of a batch held a place, by its digest. */
  private readonly heldMs = new Map<string, number>();
  private readonly sizes = new Map<string, Sizes>();

  constructor(private readonly from: Sources) {}

  routeOf(name: string): check.Route | null {
    const value = this.from.configuration();
    if (!value) return null;
    if (this.parsed?.epoch !== value.epoch) {
      const document = registerValue.unpack(value.config) as check.Configuration | null;
      this.parsed = { epoch: value.epoch, routes: new Map(document?.routes.map((route) => [route.name, route])) };
    }
    return this.parsed.routes.get(name) ?? null;
  }

  /** The service of the greatest weight; null: there is no such route. */
  serviceOf(route: string): string | null {
    const found = this.routeOf(route);
    if (!found) return null;
    let best = { service: "", weight: -1 };
    for (const backend of check.backendsOf(found)) if (backend.weight > best.weight) best = backend;
    return best.service;
  }

  /** Whether an item of the route may run more than once. */
  isRepeatable(route: check.Route): boolean {
    return routes.isRepeatable(route);
  }

  /** The regions that both the batch and its route allow; null: all. */
  private allowed(route: string, homes: readonly string[]): ReadonlySet<string> | null {
    const ofRoute = this.routeOf(route)?.allowed_regions ?? [];
    if (homes.length === 0) return ofRoute.length === 0 ? null : new Set(ofRoute);
    return new Set(ofRoute.length === 0 ? homes : homes.filter((home) => ofRoute.includes(home)));
  }

  /** The newest rooms of the service in the regions that the batch may run in; zones under evacuation have none. */
  roomsOf(batch: Pick<batchSchema.Batch, "route" | "homes">, service: string): outlook.Room[] {
    const allowed = this.allowed(batch.route, batch.homes);
    return this.rooms(service).filter((room) => !allowed || allowed.has(room.region));
  }

  private rooms(service: string): outlook.Room[] {
    const evacuated = new Set(this.from.configuration()?.evacuations);
    const speaking = new Map<string, schema.Report>();
    for (const { reports } of this.from.reports()) for (const report of reports) if (report.isSpeaking) speaking.set(report.id, report);
    const rooms = new Map<string, outlook.Room>();
    for (const instance of this.from.instances()) {
      const report = speaking.get(instance.id);
      if (instance.service !== service || instance.isDraining || !report || evacuated.has(instance.zone)) continue;
      const region = this.from.regionOf(instance.zone);
      const room = rooms.get(region) ?? { region, places: 0, used: 0, waiting: 0, readPerMs: 0, batchItems: 0 };
      room.places += instance.capacity;
      room.used += report.active + report.waiting;
      room.waiting += report.waiting;
      room.readPerMs += trickle.readPerMs(1, this.from.forecast.readRate);
      rooms.set(region, room);
    }
    return [...rooms.values()];
  }

  /** The rooms of a service in all regions, with the batch items that are at work spread over them by their places. */
  roomsWithBatches(service: string, table: batchSchema.BatchTable): outlook.Room[] {
    const rooms = this.rooms(service);
    let places = 0;
    for (const room of rooms) places += room.places;
    let atWork = 0;
    for (const open of tables.openBatches(table)) {
      if (this.serviceOf(open.route) === service) atWork += items.tally(open.items).get("sent") ?? 0;
    }
    return rooms.map((room) => ({ ...room, batchItems: Math.min(room.used, (atWork * room.places) / Math.max(1, places)) }));
  }

  /** An item of the batch was done: its place was held for so long. */
  learnHeld(digest: string, ms: number): void {
    const before = this.heldMs.get(digest);
    this.heldMs.set(digest, before === undefined ? ms : before + HELD_WEIGHT * (ms - before));
  }

  learnSizes(digest: string, sizes: Sizes): void {
    this.sizes.set(digest, sizes);
  }

  /** Tokens of a prompt that are read for an item of the batch; 0 where its sizes are not known yet. */
  unreadOf(digest: string): number {
    const sizes = this.sizes.get(digest);
    return sizes ? unreadOf(sizes) : 0;
  }

  knowsSizes(digest: string): boolean {
    return this.sizes.has(digest);
  }

  /** Forgets batches that the table does not name. */
  retainOnly(table: batchSchema.BatchTable): void {
    const digests = new Set(table.batches.map((batch) => batch.digest));
    for (const known of [this.heldMs, this.sizes]) for (const digest of known.keys()) if (!digests.has(digest)) known.delete(digest);
  }

  /** Milliseconds that a request of the route usually holds a place. */
  usualHeldMs(route: string): number {
    const learned = this.from.forecast.meansOf(route)?.heldMs ?? 0;
    return learned > 0 ? learned : USUAL_HELD_SHARE * (this.routeOf(route)?.deadline_ms ?? 0);
  }

  /** Whether routers have told what a request of the route takes. */
  knowsRoute(route: string): boolean {
    return (this.from.forecast.meansOf(route)?.heldMs ?? 0) > 0;
  }

  /** So many items of a batch of these sizes, as work of the projection. */
  workOf(sizes: Sizes, count: number, digest = ""): projection.Work {
    const service = this.serviceOf(sizes.route) ?? "";
    const regions = new Set(this.roomsOf(sizes, service).map((room) => room.region));
    return { count, heldMs: Math.max(1, this.heldMs.get(digest) ?? this.usualHeldMs(sizes.route)), unread: unreadOf(sizes), regions };
  }

  /** The open batches of the service, in their order, as works; those before `number` if one is given. */
  worksBefore(table: batchSchema.BatchTable, service: string, number = Infinity): projection.Work[] {
    const works: projection.Work[] = [];
    for (const batch of tables.openBatches(table)) {
      if (batch.number >= number || this.serviceOf(batch.route) !== service) continue;
      const counts = items.tally(batch.items);
      const left = (counts.get("waiting") ?? 0) + (counts.get("sent") ?? 0);
      const plain = { route: batch.route, homes: batch.homes, shared_tokens: 0, prompt_tokens: 0, tokens_out: 0 };
      works.push(this.workOf(this.sizes.get(batch.digest) ?? plain, left, batch.digest));
    }
    return works;
  }
}

function unreadOf(sizes: Sizes): number {
  return sizes.prompt_tokens - SHARED_KEPT * sizes.shared_tokens;
}
