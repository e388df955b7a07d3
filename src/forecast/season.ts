/**
 * The shape of a season, as the mean rate of each of its slots over earlier seasons (design/batch 8): what a load is
 * like at another time of the day, compared with now. Times are milliseconds of the steady clock; where in the day the
 * season begins does not matter.
 */

/** What the newest season counts against the earlier ones. */
const NEWEST_WEIGHT = 0.4;
/** The ratio of two slots is not believed beyond this. */
const MAX_RATIO = 12;

/** The slots of one series. */
export class SeasonShape {
  private readonly means: (number | null)[];
  private openSlot = -1;
  private sum = 0;
  private observations = 0;

  constructor(
    private readonly seasonMs: number,
    slots: number,
  ) {
    this.means = Array.from({ length: slots }, () => null);
  }

  private slotAt(atMs: number): number {
    const phase = (((atMs % this.seasonMs) + this.seasonMs) % this.seasonMs) / this.seasonMs;
    return Math.min(this.means.length - 1, Math.floor(phase * this.means.length));
  }

  /** A rate seen at a time; times do not go back. */
  observe(atMs: number, value: number): void {
    const slot = this.slotAt(atMs);
    if (slot !== this.openSlot) this.closeSlot();
    this.openSlot = slot;
    this.sum += value;
    this.observations += 1;
  }

  private closeSlot(): void {
    if (this.openSlot >= 0 && this.observations > 0) {
      const mean = this.sum / this.observations;
      const before = this.means[this.openSlot];
      this.means[this.openSlot] = before === null ? mean : NEWEST_WEIGHT * mean + (1 - NEWEST_WEIGHT) * before;
    }
    this.sum = 0;
    this.observations = 0;
  }

  /** How the load at one time compares with another's; null where either is not known yet. */
  ratio(fromMs: number, toMs: number): number | null {
    const from = this.meanAt(fromMs);
    const to = this.meanAt(toMs);
    if (from === null || to === null) return null;
    if (from <= 0) return to <= 0 ? 1 : MAX_RATIO;
    return Math.min(MAX_RATIO, to / from);
  }

  /** Between the middles of two slots the mean moves evenly from one to the other. */
  private meanAt(atMs: number): number | null {
    const slotMs = this.seasonMs / this.means.length;
    const middle = this.slotAt(atMs - slotMs / 2);
    const next = (middle + 1) % this.means.length;
    const part = ((((atMs - slotMs / 2) % slotMs) + slotMs) % slotMs) / slotMs;
    const [left, right] = [this.means[middle], this.means[next]];
    if (left === null || right === null) return left ?? right;
    return left + part * (right - left);
  }

  /** Slots that were seen at least once, of all. */
  get coverage(): number {
    return this.means.filter((mean) => mean !== null).length / this.means.length;
  }
}
