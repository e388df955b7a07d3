/**
 * Fairness by size (design/admission 5): large requests are to be admitted as often as the others of their route. The
 * largest tenth and the fifth below it get a better chance once they were admitted less often.
 */
import * as histograms from "./histogram.js";

const TOP_TENTH_PERCENTILE = 90;
const TOP_THIRTY_PERCENTILE = 70;
const OUTPUT_WEIGHT = 10;
const DECAY = 0.995;
const MIN_RECORDS = 10;
const DISADVANTAGED_RATIO = 0.9;
/** Below this ratio, the limit on inter-token gaps is ignored (ours). */
const STARVED_RATIO = 0.65;

/** Requests decided on and admitted; older ones count less. */
interface AdmissionCount {
  requested: number;
  admitted: number;
}

function newCount(): AdmissionCount {
  return { requested: 0, admitted: 0 };
}

/** The size of a request in tokens of its prompt: a token of output takes far longer. */
export function sizeOf(prompt: number, output: number): number {
  return prompt + OUTPUT_WEIGHT * output;
}

/** The sizes of one route's requests, and how often each class was admitted. */
export class SizeClasses {
  private readonly histogram = new histograms.Histogram(1);
  private readonly classes = [newCount(), newCount(), newCount()];
  private readonly total = newCount();

  /** 0: the largest tenth; 1: the fifth below it; 2: the others. */
  classOf(size: number): number {
    if (this.histogram.count < MIN_RECORDS || size <= 0) return 2;
    if (size > this.histogram.percentile(TOP_TENTH_PERCENTILE, 0)) return 0;
    return size > this.histogram.percentile(TOP_THIRTY_PERCENTILE, 0) ? 1 : 2;
  }

  /** Whether requests of this size were admitted less often than all of the route. */
  isDisadvantaged(size: number): boolean {
    return this.isAdmittedBelow(DISADVANTAGED_RATIO, size);
  }

  /** Whether requests of this size were admitted far less often than all of the route. */
  isStarved(size: number): boolean {
    return this.isAdmittedBelow(STARVED_RATIO, size);
  }

  private isAdmittedBelow(ratio: number, size: number): boolean {
    const ofClass = this.classes[this.classOf(size)];
    if (ofClass.requested < 1 || this.total.requested < 1) return false;
    return ofClass.admitted / ofClass.requested < ratio * (this.total.admitted / this.total.requested);
  }

  /** A request of this size was admitted or rejected. */
  record(size: number, isAdmitted: boolean): void {
    const ofClass = this.classes[this.classOf(size)];
    if (size > 0) this.histogram.record(size);
    for (const count of [ofClass, this.total]) {
      count.requested = count.requested * DECAY + 1;
      count.admitted = count.admitted * DECAY + (isAdmitted ? 1 : 0);
    }
  }
}
