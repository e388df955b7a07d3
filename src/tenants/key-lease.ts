/**
 * How long a router may honour keys by the configuration that it holds (design/tenants 3). A control node's word that a
 * majority confirmed epoch e as the newest proves, to a router that holds e, that no change acknowledged before the
 * confirmation began is missing here. The word counts from when it was asked for, on the router's own steady clock.
 */
import * as quorumConfirmation from "../register/quorum-confirmation.js";
import * as types from "../wire/types.js";

/** What clocks and a process that stands still between check and use may take (*ours*). */
const SLACK_MS = 300;
/** Words of epochs that this router does not hold yet; older ones make way. */
const MAX_WORDS = 32;

/** The figures of the settings on keys that were taken away. */
export interface RevocationBounds {
  /** Whether a router that is cut off stops honouring keys in time. */
  revocation_strict: boolean;
  /** Milliseconds from the acknowledgement of a change to the last run with a key that it took away. */
  revoke_delay_ms: number;
}

interface Word {
  epoch: types.Epoch;
  sentAt: types.SteadyMs;
}

/** One for each router. */
export class KeyLease {
  private held = types.NO_EPOCH;
  private words: Word[] = [];
  private provedAt = -Infinity;

  constructor(
    private readonly clock: types.Clock,
    private bounds: RevocationBounds,
  ) {}

  /** The settings were read again. */
  resettle(bounds: RevocationBounds): void {
    this.bounds = bounds;
  }

  /** An epoch is in force here; epochs only grow. */
  take(epoch: types.Epoch): void {
    this.held = epoch;
    this.judge();
  }

  /** A control node said that the epoch is confirmed as the newest; sentAt: when it was asked. */
  hear(epoch: types.Epoch, sentAt: types.SteadyMs): void {
    this.words.push({ epoch, sentAt });
    if (this.words.length > MAX_WORDS) this.words.shift();
    this.judge();
  }

  private judge(): void {
    const ahead: Word[] = [];
    for (const word of this.words) {
      if (word.epoch > this.held) ahead.push(word);
      else this.provedAt = Math.max(this.provedAt, word.sentAt);
    }
    this.words = ahead;
  }

  /** Whether what is held was lately proved to be the newest. */
  isFresh(): boolean {
    const provedFrom = this.provedAt - quorumConfirmation.MAX_ANSWER_AGE_MS;
    return this.clock.now() < provedFrom + this.bounds.revoke_delay_ms - SLACK_MS;
  }

  /** Whether a key that the held configuration knows may let a request run now. */
  mayHonour(): boolean {
    return !this.bounds.revocation_strict || this.isFresh();
  }

  /** Whether a key that the held configuration does not know is known to be wrong. */
  mayDeny(): boolean {
    return this.isFresh() && this.words.length === 0;
  }
}
