/**
 * What a control node knows of the fleet, as batches need it (design/batch 6, 9): routes by the configuration in force,
 * capacities by the newest reports, and the work that lies ahead of a batch.
 */
import * as projection from "../../batch/projection.js";
import * as items from "../../batch/items.js";
import type * as capacityForecast from "../../batch/capacity-forecast.js";
import type * as submissions from "../../batch/submission.js";
import * as tables from "../../batch/table.js";
import * as pacing from "../../batch/pacing.js";
import * as configurationCheck from "../../config/configuration-check.js";
import * as routeTable from "../../config/route-table.js";
import type * as loads from "../../forecast/loads.js";
import * as registerValue from "../../register/register-value.js";
import type * as batchSchema from "../../wire/batch-schema.js";
import type * as schema from "../../wire/schema.js";
import type * as types from "../../wire/types.js";

/** Share of a common prefix that is typically cached where an item is sent. */
const CACHED_SHARE_OF_PREFIX = 0.8;
/** Before anything is known of a route: a slot is occupied for this share of its deadline. */
const DEFAULT_OCCUPANCY_SHARE = 0.25;
/** Weight of the newest item in the mean time that items of a batch occupy a slot. */
const OCCUPANCY_WEIGHT = 0.1;

/** What the view is made from. */
export interface BatchViewSources {
  /** The newest chosen value of the configuration's register. */
  configuration(): schema.Value | null;
  instances(): readonly schema.Instance[];
  reports(): readonly schema.CellReport[];
  regionOf(zone: string): string;
  readonly forecast: loads.LoadForecast;
}

interface Parsed {
  epoch: types.Epoch;
  routes: ReadonlyMap<string, configurationCheck.Route>;
}

/** Sizes of one item of a batch. */
export type ItemSizes = Pick<submissions.Outline, "route" | "shared_tokens" | "prompt_tokens" | "tokens_out" | "homes">;

/** One for each control node with batches on. */
export class BatchView {
  private parsed: Parsed | null = null;
  /** Mean milliseconds that items of a batch occupied a slot, by the batch's digest. */
  private readonly occupancyMs = new Map<string, number>();
  private readonly sizes = new Map<string, ItemSizes>();

  constructor(private readonly sources: BatchViewSources) {}

  /** The route in the configuration in force; null: there is none of that name. */
  routeOf(name: string): configurationCheck.Route | null {
    const value = this.sources.configuration();
    if (!value) return null;
    if (this.parsed?.epoch !== value.epoch) {
      const document = registerValue.unpack(value.config) as configurationCheck.Configuration | null;
      this.parsed = { epoch: value.epoch, routes: new Map(document?.routes.map((route) => [route.name, route])) };
    }
    return this.parsed.routes.get(name) ?? null;
  }

  /** The service of the greatest weight; null: there is no such route. */
  serviceOf(route: string): string | null {
    const found = this.routeOf(route);
    if (!found) return null;
    let best = { service: "", weight: -1 };
    for (const backend of configurationCheck.backendsOf(found)) if (backend.weight > best.weight) best = backend;
    return best.service;
  }

  /** Whether an item of the route may run more than once. */
  isRepeatable(route: configurationCheck.Route): boolean {
    return routeTable.isRepeatable(route);
  }

  /** The regions that both the batch and its route allow; null: all. */
  private allowedRegions(route: string, homes: readonly string[]): ReadonlySet<string> | null {
    const ofRoute = this.routeOf(route)?.allowed_regions ?? [];
    if (homes.length === 0) return ofRoute.length === 0 ? null : new Set(ofRoute);
    return new Set(ofRoute.length === 0 ? homes : homes.filter((home) => ofRoute.includes(home)));
  }

  /** The newest capacities of the service in the regions that the batch may run in; zones under evacuation have none. */
  capacitiesOf(batch: Pick<batchSchema.Batch, "route" | "homes">, service: string): capacityForecast.RegionCapacity[] {
    const allowed = this.allowedRegions(batch.route, batch.homes);
    return this.capacities(service).filter(({ region }) => !allowed || allowed.has(region));
  }

  private capacities(service: string): capacityForecast.RegionCapacity[] {
    const evacuated = new Set(this.sources.configuration()?.evacuations);
    const reporting = new Map<string, schema.Report>();
    for (const { reports } of this.sources.reports()) for (const report of reports) if (report.isSpeaking) reporting.set(report.id, report);
    const capacities = new Map<string, capacityForecast.RegionCapacity>();
    for (const instance of this.sources.instances()) {
      const report = reporting.get(instance.id);
      if (instance.service !== service || instance.isDraining || !report || evacuated.has(instance.zone)) continue;
      const region = this.sources.regionOf(instance.zone);
      const capacity = capacities.get(region) ?? { region, slots: 0, used: 0, waiting: 0, prefillTokensPerMs: 0, batchItems: 0 };
      capacity.slots += instance.capacity;
      capacity.used += report.active + report.waiting;
      capacity.waiting += report.waiting;
      capacity.prefillTokensPerMs += pacing.prefillTokensPerMs(1, this.sources.forecast.readRate);
      capacities.set(region, capacity);
    }
    return [...capacities.values()];
  }

  /** The capacities of a service in all regions, with the batch items in flight spread over them by their slots. */
  capacitiesWithBatches(service: string, table: batchSchema.BatchTable): capacityForecast.RegionCapacity[] {
    const capacities = this.capacities(service);
    let slots = 0;
    for (const capacity of capacities) slots += capacity.slots;
    let inFlight = 0;
    for (const open of tables.openBatches(table)) {
      if (this.serviceOf(open.route) === service) inFlight += items.tally(open.items).get("sent") ?? 0;
    }
    return capacities.map((capacity) => {
      const batchItems = Math.min(capacity.used, (inFlight * capacity.slots) / Math.max(1, slots));
      return { ...capacity, batchItems };
    });
  }

  /** An item of the batch is done: it occupied its slot for so long. */
  recordOccupancy(digest: string, ms: number): void {
    const previous = this.occupancyMs.get(digest);
    this.occupancyMs.set(digest, previous === undefined ? ms : previous + OCCUPANCY_WEIGHT * (ms - previous));
  }

  /** The sizes of a batch's items became known. */
  recordSizes(digest: string, sizes: ItemSizes): void {
    this.sizes.set(digest, sizes);
  }

  /** Tokens to prefill for an item of the batch; 0 where its sizes are not known yet. */
  prefillTokensOf(digest: string): number {
    const sizes = this.sizes.get(digest);
    return sizes ? prefillTokensOf(sizes) : 0;
  }

  /** Whether the sizes of the batch's items are known. */
  hasSizes(digest: string): boolean {
    return this.sizes.has(digest);
  }

  /** Forgets batches that the table does not name. */
  retainOnly(table: batchSchema.BatchTable): void {
    const digests = new Set(table.batches.map((batch) => batch.digest));
    for (const known of [this.occupancyMs, this.sizes]) for (const digest of known.keys()) if (!digests.has(digest)) known.delete(digest);
  }

  /** Milliseconds that a request of the route typically occupies a slot. */
  typicalOccupancyMs(route: string): number {
    const learned = this.sources.forecast.meansOf(route)?.heldMs ?? 0;
    return learned > 0 ? learned : DEFAULT_OCCUPANCY_SHARE * (this.routeOf(route)?.deadline_ms ?? 0);
  }

  /** Whether routers have reported how long requests of the route take. */
  hasRouteLoads(route: string): boolean {
    return (this.sources.forecast.meansOf(route)?.heldMs ?? 0) > 0;
  }

  /** This number of items of a batch of these sizes, as work of the projection. */
  workOf(sizes: ItemSizes, count: number, digest = ""): projection.BatchWork {
    const service = this.serviceOf(sizes.route) ?? "";
    const regions = new Set(this.capacitiesOf(sizes, service).map(({ region }) => region));
    return {
      count,
      occupancyMs: Math.max(1, this.occupancyMs.get(digest) ?? this.typicalOccupancyMs(sizes.route)),
      prefillTokens: prefillTokensOf(sizes),
      regions,
    };
  }

  /** The open batches of the service, in their order, as works; those before `number` if one is given. */
  workAhead(table: batchSchema.BatchTable, service: string, number = Infinity): projection.BatchWork[] {
    const works: projection.BatchWork[] = [];
    for (const batch of tables.openBatches(table)) {
      if (batch.number >= number || this.serviceOf(batch.route) !== service) continue;
      const counts = items.tally(batch.items);
      const left = (counts.get("waiting") ?? 0) + (counts.get("sent") ?? 0);
      const unknownSizes = { route: batch.route, homes: batch.homes, shared_tokens: 0, prompt_tokens: 0, tokens_out: 0 };
      works.push(this.workOf(this.sizes.get(batch.digest) ?? unknownSizes, left, batch.digest));
    }
    return works;
  }
}

function prefillTokensOf(sizes: ItemSizes): number {
  return sizes.prompt_tokens - CACHED_SHARE_OF_PREFIX * sizes.shared_tokens;
}
