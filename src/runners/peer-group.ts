// The runners of one service in one cell, compared with each other: what most of them show is no fault of one
// (design/status 4, 5).
import * as decayingSum from "./decaying-sum.js";
import type * as outlierState from "./outlier-state.js";

/** At most this part of a cohort is ejected by outcomes, and never the last one. */
const MAX_EJECTED = 1 / 3;
/** Above this part the cause is taken to be elsewhere. */
const BROAD = 1 / 3;
const FIRST_STEP = 0.5;
const MIN_STEP = 0.05;
const MIN_SAMPLES = 8;
/** What was seen counts half after so long. */
export const HALF_LIFE_MS = 1500;

/** What is timed: a whole reply, the begin of a stream, a pause in it. */
export type WorkKind = "reply" | "start" | "gap";

/** A running median in the log domain: each sample moves it by one step, however far away it lies. */
class Median {
  private log = 0;
  private step = FIRST_STEP;
  private samples = 0;

  take(ms: number): void {
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
export interface Scale {
  routers: number;
}

/** The runners that one runner is compared with. */
export class PeerGroup {
  private readonly medians = new Map<string, Median>();
  private readonly score = new decayingSum.DecayingSum(HALF_LIFE_MS);
  private readonly sent = new decayingSum.DecayingSum(HALF_LIFE_MS);
  private size = 0;
  private ejected = 0;
  private suspected = 0;

  constructor(private readonly scale: Scale = { routers: 1 }) {}

  /** Alike work: its kind, and its size by powers of two. */
  private medianOf(work: WorkKind, tokens: number): Median {
    const key = `${work}${tokens > 0 ? Math.ceil(Math.log2(tokens)) : 0}`;
    let median = this.medians.get(key);
    if (!median) {
      median = new Median();
      this.medians.set(key, median);
    }
    return median;
  }

  /** The median of alike work before this sample; null while little is known. */
  take(work: WorkKind, tokens: number, ms: number): number | null {
    const median = this.medianOf(work, tokens);
    const before = median.ms;
    median.take(ms);
    return before;
  }

  usualMs(work: WorkKind, tokens: number): number | null {
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

  moved(from: outlierState.OutlierState, to: outlierState.OutlierState): void {
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
    this.sent.add(1, now);
  }

  /** Sends of all routers to one of the runners within a half-life or so, as this router's own sends tell. */
  meanSends(now: number): number {
    return (this.sent.read(now) * this.scale.routers) / Math.max(1, this.size);
  }

  /** The mean score of the others. */
  othersScore(own: number, now: number): number {
    return this.size < 2 ? 0 : Math.max(0, this.score.read(now) - own) / (this.size - 1);
  }

  mayEject(): boolean {
    if (this.size < 2) return false;
    return this.ejected + 1 <= Math.max(1, Math.floor(this.size * MAX_EJECTED));
  }

  /** So many look bad that the cause is not in them. */
  isBroad(): boolean {
    return this.suspected + this.ejected > Math.max(1, this.size * BROAD);
  }
}

/** All cohorts of a router. */
export class PeerGroups implements Scale {
  routers = 1;
  private readonly cohorts = new Map<string, PeerGroup>();

  of(service: string, region: string): PeerGroup {
    const key = `${service}|${region}`;
    let cohort = this.cohorts.get(key);
    if (!cohort) {
      cohort = new PeerGroup(this);
      this.cohorts.set(key, cohort);
    }
    return cohort;
  }
}
