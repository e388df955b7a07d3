/** What became of the recent requests to one runner, as sums that lose half of themselves in each half-life (design/status 3). */
import * as decayingSum from "./decaying-sum.js";
import * as peerGroup from "./peer-group.js";

const RATE_HALF_LIFE_MS = 4000;

/** Failure rates as `status` shows them; rates are fractions of one. */
export interface OutcomeRates {
  failing: number;
  samples: number;
  slow: number;
  timed: number;
  score: number;
}

/** Sums over the outcomes at one runner; times are milliseconds of the steady clock. */
export class OutcomeStatistics {
  /** Weights of the failures seen by this router and reported by others, and of this router's own alone. */
  readonly score = new decayingSum.DecayingSum(peerGroup.SCORE_HALF_LIFE_MS);
  readonly ownScore = new decayingSum.DecayingSum(peerGroup.SCORE_HALF_LIFE_MS);
  /** This router's failures, out of its samples. */
  readonly failures = new decayingSum.DecayingSum(RATE_HALF_LIFE_MS);
  readonly samples = new decayingSum.DecayingSum(RATE_HALF_LIFE_MS);
  private readonly slowResponses = new decayingSum.DecayingSum(RATE_HALF_LIFE_MS);
  private readonly timedResponses = new decayingSum.DecayingSum(RATE_HALF_LIFE_MS);

  recordSuccess(now: number): void {
    this.samples.add(1, now);
  }

  recordFailure(weight: number, now: number): void {
    this.samples.add(1, now);
    this.failures.add(Math.min(1, weight), now);
    this.ownScore.add(weight, now);
  }

  recordTimed(now: number): void {
    this.timedResponses.add(1, now);
  }

  recordSlow(now: number): void {
    this.slowResponses.add(1, now);
  }

  /** For `status` and the log. */
  rates(now: number): OutcomeRates {
    const samples = this.samples.read(now);
    const timed = this.timedResponses.read(now);
    return {
      failing: roundToHundredths(samples > 0 ? this.failures.read(now) / samples : 0),
      samples: roundToHundredths(samples),
      slow: roundToHundredths(timed > 0 ? this.slowResponses.read(now) / timed : 0),
      timed: roundToHundredths(timed),
      score: roundToHundredths(this.score.read(now)),
    };
  }

  describe(now: number): string {
    const { failing, samples, score } = this.rates(now);
    return `failing ${failing} of ${samples}, score ${score}`;
  }
}

function roundToHundredths(value: number): number {
  return Math.round(value * 100) / 100;
}
