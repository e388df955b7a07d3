/**
 * What the responses of one service teach: time per requested token by fullness of the batch, how long a place is
 * held, and how far predicted waits were off (design/admission 3). Nothing is known at first, which admits all.
 */
import * as histograms from "./histogram.js";

/** Classes of batch fullness that token times are learned for. */
const FULLNESS_STEPS = 5;
const MEDIAN = 50;
const LOWER_QUARTILE = 25;
/** Steps of the histograms: microseconds for token times, hundredths for ratios. */
const TOKEN_TIME_SCALE = 1000;
const RATIO_SCALE = 100;
/** Beyond these an error says that the model does not hold, not that all must be denied or let in. */
const NEUTRAL_FACTOR = 1;
/** Before anything waited, by rank: the less urgent will be overtaken (ours). */
const INITIAL_WAIT_FACTORS = [1, 1.25, 1.5] as const;
const MIN_WAIT_FACTOR = 0.05;
const MAX_WAIT_FACTOR = 20;
/** Shorter waits teach nothing of waits. */
export const MIN_WAIT_MS = 50;
/** So many waiting requests have to be overdue together (ours). */
const MIN_OVERDUE_REQUESTS = 3;
/** Fewer waits than these say nothing of waits. */
const MIN_RECORDS = 20;
/** One too late weighs as much as so many in time: caution settles where one in a hundred is too late (ours). */
const MORE_CAUTION = 1.1;
const LESS_CAUTION = 0.999;
const MAX_CAUTION = 4;
const WAIT_PERCENTILES = [75, 90, 95] as const;

function stepOf(fullness: number): number {
  return Math.min(FULLNESS_STEPS - 1, Math.max(0, Math.floor(fullness * (FULLNESS_STEPS - 1))));
}

/** A request that was predicted to wait, and has not had its first event yet. */
export interface PendingWait {
  /** When it would have begun to be worked on, had it not waited. */
  readonly since: number;
  /** The predicted wait. */
  readonly waitMs: number;
}

/** Learned timing of one service at one router. All times are milliseconds. */
export class ServiceTimeModel {
  private readonly perTokenByFullness: (histograms.Histogram | null)[] = Array.from({ length: FULLNESS_STEPS }, none);
  private readonly holdTimes = new histograms.Histogram(1);
  /** Wait seen / wait predicted, by rank: runners let the more urgent in first. */
  private readonly waitErrors = WAIT_PERCENTILES.map(newHistogram);

  private readonly caution = WAIT_PERCENTILES.map(one);

  /** Those that still wait, by rank, the longest waiting first. */
  readonly pendingWaits = WAIT_PERCENTILES.map(newSet);

  /** The requests of this rank that still wait, the longest waiting first. */
  pendingWaitsOf(rank: number): Set<PendingWait> {
    return this.pendingWaits[rankClassOf(rank)];
  }

  /** What the longest waiting have waited already, over what was predicted: all of them, so that one silent runner is no proof. */
  private overdueFactor(rank: number, now: number): number {
    let least = Infinity;
    let seen = 0;
    for (const { since, waitMs } of this.pendingWaitsOf(rank)) {
      least = Math.min(least, (now - since) / waitMs);
      seen += 1;
      if (seen === MIN_OVERDUE_REQUESTS) return Math.min(MAX_WAIT_FACTOR, least);
    }
    return 0;
  }

  /** Whether one that had to wait was done by its deadline. */
  recordOutcome(rank: number, isInTime: boolean): void {
    const at = rankClassOf(rank);
    this.caution[at] = Math.min(MAX_CAUTION, Math.max(1, this.caution[at] * (isInTime ? LESS_CAUTION : MORE_CAUTION)));
  }

  /** From the first event to the end, over the tokens asked for at most. */
  recordTokens(fullness: number, out: number, ms: number): void {
    if (out < 1) return;
    const step = stepOf(fullness);
    const histogram = (this.perTokenByFullness[step] ??= new histograms.Histogram(TOKEN_TIME_SCALE));
    histogram.record(ms / out);
  }

  /** How long one place was taken, in milliseconds. */
  recordOccupancy(ms: number): void {
    this.holdTimes.record(ms);
  }

  /** A wait is over, or has lasted so long already. */
  recordWait(rank: number, seenMs: number, predictedMs: number): void {
    if (predictedMs >= MIN_WAIT_MS) this.waitErrorOf(rank).record(Math.max(0, seenMs) / predictedMs);
  }

  /** Waits seen over waits predicted, for this rank. */
  waitErrorOf(rank: number): histograms.Histogram {
    return this.waitErrors[rankClassOf(rank)];
  }

  /** Milliseconds per asked token; never less in a fuller batch. */
  tokenMs(fullness: number): number {
    let most = 0;
    for (let step = stepOf(fullness); step >= 0; step -= 1)
      most = Math.max(most, this.perTokenByFullness[step]?.percentile(MEDIAN, 0) ?? 0);
    return most;
  }

  /**
   * Milliseconds a place is taken: the median for batches, the lower quartile where waiting cannot be told from work.
   */
  occupancyMs(hasTokens: boolean): number {
    return this.holdTimes.percentile(hasTokens ? MEDIAN : LOWER_QUARTILE, 0);
  }

  /** What a wait usually takes of what was predicted; 1 until enough was learned. */
  typicalWaitFactor(rank: number): number {
    return this.learnedFactor(rank, MEDIAN, NEUTRAL_FACTOR);
  }

  /** What a predicted wait is multiplied by to be judged: the less urgent the rank, the surer it must be. */
  waitFactor(rank: number, now: number): number {
    const learned =
      this.caution[rankClassOf(rank)] *
      this.learnedFactor(rank, WAIT_PERCENTILES[rankClassOf(rank)], INITIAL_WAIT_FACTORS[rankClassOf(rank)]);
    return Math.max(learned, this.overdueFactor(rank, now));
  }

  private learnedFactor(rank: number, percent: number, first: number): number {
    const error = this.waitErrorOf(rank);
    if (error.count < MIN_RECORDS) return first;
    return Math.min(MAX_WAIT_FACTOR, Math.max(MIN_WAIT_FACTOR, error.percentile(percent, NEUTRAL_FACTOR)));
  }
}

/** Ranks from 2 on are one class. */
function rankClassOf(rank: number): number {
  return Math.min(WAIT_PERCENTILES.length - 1, Math.max(0, Math.floor(rank)));
}

function newHistogram(): histograms.Histogram {
  return new histograms.Histogram(RATIO_SCALE);
}

function newSet(): Set<PendingWait> {
  return new Set();
}

function one(): number {
  return 1;
}

function none(): null {
  return null;
}
