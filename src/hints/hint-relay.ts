/**
 * The control node's side of hints (design/usage 2.3): those of its routers are forwarded to each other control node
 * once, and all to those of its routers that follow the runner's region; never back to the sender.
 */
import type * as link from "../wire/link.js";
import * as calls from "../wire/calls.js";
import * as schema from "../wire/schema.js";
import * as types from "../wire/types.js";
import * as log from "../runtime/log.js";
import * as hintBatch from "./hint-batch.js";
import * as runnerHash from "./runner-hash.js";
import * as throttle from "./throttle.js";

/** Rate of prefill hints to all routers of one control node together, and the bounds of the rate of one router. */
const TOTAL_BYTES_PER_S = 64_000;
const MIN_BYTES_PER_S = 600;
const MAX_BYTES_PER_S = 6000;
/** Size of a router's token bucket, in seconds of its rate. */
export const BURST_S = 3;

/** The bytes of prefill hints that each of so many routers may be sent a second. */
export function routerBytesPerS(routerCount: number): number {
  return Math.max(MIN_BYTES_PER_S, Math.min(MAX_BYTES_PER_S, TOTAL_BYTES_PER_S / Math.max(1, routerCount)));
}

type Peer = Pick<link.Link, "send" | "once">;

/** Where hints can be forwarded to; implemented by the control node's `FleetObserver`. */
export interface RelayTargets {
  /** Links to the other control nodes. */
  peers(): Iterable<Peer>;
  /** Own routers that follow the load of the region. */
  followersOf(region: string): Iterable<Peer>;
  /** How many routers follow this control node. */
  routerCount(): number;
}

interface PendingHints {
  from: Peer;
  isRelayed: boolean;
  batch: hintBatch.HintBatch;
}

interface TokenBucket {
  /** Bytes that may be sent, as of `at`. */
  bytes: number;
  at: number;
}

function addFrame(batch: hintBatch.HintBatch, frame: hintBatch.HintFrame): void {
  for (const runner of frame.silent) batch.addUnresponsive(runner);
  for (const prefill of frame.readings) batch.addPrefill(prefill);
}

/**
 * Collects hints and forwards them at most once a period. Hints of unresponsive runners are always forwarded, hints of
 * prefills within a token bucket a router.
 */
export class HintRelay {
  private readonly runnerHashes = new runnerHash.RunnerHashes<types.RunnerId>();
  private regions: ReadonlyMap<types.RunnerId, string> = new Map();
  private readonly pending = new Map<Peer, PendingHints>();
  private readonly buckets = new Map<Peer, TokenBucket>();
  private readonly throttle: throttle.Throttle;

  constructor(
    private readonly clock: types.Clock,
    private readonly targets: RelayTargets,
  ) {
    this.throttle = new throttle.Throttle(clock, () => this.flush());
  }

  /** Replaces the listed runners and their regions. */
  setRegions(regions: ReadonlyMap<types.RunnerId, string>): void {
    this.regions = regions;
    this.runnerHashes.replaceAll(regions.keys());
  }

  /** Hints have arrived by this link, from a router or from another control node. */
  receive(from: Peer, hints: schema.Hints): void {
    let pending = this.pending.get(from);
    if (!pending) {
      pending = { from, isRelayed: hints.isRelayed, batch: new hintBatch.HintBatch() };
      this.pending.set(from, pending);
    }
    for (const runner of hints.silent) pending.batch.addUnresponsive(runner);
    for (const prefill of hints.readings) pending.batch.addPrefill(prefill);
    this.throttle.request();
  }

  private flush(): void {
    const toPeers = new hintBatch.HintBatch();
    const toRouters = new Map<Peer, hintBatch.HintBatch>();
    for (const { from, isRelayed, batch } of this.pending.values()) {
      const frame = batch.drain();
      if (!isRelayed) addFrame(toPeers, frame);
      this.distribute(from, frame, toRouters);
    }
    this.pending.clear();
    if (!toPeers.isEmpty) {
      const frame = { isRelayed: true, ...toPeers.drain() };
      for (const peer of this.targets.peers()) peer.send(calls.hints, frame);
    }
    const perS = routerBytesPerS(this.targets.routerCount());
    for (const [router, batch] of toRouters) this.send(router, batch.drain(), perS);
  }

  /** Adds each hint to the batches of the routers that follow its runner's region, except for the sender. */
  private distribute(from: Peer, frame: hintBatch.HintFrame, toRouters: Map<Peer, hintBatch.HintBatch>): void {
    for (const runner of frame.silent) for (const batch of this.batchesFor(runner, from, toRouters)) batch.addUnresponsive(runner);
    for (const prefill of frame.readings) {
      for (const batch of this.batchesFor(prefill.runner, from, toRouters)) batch.addPrefill(prefill);
    }
  }

  private batchesFor(runner: number, from: Peer, toRouters: Map<Peer, hintBatch.HintBatch>): hintBatch.HintBatch[] {
    const found: hintBatch.HintBatch[] = [];
    const region = this.regions.get(this.runnerHashes.idOf(runner) ?? types.small(""));
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

  /** Sends all unresponsive runners, and of the prefills the newest that the router's token bucket allows. */
  private send(router: Peer, frame: hintBatch.HintFrame, perS: number): void {
    const bucket = this.bucketOf(router, perS);
    const prefills: schema.PrefillHint[] = [];
    for (const prefill of [...frame.readings].reverse()) {
      const bytes = hintBatch.maxBytesOf(prefill);
      if (bytes > bucket.bytes) break;
      bucket.bytes -= bytes;
      prefills.push(prefill);
    }
    if (prefills.length < frame.readings.length) log.count("signs.dropped", frame.readings.length - prefills.length);
    if (prefills.length === 0 && frame.silent.length === 0) return;
    log.count("signs.relayed");
    router.send(calls.hints, { isRelayed: true, silent: frame.silent, readings: prefills.reverse() });
  }

  private bucketOf(router: Peer, perS: number): TokenBucket {
    const maxBytes = perS * BURST_S;
    const now = this.clock.now();
    let bucket = this.buckets.get(router);
    if (!bucket) {
      bucket = { bytes: maxBytes, at: now };
      this.buckets.set(router, bucket);
      router.once("end", () => this.buckets.delete(router));
    }
    bucket.bytes = Math.min(maxBytes, bucket.bytes + ((now - bucket.at) * perS) / 1000);
    bucket.at = now;
    return bucket;
  }

  /** Cancels the timer: nothing is sent any more. */
  stop(): void {
    this.throttle.stop();
  }
}
