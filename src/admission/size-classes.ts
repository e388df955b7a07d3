/**
 * Large requests are served as often as the rest of their kind (design/admission 5): the largest tenth and the fifth
 * below it get a better chance once they were admitted less often.
 */
import * as histograms from "./histogram.js";

const TOP_TENTH_PERCENTILE = 90;
const TOP_THIRTY_PERCENTILE = 70;
const OUT_WEIGHT = 10;
const DECAY = 0.995;
const MIN_RECORDS = 10;
const HELD_BACK_RATIO = 0.9;
/** Served half as often is too little: from here on pauses do not hold it back (ours). */
const STARVED_RATIO = 0.65;

/** Requests asked for and admitted; older ones count less. */
interface AdmissionCount {
  asked: number;
  admitted: number;
}

function noneAsked(): AdmissionCount {
  return { asked: 0, admitted: 0 };
}

/** The size of a request from its prompt and most out, both in tokens: a token out takes far longer. */
export function sizeOf(prompt: number, out: number): number {
  return prompt + OUT_WEIGHT * out;
}

/** The sizes of one route's requests, and how often each class was admitted. */
export class SizeClasses {
  private readonly histogram = new histograms.Histogram(1);
  private readonly classes = [noneAsked(), noneAsked(), noneAsked()];
  private readonly total = noneAsked();

  /** 0: the largest tenth, 1: the fifth below it, 2: the others. */
  classOf(size: number): number {
    if (this.histogram.count < MIN_RECORDS || size <= 0) return 2;
    if (size > this.histogram.percentile(TOP_TENTH_PERCENTILE, 0)) return 0;
    return size > this.histogram.percentile(TOP_THIRTY_PERCENTILE, 0) ? 1 : 2;
  }

  /** Its class was admitted clearly less often than the whole. */
  isHeldBack(size: number): boolean {
    return this.isUnder(HELD_BACK_RATIO, size);
  }

  /** Its class was admitted far less often than the whole. */
  isStarved(size: number): boolean {
    return this.isUnder(STARVED_RATIO, size);
  }

  private isUnder(ratio: number, size: number): boolean {
    const ofClass = this.classes[this.classOf(size)];
    if (ofClass.asked < 1 || this.total.asked < 1) return false;
    return ofClass.admitted / ofClass.asked < ratio * (this.total.admitted / this.total.asked);
  }

  /** A request of this size was admitted or denied. */
  record(size: number, isAdmitted: boolean): void {
    const ofClass = this.classes[this.classOf(size)];
    if (size > 0) this.histogram.record(size);
    for (const count of [ofClass, this.total]) {
      count.asked = count.asked * DECAY + 1;
      count.admitted = count.admitted * DECAY + (isAdmitted ? 1 : 0);
    }
  }
}
