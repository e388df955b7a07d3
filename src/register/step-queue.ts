/**
 * A queue of steps in front of the proposer (design/hardening/2-orders): all pending steps go into one change of the
 * register, so that concurrent orders cost the two phases of one.
 *
 * The steps are applied one after the other, in the order of their calls, to the value that was read; a retry applies
 * all that are pending by then, from the start, to the value that it reads. Callers get their outcomes, rejections too,
 * once the resulting value is known to be chosen: each was decided by that value or by one that led to it.
 */
import * as result from "true-myth/result";
import type * as schema from "../wire/schema.js";
import type * as types from "../wire/types.js";
import * as registerStep from "./register-step.js";

/**
 * Has one step's result chosen, or reports after the time-out that no majority replied (`Proposer.change`). While
 * `isPatient()`, the proposer lets others finish their ballots first.
 */
export type Propose = (step: registerStep.Step, timeoutMs: number, isPatient: () => boolean) => Promise<registerStep.Outcome>;

interface PendingStep {
  step: registerStep.Step;
  deadline: number;
  isUrgent: boolean;
  timer: types.Timer;
  isAnswered: boolean;
  resolve(outcome: registerStep.Outcome): void;
  reject(cause: unknown): void;
}

/** The outcome of each step when all were last applied. */
type StepOutcomes = Map<PendingStep, registerStep.Outcome>;

/** One queue for each proposer. */
export class StepQueue {
  private pending: PendingStep[] = [];
  private isRunning = false;

  constructor(
    private readonly clock: types.Clock,
    private readonly propose: Propose,
  ) {}

  /**
   * The chosen value that contains the step's result, or the step's own error, decided by a chosen value. `no_majority`
   * after `timeoutMs`: the step may have been applied or not, and may still be by the change in progress.
   * `isUrgent`: while this step is pending, its change does not wait for other proposers (contention.ts).
   */
  change(step: registerStep.Step, timeoutMs: number, isUrgent = false): Promise<registerStep.Outcome> {
    const outcome = new Promise<registerStep.Outcome>((resolve, reject) => {
      const item: PendingStep = {
        step,
        isUrgent,
        deadline: this.clock.now() + timeoutMs,
        timer: this.clock.schedule(timeoutMs, () => this.respond(item, registerStep.noMajority())),
        isAnswered: false,
        resolve,
        reject,
      };
      this.pending.push(item);
    });
    if (!this.isRunning) void this.run();
    return outcome;
  }

  private respond(item: PendingStep, outcome: registerStep.Outcome): void {
    if (this.remove(item)) item.resolve(outcome);
  }

  /** False when the caller has its answer already. */
  private remove(item: PendingStep): boolean {
    if (item.isAnswered) return false;
    item.isAnswered = true;
    item.timer.stop();
    this.pending = this.pending.filter((other) => other !== item);
    return true;
  }

  /** One change after the other, until no step is pending. */
  private async run(): Promise<void> {
    this.isRunning = true;
    while (this.pending.length > 0) {
      const present = [...this.pending];
      const outcomes: StepOutcomes = new Map();
      const applyAll: registerStep.Step = (read) => this.applyAll(outcomes, read);
      const outcome = await this.propose(applyAll, this.longestMs(), () => this.isPatient()).catch(registerStep.changeFailed);
      if (outcome.isErr) for (const item of present) this.respond(item, outcome);
      else for (const [item, own] of outcomes) this.respond(item, own.isErr ? own : outcome);
    }
    this.isRunning = false;
  }

  private isPatient(): boolean {
    return !this.pending.some((item) => item.isUrgent);
  }

  /** The latest deadline decides how long a change is attempted; each caller has a timer of its own besides. */
  private longestMs(): number {
    let latest = 0;
    for (const item of this.pending) latest = Math.max(latest, item.deadline);
    return latest - this.clock.now();
  }

  private applyAll(outcomes: StepOutcomes, read: schema.Value): registerStep.Outcome {
    outcomes.clear();
    let value = read;
    for (const item of [...this.pending]) {
      // The process was suspended: the timer is late, and the caller has long retried at another node.
      if (item.deadline <= this.clock.now()) continue;
      const outcome = this.apply(item, value);
      if (!outcome) continue;
      // A change of voters is the first of its batch and the last: no other step builds on voters not chosen yet.
      const isMembershipChange = outcome.isOk && hasOtherVoters(outcome.value, value);
      if (isMembershipChange && outcomes.size > 0) break;
      outcomes.set(item, outcome);
      if (outcome.isOk) value = outcome.value;
      if (isMembershipChange) break;
    }
    return result.ok(value);
  }

  /** Null when the step threw: the exception goes to its own caller alone. */
  private apply(item: PendingStep, value: schema.Value): registerStep.Outcome | null {
    try {
      return item.step(value);
    } catch (cause) {
      if (this.remove(item)) item.reject(cause);
      return null;
    }
  }
}

function hasOtherVoters(next: schema.Value, value: schema.Value): boolean {
  return next.voterEpoch !== value.voterEpoch || next.voters !== value.voters || next.former !== value.former;
}
