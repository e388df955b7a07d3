/**
 * How fast batches may fill the capacity that interactive requests leave (design/batch 6): a bounded fill ratio, a slow
 * start and a token bucket for prefill. The owner and the projection of waits share these rules.
 */

/** Batches fill a cell up to this ratio of its slots at most, whatever occupies them. */
export const MAX_FILL_RATIO = 0.7;
/** Slow start: at most this ratio of a cell's slots is taken by sends that no report shows yet. */
export const MAX_STEP_RATIO = 0.3;
/** Batches use at most this ratio of the prefill rate of a cell's runners. */
const MAX_PREFILL_RATIO = 0.3;
/** Burst size of a prefill budget: the tokens of so many milliseconds. */
const PREFILL_BURST_MS = 1000;
/** A send is visible in the reports after this time. */
export const REPORT_DELAY_MS = 1000;
/** Sends of one change of the table. */
export const MAX_SENDS = 48;
/** Attempts in flight together. */
export const MAX_IN_FLIGHT = 256;

/** One service in one region, by the newest reports. */
export interface CellCapacity {
  region: string;
  /** Requests that its runners run concurrently. */
  slots: number;
  /** Requests running and waiting there now, batch items included. */
  used: number;
  waiting: number;
  /** Prompt tokens that may be prefilled there for batches per millisecond; Infinity: no bound is known. */
  prefillTokensPerMs: number;
}

/** Slots that batches may hold in a cell where interactive requests hold so many. */
export function batchSlots(slots: number, interactive: number): number {
  return Math.max(0, MAX_FILL_RATIO * slots - interactive);
}

/** Items that may be sent now in addition to those in flight; `unreported`: sends that no report shows yet. */
export function startableItems(capacity: CellCapacity, unreported: number): number {
  if (capacity.waiting > 0) return 0;
  const free = Math.floor(MAX_FILL_RATIO * capacity.slots - capacity.used - unreported);
  const step = Math.max(1, Math.floor(MAX_STEP_RATIO * capacity.slots));
  return Math.max(0, Math.min(free, step - unreported));
}

/** Prompt tokens per millisecond that so many runners may prefill for batches; `readRate`: of one runner, 0 if unknown. */
export function prefillTokensPerMs(runners: number, readRate: number): number {
  return readRate > 0 ? MAX_PREFILL_RATIO * runners * readRate : Infinity;
}

/** Token bucket for the prompts that batches prefill in one cell; it may go into debt by one item. */
export class PrefillBudget {
  private tokens = 0;
  private refilledAt: number | null = null;

  /** Adds the tokens earned since the last call, up to the burst size. */
  refill(now: number, tokensPerMs: number): void {
    if (!Number.isFinite(tokensPerMs)) this.tokens = Infinity;
    else {
      const before = Number.isFinite(this.tokens) ? this.tokens : 0;
      const earned = this.refilledAt === null ? PREFILL_BURST_MS * tokensPerMs : (now - this.refilledAt) * tokensPerMs;
      this.tokens = Math.min(PREFILL_BURST_MS * tokensPerMs, before + earned);
    }
    this.refilledAt = now;
  }

  /** Spends the tokens if the budget isn't in debt, whatever the item's size; false: not before the next refill. */
  trySpend(tokens: number): boolean {
    if (this.tokens <= 0) return false;
    this.tokens -= tokens;
    return true;
  }
}
