// The runners of one service in one cell, compared with each other: what most of them show is no fault of one
// (design/status 4, 5).
import * as decayingSum from "./decaying-sum.js";
import type * as outlierState from "./outlier-state.js";

/** At most this part of a cohort is ejected by outcomes, and never the last one. */
const MAX_EJECTED_FRACTION = 1 / 3;
/** Above this part the cause is taken to be elsewhere. */
const WIDESPREAD_FRACTION = 1 / 3;
const INITIAL_STEP = 0.5;
const MIN_STEP = 0.05;
const MIN_SAMPLES = 8;
/** What was seen counts half after so long. */
export const SCORE_HALF_LIFE_MS = 1500;

/** What is timed: a whole reply, the begin of a stream, a pause in it. */
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

/** How many routers there are; as the shares were dealt. */
export interface RouterCount {
  routers: number;
}

/** The runners that one runner is compared with. */
export class PeerGroup {
  private readonly medians = new Map<string, MedianEstimator>();
  private readonly score = new decayingSum.DecayingSum(SCORE_HALF_LIFE_MS);
  private readonly sends = new decayingSum.DecayingSum(SCORE_HALF_LIFE_MS);
  private size = 0;
  private ejected = 0;
  private suspected = 0;

  constructor(private readonly routerCount: RouterCount = { routers: 1 }) {}

  /** Alike work: its kind, and its size by powers of two. */
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

  /** Sends of all routers to one of the runners within a half-life or so, as this router's own sends tell. */
  meanSends(now: number): number {
    return (this.sends.read(now) * this.routerCount.routers) / Math.max(1, this.size);
  }

  /** The mean score of the others. */
  meanPeerScore(own: number, now: number): number {
    return this.size < 2 ? 0 : Math.max(0, this.score.read(now) - own) / (this.size - 1);
  }

  canEject(): boolean {
    if (this.size < 2) return false;
    return this.ejected + 1 <= Math.max(1, Math.floor(this.size * MAX_EJECTED_FRACTION));
  }

  /** So many look bad that the cause is not in them. */
  isWidespread(): boolean {
    return this.suspected + this.ejected > Math.max(1, this.size * WIDESPREAD_FRACTION);
  }
}

/** All cohorts of a router. */
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
