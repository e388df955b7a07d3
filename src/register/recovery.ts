/**
 * Recovery of the register: finishes values that are accepted here and not known to be chosen, whose proposer may be gone,
 * and repairs a voter's disk that missed an accept (design 5.5).
 */
import type * as schema from "../wire/schema.js";
import type * as types from "../wire/types.js";
import * as registerValue from "./register-value.js";

/** Delay before an accepted value that may not be chosen is finished. */
const ACCEPTED_DELAY_MS = 350;
/** The same for a joint set of voters, which blocks other changes of voters until it is finished. */
const JOINT_DELAY_MS = 450;
/** Delay before a node without a vote reads the register itself. */
const BLANK_DELAY_MS = 1000;
/** Delay before a voter whose disk lags behind is repaired. */
const LAGGING_DELAY_MS = 300;
/** Added for each node that comes first in the order, so that one node starts alone. */
const RANK_DELAY_MS = 250;
const RECOVERY_TIMEOUT_MS = 1500;

/** The register as recovery sees it. */
export interface RecoverableRegister {
  readonly chosen: schema.Value | null;
  /** Identity of this node's voter; empty when it has none. */
  readonly disk: string;
  /** The newest value accepted on this node's disk, chosen or not. */
  readonly accepted: schema.Value | null;
  /** Whether this incarnation of the process has learned what is chosen. */
  readonly isConfirmed: boolean;
  /** Whether any voter can be reached. */
  canAsk(): boolean;
  /** This node's position, from 0, in the common order of the connected nodes. */
  rank(): number;
  /** Runs both phases with the newest value, if that is needed to have it chosen. */
  read(timeoutMs: number): Promise<unknown>;
  /** Has the voters accept the newest value again. */
  repair(timeoutMs: number): Promise<unknown>;
}

/** The recovery that is needed, and after which delay. */
interface RecoveryNeed {
  isRepair: boolean;
  delayMs: number;
}

/** Driven by a periodic timer of its control node. */
export class Recovery {
  /** Since when recovery has been needed; null while it is not. */
  private neededSince: number | null = null;
  private isBusy = false;

  constructor(
    private readonly clock: types.Clock,
    private readonly register: RecoverableRegister,
  ) {}

  /** Starts a recovery once it has been needed for its delay; one at a time. */
  recoverIfNeeded(): void {
    const need = this.findNeed();
    if (!need) {
      this.neededSince = null;
      return;
    }
    if (this.isBusy || !this.register.canAsk()) return;
    const now = this.clock.now();
    this.neededSince ??= now;
    if (now - this.neededSince < need.delayMs) return;
    this.isBusy = true;
    void this.recover(need);
  }

  private findNeed(): RecoveryNeed | null {
    const { register } = this;
    const { accepted, chosen } = register;
    const rank = register.rank();
    if (!register.isConfirmed) return { isRepair: false, delayMs: this.startDelayMs() + rank * RANK_DELAY_MS };
    if (accepted && (!chosen || accepted.epoch > chosen.epoch)) {
      const isJoint = accepted.former.length > 0;
      const delayMs = isJoint ? JOINT_DELAY_MS + rank * RANK_DELAY_MS : ACCEPTED_DELAY_MS + rank * RANK_DELAY_MS;
      return { isRepair: false, delayMs };
    }
    return this.isLagging() ? { isRepair: true, delayMs: LAGGING_DELAY_MS + rank * RANK_DELAY_MS } : null;
  }

  /**
   * After a restart of all nodes none knows what is chosen: the first in order reads it at once, the others wait. A blank
   * disk and a learner have no vote; voters send them what is chosen, and they read it only if that does not happen.
   */
  private startDelayMs(): number {
    return this.hasVote(this.register.accepted) ? 0 : BLANK_DELAY_MS;
  }

  /** Whether this is a voter whose disk has an older value than the chosen one that it knows. */
  private isLagging(): boolean {
    const { accepted, chosen } = this.register;
    if (!chosen || !this.hasVote(chosen)) return false;
    return !accepted || accepted.epoch < chosen.epoch;
  }

  private hasVote(value: schema.Value | null): boolean {
    const { disk } = this.register;
    return value !== null && registerValue.allVoters(value).has(disk);
  }

  private async recover(need: RecoveryNeed): Promise<void> {
    await (need.isRepair ? this.register.repair(RECOVERY_TIMEOUT_MS) : this.register.read(RECOVERY_TIMEOUT_MS));
    this.isBusy = false;
    this.neededSince = null;
  }
}
