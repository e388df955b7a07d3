/**
 * The timing of one service, learned from its responses: time per requested token by fullness of the runner's batch,
 * occupancy of a slot, and the errors of predicted waits (design/admission 3). Initially everything is 0, which admits
 * all requests.
 */
import * as histograms from "./histogram.js";

/** Classes of batch fullness that token times are learned for. */
const FULLNESS_STEPS = 5;
const MEDIAN = 50;
const LOWER_QUARTILE = 25;
/** Steps of the histograms: microseconds for token times, hundredths for ratios. */
const TOKEN_TIME_SCALE = 1000;
const RATIO_SCALE = 100;
/** A predicted wait is taken as it is. */
const NEUTRAL_FACTOR = 1;
/** Wait factors by rank until waits were observed: less urgent requests will be overtaken (ours). */
const INITIAL_WAIT_FACTORS = [1, 1.25, 1.5] as const;
/** Wait factors are clamped: an error beyond these shows that the model does not apply. */
const MIN_WAIT_FACTOR = 0.05;
const MAX_WAIT_FACTOR = 20;
/** Shorter predicted waits are not recorded. */
export const MIN_WAIT_MS = 50;
/** This many waiting requests have to be overdue together (ours). */
const MIN_OVERDUE_REQUESTS = 3;
/** Waits that have to be recorded before their errors are used. */
const MIN_RECORDS = 20;
/** Caution rises with each missed deadline and falls with each one met: in balance, one in a hundred is missed (ours). */
const CAUTION_RISE = 1.1;
const CAUTION_DECAY = 0.999;
const MAX_CAUTION = 4;
const WAIT_PERCENTILES = [75, 90, 95] as const;

function fullnessStep(fullness: number): number {
  return Math.min(FULLNESS_STEPS - 1, Math.max(0, Math.floor(fullness * (FULLNESS_STEPS - 1))));
}

/** Ranks from 2 on are one class. */
function rankClassOf(rank: number): number {
  return Math.min(WAIT_PERCENTILES.length - 1, Math.max(0, Math.floor(rank)));
}

/** A request that was predicted to wait and has had no first event yet. */
export interface PendingWait {
  /** When its processing would have started without a wait. */
  readonly since: number;
  /** The predicted wait. */
  readonly waitMs: number;
}

/** Learned timing of one service at one router. All times are milliseconds. */
export class ServiceTimeModel {
  private readonly perTokenByFullness: (histograms.Histogram | null)[] = Array.from({ length: FULLNESS_STEPS }, () => null);
  private readonly occupancyTimes = new histograms.Histogram(1);
  /** Observed over predicted waits, by rank class: runners process more urgent requests first. */
  private readonly waitErrors = WAIT_PERCENTILES.map(() => new histograms.Histogram(RATIO_SCALE));
  /** What wait factors are multiplied by, by rank class; rises with missed deadlines. */
  private readonly caution = WAIT_PERCENTILES.map(() => 1);
  private readonly pendingWaits = WAIT_PERCENTILES.map(() => new Set<PendingWait>());

  /** The requests of this rank that still wait, the longest waiting first. */
  pendingWaitsOf(rank: number): Set<PendingWait> {
    return this.pendingWaits[rankClassOf(rank)];
  }

  /**
   * Elapsed over predicted wait of the requests that wait longest, the least of several, so that one unresponsive
   * runner is no evidence.
   */
  private overdueFactor(rank: number, now: number): number {
    let minRatio = Infinity;
    let count = 0;
    for (const { since, waitMs } of this.pendingWaitsOf(rank)) {
      minRatio = Math.min(minRatio, (now - since) / waitMs);
      count += 1;
      if (count === MIN_OVERDUE_REQUESTS) return Math.min(MAX_WAIT_FACTOR, minRatio);
    }
    return 0;
  }

  /** Records whether a request that had to wait was complete by its deadline. */
  recordOutcome(rank: number, isInTime: boolean): void {
    const rankClass = rankClassOf(rank);
    this.caution[rankClass] = Math.min(MAX_CAUTION, Math.max(1, this.caution[rankClass] * (isInTime ? CAUTION_DECAY : CAUTION_RISE)));
  }

  /** Records the milliseconds from the first event to the end of a response with at most `out` tokens. */
  recordTokens(fullness: number, out: number, ms: number): void {
    if (out < 1) return;
    const step = fullnessStep(fullness);
    const histogram = (this.perTokenByFullness[step] ??= new histograms.Histogram(TOKEN_TIME_SCALE));
    histogram.record(ms / out);
  }

  /** Records for how many milliseconds a request occupied its slot. */
  recordOccupancy(ms: number): void {
    this.occupancyTimes.record(ms);
  }

  /** Records a wait that is over, or has lasted this long already. */
  recordWait(rank: number, observedMs: number, predictedMs: number): void {
    if (predictedMs >= MIN_WAIT_MS) this.waitErrorOf(rank).record(Math.max(0, observedMs) / predictedMs);
  }

  /** Observed over predicted waits of this rank. */
  waitErrorOf(rank: number): histograms.Histogram {
    return this.waitErrors[rankClassOf(rank)];
  }

  /** Milliseconds per requested token; never less in a fuller batch. */
  tokenMs(fullness: number): number {
    let maxMs = 0;
    for (let step = fullnessStep(fullness); step >= 0; step -= 1)
      maxMs = Math.max(maxMs, this.perTokenByFullness[step]?.percentile(MEDIAN, 0) ?? 0);
    return maxMs;
  }

  /**
   * Milliseconds that a request occupies a slot: the median where tokens are produced, else the lower quartile, since
   * a wait cannot be distinguished from processing.
   */
  occupancyMs(hasTokens: boolean): number {
    return this.occupancyTimes.percentile(hasTokens ? MEDIAN : LOWER_QUARTILE, 0);
  }

  /** The median of observed over predicted waits; 1 until enough were recorded. */
  typicalWaitFactor(rank: number): number {
    return this.learnedFactor(rank, MEDIAN, NEUTRAL_FACTOR);
  }

  /** What a predicted wait is multiplied by for a decision: a higher percentile for less urgent ranks. */
  waitFactor(rank: number, now: number): number {
    const learned =
      this.caution[rankClassOf(rank)] *
      this.learnedFactor(rank, WAIT_PERCENTILES[rankClassOf(rank)], INITIAL_WAIT_FACTORS[rankClassOf(rank)]);
    return Math.max(learned, this.overdueFactor(rank, now));
  }

  private learnedFactor(rank: number, percent: number, initial: number): number {
    const error = this.waitErrorOf(rank);
    if (error.count < MIN_RECORDS) return initial;
    return Math.min(MAX_WAIT_FACTOR, Math.max(MIN_WAIT_FACTOR, error.percentile(percent, NEUTRAL_FACTOR)));
  }
}
