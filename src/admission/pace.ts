// What the replies of one service teach: time per asked token by fullness of the batch, how long a place is
// held, and how far predictions were off (design/admission 3). Nothing is known at first, which admits all.
import * as spreads from "./spread.js";

const STEPS = 5;
const MIDDLE = 50;
const LOWER = 25;
const MICRO = 1000;
const PERCENT = 100;
/** Beyond these an error says that the model does not hold, not that all must be denied or let in. */
const NO_MARGIN = 1;
/** Before anything waited, by rank: the less urgent will be overtaken (ours). */
const FIRST_MARGIN = [1, 1.25, 1.5] as const;
const LEAST_MARGIN = 0.05;
const MOST_MARGIN = 20;
/** Shorter waits teach nothing of waits. */
export const LEAST_WAIT_MS = 50;
/** So many waiting requests have to be overdue together (ours). */
const WITNESSES = 3;
const LEAST_RECORDS = 20;
/** One too late weighs as much as so many in time: caution settles where one in a hundred is too late (ours). */
const MORE_CAUTION = 1.1;
const LESS_CAUTION = 0.999;
const MOST_CAUTION = 4;
const MARGIN_AT = [75, 90, 95] as const;

function stepOf(fullness: number): number {
  return Math.min(STEPS - 1, Math.max(0, Math.floor(fullness * (STEPS - 1))));
}

export interface Open {
  /** When it would have begun to be worked on, had it not waited. */
  readonly since: number;
  readonly waitMs: number;
}

export class Pace {
  private readonly perToken: (spreads.Spread | null)[] = Array.from({ length: STEPS }, none);
  private readonly held = new spreads.Spread(1);
  /** Wait seen / wait predicted, by rank: runners let the more urgent in first. */
  private readonly errors = MARGIN_AT.map(newSpread);

  private readonly caution = MARGIN_AT.map(one);

  /** Those that still wait, by rank, the longest waiting first. */
  readonly open = MARGIN_AT.map(newSet);

  openOf(rank: number): Set<Open> {
    return this.open[classOf(rank)];
  }

  /** What the longest waiting have waited already, over what was predicted: all of them, so that one silent runner is no proof. */
  private overdue(rank: number, now: number): number {
    let least = Infinity;
    let seen = 0;
    for (const { since, waitMs } of this.openOf(rank)) {
      least = Math.min(least, (now - since) / waitMs);
      seen += 1;
      if (seen === WITNESSES) return Math.min(MOST_MARGIN, least);
    }
    return 0;
  }

  /** Whether one that had to wait was done by its deadline. */
  learnOutcome(rank: number, isInTime: boolean): void {
    const at = classOf(rank);
    this.caution[at] = Math.min(MOST_CAUTION, Math.max(1, this.caution[at] * (isInTime ? LESS_CAUTION : MORE_CAUTION)));
  }

  /** From the first event to the end, over the tokens asked for at most. */
  learnTokens(fullness: number, out: number, ms: number): void {
    if (out < 1) return;
    const step = stepOf(fullness);
    const spread = (this.perToken[step] ??= new spreads.Spread(MICRO));
    spread.record(ms / out);
  }

  /** How long one place was taken. */
  learnHeld(ms: number): void {
    this.held.record(ms);
  }

  learnWait(rank: number, seenMs: number, predictedMs: number): void {
    if (predictedMs >= LEAST_WAIT_MS) this.errorOf(rank).record(Math.max(0, seenMs) / predictedMs);
  }

  errorOf(rank: number): spreads.Spread {
    return this.errors[classOf(rank)];
  }

  /** Milliseconds per asked token; never less in a fuller batch. */
  tokenMs(fullness: number): number {
    let most = 0;
    for (let step = stepOf(fullness); step >= 0; step -= 1) most = Math.max(most, this.perToken[step]?.at(MIDDLE, 0) ?? 0);
    return most;
  }

  /** Milliseconds a place is taken: the middle for batches, the lower side where waiting cannot be told from work. */
  heldMs(hasTokens: boolean): number {
    return this.held.at(hasTokens ? MIDDLE : LOWER, 0);
  }

  /** What a wait usually takes of what was predicted. */
  usualWait(rank: number): number {
    return this.factor(rank, MIDDLE, NO_MARGIN);
  }

  /** What a wait is multiplied by to be judged: the less urgent the rank, the surer it must be. */
  margin(rank: number, now: number): number {
    const learned = this.caution[classOf(rank)] * this.factor(rank, MARGIN_AT[classOf(rank)], FIRST_MARGIN[classOf(rank)]);
    return Math.max(learned, this.overdue(rank, now));
  }

  private factor(rank: number, percent: number, first: number): number {
    const error = this.errorOf(rank);
    if (error.count < LEAST_RECORDS) return first;
    return Math.min(MOST_MARGIN, Math.max(LEAST_MARGIN, error.at(percent, NO_MARGIN)));
  }
}

/** Ranks from 2 on are one class. */
function classOf(rank: number): number {
  return Math.min(MARGIN_AT.length - 1, Math.max(0, Math.floor(rank)));
}

function newSpread(): spreads.Spread {
  return new spreads.Spread(PERCENT);
}

function newSet(): Set<Open> {
  return new Set();
}

function one(): number {
  return 1;
}

function none(): null {
  return null;
}
