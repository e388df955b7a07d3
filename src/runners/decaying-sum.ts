/** A sum that loses half of itself in each half-life: recent events count most, and old ones are forgotten. */

/** A smaller sum counts as zero. */
const EPSILON = 0.001;

/** An exponentially decaying sum. */
export class DecayingSum {
  private value = 0;
  private at = 0;

  constructor(private readonly halfLifeMs: number) {}

  /** The sum at this time, in ms of the steady clock; an earlier time than the last changes nothing. */
  read(now: number): number {
    if (this.value === 0 || now <= this.at) return this.value;
    this.value *= 2 ** (-(now - this.at) / this.halfLifeMs);
    this.at = now;
    if (this.value < EPSILON) this.value = 0;
    return this.value;
  }

  /** Adds an amount at this time. */
  add(amount: number, now: number): void {
    this.value = this.read(now) + amount;
    this.at = Math.max(this.at, now);
  }
}
