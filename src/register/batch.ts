/**
 * A queue of steps in front of the proposer (design/hardening/2-orders): all steps that wait go into one change of the
 * register, so that orders under way at once cost the two rounds of one.
 *
 * The steps are applied one after the other, in the order of their calls, to the value that was read; a retry applies
 * all that wait by then, from the start, to the value that it reads. Callers get their outcomes once the resulting value
 * is known to be chosen, a denial too: it was judged by that value or by one that led to it in the same change.
 */
import * as result from "true-myth/result";
import * as errors from "../runtime/errors.js";
import * as schema from "../wire/schema.js";
import type * as types from "../wire/types.js";
import type * as proposers from "./proposer.js";

/**
 * Has one step's result chosen, or says within the time that no majority replied (`Proposer.change`). While isPatient,
 * the proposer lets others end their rounds first.
 */
export type Propose = (step: proposers.Step, withinMs: number, isPatient: () => boolean) => Promise<proposers.Outcome>;

interface Request {
  step: proposers.Step;
  withinMs: number;
  isUrgent: boolean;
}

interface Waiting {
  step: proposers.Step;
  until: number;
  isUrgent: boolean;
  timer: types.Timer;
  isAnswered: boolean;
  resolve(outcome: proposers.Outcome): void;
  reject(cause: unknown): void;
}

/** What each step came to when all were last applied. */
type Judged = Map<Waiting, proposers.Outcome>;

/** One queue for each proposer. */
export class StepQueue {
  private waiting: Waiting[] = [];
  private isRunning = false;

  constructor(
    private readonly clock: types.Clock,
    private readonly propose: Propose,
  ) {}

  /**
   * The chosen value that holds the step's result, or the step's own error, judged by what is chosen. `no_majority`
   * after `withinMs`: the step may have been applied or not, and may still be by the change that is under way.
   * `isUrgent`: while this step waits, its batch does not listen for other proposers (contention.ts).
   */
  change(step: proposers.Step, withinMs: number, isUrgent = false): Promise<proposers.Outcome> {
    const outcome = new Promise<proposers.Outcome>(this.enter.bind(this, { step, withinMs, isUrgent }));
    if (!this.isRunning) void this.run();
    return outcome;
  }

  private enter({ step, withinMs, isUrgent }: Request, resolve: Waiting["resolve"], reject: Waiting["reject"]): void {
    const item: Waiting = {
      step,
      isUrgent,
      until: this.clock.now() + withinMs,
      timer: this.clock.schedule(withinMs, expire),
      isAnswered: false,
      resolve,
      reject,
    };
    const answer = this.answer.bind(this);
    function expire(): void {
      answer(item, noMajority());
    }
    this.waiting.push(item);
  }

  private answer(item: Waiting, outcome: proposers.Outcome): void {
    if (this.leave(item)) item.resolve(outcome);
  }

  /** False when the caller has its answer already. */
  private leave(item: Waiting): boolean {
    if (item.isAnswered) return false;
    item.isAnswered = true;
    item.timer.stop();
    this.waiting = this.waiting.filter(isOther);
    return true;
    function isOther(other: Waiting): boolean {
      return other !== item;
    }
  }

  /** One change after the other, until nobody waits. */
  private async run(): Promise<void> {
    this.isRunning = true;
    while (this.waiting.length > 0) {
      const present = [...this.waiting];
      const judged: Judged = new Map();
      const outcome = await this.propose(this.applyAll.bind(this, judged), this.longestMs(), this.isPatient.bind(this)).catch(failed);
      if (outcome.isErr) for (const item of present) this.answer(item, outcome);
      else for (const [item, own] of judged) this.answer(item, own.isErr ? own : outcome);
    }
    this.isRunning = false;
  }

  private isPatient(): boolean {
    return !this.waiting.some(isUrgent);
  }

  /** Those that wait longest decide how long a change is tried; each caller has a timer of its own besides. */
  private longestMs(): number {
    let until = 0;
    for (const item of this.waiting) until = Math.max(until, item.until);
    return until - this.clock.now();
  }

  private applyAll(judged: Judged, read: schema.Value): proposers.Outcome {
    judged.clear();
    let value = read;
    for (const item of [...this.waiting]) {
      // A process that stood still: the timer is late, and the caller has long gone on to another node.
      if (item.until <= this.clock.now()) continue;
      const outcome = this.apply(item, value);
      if (!outcome) continue;
      // A change of voters is the first of its batch and the last: no other step builds on voters not chosen yet.
      const isMembership = outcome.isOk && hasOtherVoters(outcome.value, value);
      if (isMembership && judged.size > 0) break;
      judged.set(item, outcome);
      if (outcome.isOk) value = outcome.value;
      if (isMembership) break;
    }
    return result.ok(value);
  }

  /** Null when the step threw: that is for its own caller alone. */
  private apply(item: Waiting, value: schema.Value): proposers.Outcome | null {
    try {
      return item.step(value);
    } catch (cause) {
      if (this.leave(item)) item.reject(cause);
      return null;
    }
  }
}

function isUrgent(item: Waiting): boolean {
  return item.isUrgent;
}

function hasOtherVoters(next: schema.Value, value: schema.Value): boolean {
  return next.voterEpoch !== value.voterEpoch || next.voters !== value.voters || next.former !== value.former;
}

function noMajority(): proposers.Outcome {
  return result.err(new errors.NoQuorumError("no majority of the core replied in time", "send the call again, to any control node"));
}

function failed(cause: unknown): proposers.Outcome {
  return result.err(
    new errors.NoQuorumError(`the change failed: ${errors.messageOf(cause)}`, "send the call again, to any control node", { cause }),
  );
}
