// Keeps this node's disk and what is chosen together: ends values accepted here and not known to be chosen, whose
// proposer may be gone, and brings a voter's disk up to date that missed an accept (design 5.5).
import * as schema from "../wire/schema.js";
import * as types from "../wire/types.js";
import * as registers from "./value.js";

const ACCEPTED_AFTER_MS = 350;
/** A joint set that may not be chosen stands in the way of others: whoever holds it ends it soon. */
const JOINT_AFTER_MS = 450;
const BLANK_AFTER_MS = 1000;
const LAGGING_AFTER_MS = 300;
const RANK_MS = 250;
const DRIVE_WITHIN_MS = 1500;

/** What the driver works on. */
export interface Register {
  readonly chosen: schema.Value | null;
  /** The disk that votes here; empty when none does. */
  readonly disk: string;
  /** The newest value accepted on the own disk, chosen or not. */
  readonly accepted: schema.Value | null;
  /** Whether this life of the process has learned what is chosen. */
  readonly isConfirmed: boolean;
  /** Whether there is anybody to ask. */
  canAsk(): boolean;
  /** This node's place in the order of those in touch. */
  rank(): number;
  read(withinMs: number): Promise<unknown>;
  spread(withinMs: number): Promise<unknown>;
}

/** Why the register is driven, and after how long. */
interface Need {
  isSpread: boolean;
  patienceMs: number;
}

/** Turned by the timer of its control node. */
export class Driver {
  private since: number | null = null;
  private isBusy = false;

  constructor(
    private readonly world: types.Clock,
    private readonly register: Register,
  ) {}

  turn(): void {
    const need = this.need();
    if (!need) {
      this.since = null;
      return;
    }
    if (this.isBusy || !this.register.canAsk()) return;
    const now = this.world.now();
    this.since ??= now;
    if (now - this.since < need.patienceMs) return;
    this.isBusy = true;
    void this.drive(need);
  }

  private need(): Need | null {
    const { register } = this;
    const { accepted, chosen } = register;
    const rank = register.rank();
    if (!register.isConfirmed) return { isSpread: false, patienceMs: this.startMs() + rank * RANK_MS };
    if (accepted && (!chosen || accepted.epoch > chosen.epoch)) {
      const isJoint = accepted.former.length > 0;
      const patienceMs = isJoint ? JOINT_AFTER_MS + rank * RANK_MS : ACCEPTED_AFTER_MS + rank * RANK_MS;
      return { isSpread: false, patienceMs };
    }
    return this.isLagging() ? { isSpread: true, patienceMs: LAGGING_AFTER_MS + rank * RANK_MS } : null;
  }

  /**
   * After a start of all, nobody knows what is chosen: the first in order reads it at once, the others give it time. A
   * blank disk and a learner have no vote; they hear what is chosen from those that have, and ask only if they don't.
   */
  private startMs(): number {
    return this.hasVote(this.register.accepted) ? 0 : BLANK_AFTER_MS;
  }

  /** A voter whose disk holds less than what it knows to be chosen. */
  private isLagging(): boolean {
    const { accepted, chosen } = this.register;
    if (!chosen || !this.hasVote(chosen)) return false;
    return !accepted || accepted.epoch < chosen.epoch;
  }

  private hasVote(value: schema.Value | null): boolean {
    const { disk } = this.register;
    return value !== null && registers.allVoters(value).has(disk);
  }

  private async drive(need: Need): Promise<void> {
    await (need.isSpread ? this.register.spread(DRIVE_WITHIN_MS) : this.register.read(DRIVE_WITHIN_MS));
    this.isBusy = false;
    this.since = null;
  }
}
