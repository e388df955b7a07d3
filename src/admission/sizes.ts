// Large requests are served as often as the rest of their kind (design/admission 5): the largest tenth and the
// fifth below it get a better chance once they were admitted less often.
import * as spreads from "./spread.js";

const TENTH = 90;
const FIFTH = 70;
const OUT_WEIGHT = 10;
const DECAY = 0.995;
const LEAST_ASKED = 10;
const HELD_BACK = 0.9;
/** Served half as often is too little: from here on pauses do not hold it back (ours). */
const STARVED = 0.65;

interface Count {
  asked: number;
  admitted: number;
}

function none(): Count {
  return { asked: 0, admitted: 0 };
}

export function sizeOf(prompt: number, out: number): number {
  return prompt + OUT_WEIGHT * out;
}

/** The sizes of one kind of request. */
export class Sizes {
  private readonly spread = new spreads.Spread(1);
  private readonly classes = [none(), none(), none()];
  private readonly whole = none();

  /** 0: the largest tenth, 1: the fifth below it, 2: the others. */
  classOf(size: number): number {
    if (this.spread.count < LEAST_ASKED || size <= 0) return 2;
    if (size > this.spread.at(TENTH, 0)) return 0;
    return size > this.spread.at(FIFTH, 0) ? 1 : 2;
  }

  /** Its class was admitted clearly less often than the whole. */
  isHeldBack(size: number): boolean {
    return this.isUnder(HELD_BACK, size);
  }

  isStarved(size: number): boolean {
    return this.isUnder(STARVED, size);
  }

  private isUnder(part: number, size: number): boolean {
    const mine = this.classes[this.classOf(size)];
    if (mine.asked < 1 || this.whole.asked < 1) return false;
    return mine.admitted / mine.asked < part * (this.whole.admitted / this.whole.asked);
  }

  note(size: number, isAdmitted: boolean): void {
    const mine = this.classes[this.classOf(size)];
    if (size > 0) this.spread.record(size);
    for (const count of [mine, this.whole]) {
      count.asked = count.asked * DECAY + 1;
      count.admitted = count.admitted * DECAY + (isAdmitted ? 1 : 0);
    }
  }
}
