// Whether what this node holds as chosen is confirmed by a majority now (design/hardening/1-cut-off).
import type * as schema from "../wire/schema.js";
import type * as types from "../wire/types.js";
import * as values from "./value.js";

/** A voter's answer counts for so long, in milliseconds from when it was asked (*ours*). */
export const CONFIRMED_MS = 1200;

/** What one voter knew. */
export interface Answer {
  /** When it was asked, on the asker's clock. */
  sentAt: types.SteadyMs;
  /** The newest epoch that the voter had accepted, or knew as chosen, when it answered. */
  epoch: types.Epoch;
}

/**
 * Whether a chosen value is confirmed: a majority of its voters (of both sets, when it is a joint value) answered asks
 * sent within CONFIRMED_MS, and none of these answers knows a newer epoch. Then every change that was acknowledged
 * before the oldest of these asks was sent is part of the value.
 */
export class Confirmation {
  private readonly answers = new Map<string, Answer[]>();

  constructor(protected readonly world: types.Clock) {}

  /** Takes a voter's answer. One that is ahead of the value counts once the value has caught up. */
  take(disk: string, answer: Answer): void {
    if (disk === "" || !this.isRecent(answer.sentAt)) return;
    this.forgetOld();
    const recent = this.answers.get(disk);
    if (recent) recent.push(answer);
    else this.answers.set(disk, [answer]);
  }

  private forgetOld(): void {
    for (const [disk, answers] of this.answers) {
      while (answers.length > 0 && !this.isRecent(answers[0].sentAt)) answers.shift();
      if (answers.length === 0) this.answers.delete(disk);
    }
  }

  isConfirmed(value: schema.Value | null): boolean {
    return value !== null && values.isQuorum(value, this.confirming(value));
  }

  /** The disks whose recent answers know nothing newer than the value. */
  confirming(value: schema.Value): Set<string> {
    const disks = new Set<string>();
    for (const [disk, answers] of this.answers) {
      for (const { sentAt, epoch } of answers) if (this.isRecent(sentAt) && epoch <= value.epoch) disks.add(disk);
    }
    return disks;
  }

  /** sentAt: when an answer was asked for. */
  protected isRecent(sentAt: types.SteadyMs): boolean {
    return sentAt > this.world.now() - CONFIRMED_MS;
  }
}
