/**
 * The control node's side of signs (design/usage 2.3): what its routers send goes to each other control node once,
 * and from each control node to those of its routers that follow the runner's cell; never back where it came from.
 */
import type * as link from "../wire/link.js";
import * as calls from "../wire/calls.js";
import * as schema from "../wire/schema.js";
import * as types from "../wire/types.js";
import * as log from "../runtime/log.js";
import * as hintBatch from "./hint-batch.js";
import * as runnerHash from "./runner-hash.js";
import * as throttle from "./throttle.js";

/** What all routers of one control node are told of readings, bytes a second, and the bounds of one router's part (*ours*). */
const TOTAL_BYTES_PER_S = 64_000;
const MIN_BYTES_PER_S = 600;
const MAX_BYTES_PER_S = 6000;
/** So many seconds' part is told at once after a quiet while. */
export const BURST_S = 3;

/** The bytes a second that one of so many routers may be sent of readings. */
export function routerBytesPerS(routers: number): number {
  return Math.max(MIN_BYTES_PER_S, Math.min(MAX_BYTES_PER_S, TOTAL_BYTES_PER_S / Math.max(1, routers)));
}

type Peer = Pick<link.Link, "send" | "once">;

/** Where signs can go; the control node's `Cells` is it. */
export interface RelayTargets {
  /** Links to the other control nodes. */
  peers(): Iterable<Peer>;
  /** Own routers that follow the region's cell. */
  followersOf(region: string): Iterable<Peer>;
  /** How many routers follow this control node. */
  routerCount(): number;
}

interface PendingSigns {
  from: Peer;
  isRelayed: boolean;
  batch: hintBatch.HintBatch;
}

interface TokenBucket {
  bytes: number;
  at: number;
}

/**
 * Gathers signs and passes them on at most once a period. Signs of silence always go; readings within a token bucket
 * per router.
 */
export class HintRelay {
  private readonly runnerHashes = new runnerHash.RunnerHashes<types.RunnerId>();
  private regions: ReadonlyMap<types.RunnerId, string> = new Map();
  private readonly pending = new Map<Peer, PendingSigns>();
  private readonly buckets = new Map<Peer, TokenBucket>();
  private readonly throttle: throttle.Throttle;

  constructor(
    private readonly clock: types.Clock,
    private readonly targets: RelayTargets,
  ) {
    this.throttle = new throttle.Throttle(clock, this.flush.bind(this));
  }

  /** The regions of the runners listed. */
  setRegions(regions: ReadonlyMap<types.RunnerId, string>): void {
    this.regions = regions;
    this.runnerHashes.replaceAll(regions.keys());
  }

  /** Signs came by this link, from a router or from another control node. */
  receive(from: Peer, signs: schema.Signs): void {
    let pending = this.pending.get(from);
    if (!pending) {
      pending = { from, isRelayed: signs.isRelayed, batch: new hintBatch.HintBatch() };
      this.pending.set(from, pending);
    }
    for (const mark of signs.silent) pending.batch.addUnresponsive(mark);
    for (const reading of signs.readings) pending.batch.addPrefill(reading);
    this.throttle.request();
  }

  private flush(): void {
    const toPeers = new hintBatch.HintBatch();
    const toRouters = new Map<Peer, hintBatch.HintBatch>();
    for (const { from, isRelayed, batch } of this.pending.values()) {
      const frame = batch.drain();
      if (!isRelayed) fill(toPeers, frame);
      this.distribute(from, frame, toRouters);
    }
    this.pending.clear();
    if (!toPeers.isEmpty) {
      const frame = { isRelayed: true, ...toPeers.drain() };
      for (const peer of this.targets.peers()) peer.send(calls.signs, frame);
    }
    const perS = routerBytesPerS(this.targets.routerCount());
    for (const [router, batch] of toRouters) this.send(router, batch.drain(), perS);
  }

  /** Each sign to the followers of its runner's cell, but not to the one it came from. */
  private distribute(from: Peer, frame: hintBatch.HintFrame, toRouters: Map<Peer, hintBatch.HintBatch>): void {
    for (const mark of frame.silent) for (const batch of this.batchesFor(mark, from, toRouters)) batch.addUnresponsive(mark);
    for (const reading of frame.readings) {
      for (const batch of this.batchesFor(reading.runner, from, toRouters)) batch.addPrefill(reading);
    }
  }

  private batchesFor(mark: number, from: Peer, toRouters: Map<Peer, hintBatch.HintBatch>): hintBatch.HintBatch[] {
    const found: hintBatch.HintBatch[] = [];
    const region = this.regions.get(this.runnerHashes.idOf(mark) ?? types.small(""));
    if (region === undefined) {
      log.count("signs.unknown");
      return found;
    }
    for (const router of this.targets.followersOf(region)) {
      if (router === from) continue;
      let batch = toRouters.get(router);
      if (!batch) {
        batch = new hintBatch.HintBatch();
        toRouters.set(router, batch);
      }
      found.push(batch);
    }
    return found;
  }

  /** Silences always; of the readings the newest that the router's bytes allow. */
  private send(router: Peer, frame: hintBatch.HintFrame, perS: number): void {
    const bucket = this.bucketOf(router, perS);
    const readings: schema.ReadingSign[] = [];
    for (const reading of [...frame.readings].reverse()) {
      const bytes = hintBatch.maxBytesOf(reading);
      if (bytes > bucket.bytes) break;
      bucket.bytes -= bytes;
      readings.push(reading);
    }
    if (readings.length < frame.readings.length) log.count("signs.dropped", frame.readings.length - readings.length);
    if (readings.length === 0 && frame.silent.length === 0) return;
    log.count("signs.relayed");
    router.send(calls.signs, { isRelayed: true, silent: frame.silent, readings: readings.reverse() });
  }

  private bucketOf(router: Peer, perS: number): TokenBucket {
    const most = perS * BURST_S;
    const now = this.clock.now();
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

  private forget(router: Peer): void {
    this.buckets.delete(router);
  }

  /** Nothing is sent any more. */
  stop(): void {
    this.throttle.stop();
  }
}

function fill(batch: hintBatch.HintBatch, frame: hintBatch.HintFrame): void {
  for (const mark of frame.silent) batch.addUnresponsive(mark);
  for (const reading of frame.readings) batch.addPrefill(reading);
}
