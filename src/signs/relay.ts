// The control node's side of signs (design/usage 2.3): what its routers tell goes to each sibling once, and
// from each control node to those of its routers that follow the runner's cell; never back where it came from.
import type * as link from "../wire/link.js";
import * as calls from "../wire/calls.js";
import * as schema from "../wire/schema.js";
import * as types from "../wire/types.js";
import * as log from "../startup/log.js";
import * as batches from "./batch.js";
import * as marks from "./marks.js";
import * as paces from "./pace.js";

/** What all routers of one control node are told of readings, bytes a second, and the bounds of one router's part (*ours*). */
const ALL_PER_S = 64_000;
const LEAST_PER_S = 600;
const MOST_PER_S = 6000;
/** So many seconds' part is told at once after a quiet while. */
export const BURST_S = 3;

export function bytesPerS(routers: number): number {
  return Math.max(LEAST_PER_S, Math.min(MOST_PER_S, ALL_PER_S / Math.max(1, routers)));
}

type Ear = Pick<link.Link, "tell" | "once">;

export interface Outlets {
  siblings(): Iterable<Ear>;
  /** Own routers that follow the region's cell. */
  followers(region: string): Iterable<Ear>;
  /** How many routers follow this control node. */
  routers(): number;
}

interface Heard {
  from: Ear;
  isRelayed: boolean;
  batch: batches.Batch;
}

interface Bucket {
  bytes: number;
  at: number;
}

export class Relay {
  private readonly marks = new marks.Marks<types.RunnerId>();
  private regions: ReadonlyMap<types.RunnerId, string> = new Map();
  private readonly heard = new Map<Ear, Heard>();
  private readonly buckets = new Map<Ear, Bucket>();
  private readonly pace: paces.Pace;

  constructor(
    private readonly world: types.World,
    private readonly outlets: Outlets,
  ) {
    this.pace = new paces.Pace(world, this.flush.bind(this));
  }

  /** The regions of the runners listed. */
  takeList(regions: ReadonlyMap<types.RunnerId, string>): void {
    this.regions = regions;
    this.marks.takeList(regions.keys());
  }

  hear(from: Ear, told: schema.Signs): void {
    let heard = this.heard.get(from);
    if (!heard) {
      heard = { from, isRelayed: told.isRelayed, batch: new batches.Batch() };
      this.heard.set(from, heard);
    }
    for (const mark of told.silent) heard.batch.addSilent(mark);
    for (const reading of told.readings) heard.batch.addReading(reading);
    this.pace.ask();
  }

  private flush(): void {
    const toSiblings = new batches.Batch();
    const toRouters = new Map<Ear, batches.Batch>();
    for (const { from, isRelayed, batch } of this.heard.values()) {
      const told = batch.take();
      if (!isRelayed) fill(toSiblings, told);
      this.spread(from, told, toRouters);
    }
    this.heard.clear();
    if (!toSiblings.isEmpty) {
      const told = { isRelayed: true, ...toSiblings.take() };
      for (const sibling of this.outlets.siblings()) sibling.tell(calls.signs, told);
    }
    const perS = bytesPerS(this.outlets.routers());
    for (const [router, batch] of toRouters) this.send(router, batch.take(), perS);
  }

  /** Each sign to the followers of its runner's cell, but not to the one it came from. */
  private spread(from: Ear, told: batches.Told, toRouters: Map<Ear, batches.Batch>): void {
    for (const mark of told.silent) for (const batch of this.batchesFor(mark, from, toRouters)) batch.addSilent(mark);
    for (const reading of told.readings) {
      for (const batch of this.batchesFor(reading.runner, from, toRouters)) batch.addReading(reading);
    }
  }

  private batchesFor(mark: number, from: Ear, toRouters: Map<Ear, batches.Batch>): batches.Batch[] {
    const found: batches.Batch[] = [];
    const region = this.regions.get(this.marks.idOf(mark) ?? types.small(""));
    if (region === undefined) {
      log.count("signs.unknown");
      return found;
    }
    for (const router of this.outlets.followers(region)) {
      if (router === from) continue;
      let batch = toRouters.get(router);
      if (!batch) {
        batch = new batches.Batch();
        toRouters.set(router, batch);
      }
      found.push(batch);
    }
    return found;
  }

  /** Silences always; of the readings the newest that the router's bytes allow. */
  private send(router: Ear, told: batches.Told, perS: number): void {
    const bucket = this.bucketOf(router, perS);
    const readings: schema.ReadingSign[] = [];
    for (const reading of [...told.readings].reverse()) {
      const bytes = batches.bytesOf(reading);
      if (bytes > bucket.bytes) break;
      bucket.bytes -= bytes;
      readings.push(reading);
    }
    if (readings.length < told.readings.length) log.count("signs.dropped", told.readings.length - readings.length);
    if (readings.length === 0 && told.silent.length === 0) return;
    log.count("signs.relayed");
    router.tell(calls.signs, { isRelayed: true, silent: told.silent, readings: readings.reverse() });
  }

  private bucketOf(router: Ear, perS: number): Bucket {
    const most = perS * BURST_S;
    const now = this.world.now();
    let bucket = this.buckets.get(router);
    if (!bucket) {
      bucket = { bytes: most, at: now };
      this.buckets.set(router, bucket);
      router.once("end", this.forget.bind(this, router));
    }
    bucket.bytes = Math.min(most, bucket.bytes + ((now - bucket.at) * perS) / 1000);
    bucket.at = now;
    return bucket;
  }

  private forget(router: Ear): void {
    this.buckets.delete(router);
  }

  stop(): void {
    this.pace.stop();
  }
}

function fill(batch: batches.Batch, told: batches.Told): void {
  for (const mark of told.silent) batch.addSilent(mark);
  for (const reading of told.readings) batch.addReading(reading);
}
