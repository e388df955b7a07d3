/**
 * The runners of one service in one cell, compared with each other by outlier detection: what most of them show is not the
 * fault of one (design/status 4, 5).
 */
import * as decayingSum from "./decaying-sum.js";
import type * as outlierState from "./outlier-state.js";

/** At most this fraction of a group is ejected, though one may always be, and never the last. */
const MAX_EJECTED_FRACTION = 1 / 3;
/** Above this fraction of failing runners the cause is taken to be elsewhere. */
const WIDESPREAD_FRACTION = 1 / 3;
const INITIAL_STEP = 0.5;
const MIN_STEP = 0.05;
const MIN_SAMPLES = 8;
/** After so long a failure counts half. */
export const SCORE_HALF_LIFE_MS = 1500;

/** What is timed: the first byte of a response, that of a stream, the gap between the chunks of a stream. */
export type WorkKind = "response" | "stream_start" | "gap";

/** A running median in the log domain: each sample moves it by one step, however far away it lies. */
class MedianEstimator {
  private log = 0;
  private step = INITIAL_STEP;
  private samples = 0;

  add(ms: number): void {
    const log = Math.log(Math.max(0.1, ms));
    if (this.samples === 0) this.log = log;
    else this.log += Math.sign(log - this.log) * this.step;
    this.step = Math.max(MIN_STEP, this.step * 0.9);
    this.samples += 1;
  }

  get ms(): number | null {
    return this.samples < MIN_SAMPLES ? null : Math.exp(this.log);
  }
}

/** How many routers there are, as counted for the leased limits. */
export interface RouterCount {
  routers: number;
}

/** The runners that one runner is compared with; times are milliseconds of the steady clock. */
export class PeerGroup {
  private readonly medians = new Map<string, MedianEstimator>();
  private readonly score = new decayingSum.DecayingSum(SCORE_HALF_LIFE_MS);
  private readonly sends = new decayingSum.DecayingSum(SCORE_HALF_LIFE_MS);
  private size = 0;
  private ejected = 0;
  private suspected = 0;

  constructor(private readonly routerCount: RouterCount = { routers: 1 }) {}

  /** Alike work is of one kind, and of one size by powers of two. */
  private medianOf(work: WorkKind, tokens: number): MedianEstimator {
    const key = `${work}${tokens > 0 ? Math.ceil(Math.log2(tokens)) : 0}`;
    let median = this.medians.get(key);
    if (!median) {
      median = new MedianEstimator();
      this.medians.set(key, median);
    }
    return median;
  }

  /** The median of alike work before this sample; null while little is known. */
  recordDuration(work: WorkKind, tokens: number, ms: number): number | null {
    const median = this.medianOf(work, tokens);
    const before = median.ms;
    median.add(ms);
    return before;
  }

  /** The median of alike work; null while little is known. */
  medianMs(work: WorkKind, tokens: number): number | null {
    return this.medianOf(work, tokens).ms;
  }

  join(state: outlierState.OutlierState): void {
    this.size += 1;
    this.count(state, 1);
  }

  leave(state: outlierState.OutlierState): void {
    this.size -= 1;
    this.count(state, -1);
  }

  recordTransition(from: outlierState.OutlierState, to: outlierState.OutlierState): void {
    this.count(from, -1);
    this.count(to, 1);
  }

  private count(state: outlierState.OutlierState, by: number): void {
    if (state === "ejected") this.ejected += by;
    if (state === "suspected") this.suspected += by;
  }

  addScore(weight: number, now: number): void {
    this.score.add(weight, now);
  }

  countSend(now: number): void {
    this.sends.add(1, now);
  }

  /** The estimated requests of all routers to one of the runners within a half-life, extrapolated from this router's own. */
  meanSends(now: number): number {
    return (this.sends.read(now) * this.routerCount.routers) / Math.max(1, this.size);
  }

  /** The mean score of the other runners; `own`: the score of the runner that asks. */
  meanPeerScore(own: number, now: number): number {
    return this.size < 2 ? 0 : Math.max(0, this.score.read(now) - own) / (this.size - 1);
  }

  /** Whether one more may be ejected. */
  canEject(): boolean {
    if (this.size < 2) return false;
    return this.ejected + 1 <= Math.max(1, Math.floor(this.size * MAX_EJECTED_FRACTION));
  }

  /** So many fail that the cause is not in the runners. */
  isWidespread(): boolean {
    return this.suspected + this.ejected > Math.max(1, this.size * WIDESPREAD_FRACTION);
  }
}

/** All peer groups of a router. */
export class PeerGroups implements RouterCount {
  routers = 1;
  private readonly groups = new Map<string, PeerGroup>();

  groupOf(service: string, region: string): PeerGroup {
    const key = `${service}|${region}`;
    let group = this.groups.get(key);
    if (!group) {
      group = new PeerGroup(this);
      this.groups.set(key, group);
    }
    return group;
  }
}
