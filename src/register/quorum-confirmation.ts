/**
 * Whether the chosen value that this node has is confirmed by a majority now (design/hardening/1-cut-off): the basis of
 * strong reads and of leases.
 */
import type * as schema from "../wire/schema.js";
import type * as types from "../wire/types.js";
import * as registerValue from "./register-value.js";

/** A voter's answer counts for so many milliseconds from the time its request was sent. */
export const MAX_ANSWER_AGE_MS = 1200;

/** What one voter knew. */
export interface Answer {
  /** When its request was sent, on this node's clock. */
  sentAt: types.SteadyMs;
  /** The newest epoch that the voter had accepted, or knew as chosen, when it answered. */
  epoch: types.Epoch;
}

/**
 * Decides whether a chosen value is confirmed: a majority of its voters (of both sets, when it is a joint value) answered
 * requests sent within MAX_ANSWER_AGE_MS, and none of these answers knows a newer epoch. Then every change that was
 * acknowledged before the oldest of these requests was sent is part of the value.
 */
export class Confirmation {
  private readonly answers = new Map<string, Answer[]>();

  constructor(protected readonly clock: types.Clock) {}

  /** Records a voter's answer. One that is ahead of the value counts once the value has caught up. */
  recordAnswer(disk: string, answer: Answer): void {
    if (disk === "" || !this.isRecent(answer.sentAt)) return;
    this.removeExpired();
    const recent = this.answers.get(disk);
    if (recent) recent.push(answer);
    else this.answers.set(disk, [answer]);
  }

  private removeExpired(): void {
    for (const [disk, answers] of this.answers) {
      while (answers.length > 0 && !this.isRecent(answers[0].sentAt)) answers.shift();
      if (answers.length === 0) this.answers.delete(disk);
    }
  }

  /** Whether a quorum of the value's voters confirms it now. */
  isConfirmed(value: schema.Value | null): boolean {
    return value !== null && registerValue.isQuorum(value, this.confirmingDisks(value));
  }

  /** The disks whose recent answers know nothing newer than the value. */
  confirmingDisks(value: schema.Value): Set<string> {
    const disks = new Set<string>();
    for (const [disk, answers] of this.answers) {
      for (const { sentAt, epoch } of answers) if (this.isRecent(sentAt) && epoch <= value.epoch) disks.add(disk);
    }
    return disks;
  }

  /** `sentAt`: when the request for an answer was sent. */
  protected isRecent(sentAt: types.SteadyMs): boolean {
    return sentAt > this.clock.now() - MAX_ANSWER_AGE_MS;
  }
}
