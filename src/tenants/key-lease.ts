/**
 * How long a router may accept keys by the configuration that it holds (design/tenants 3). A control node's reply that a
 * majority confirmed epoch e as the newest proves, to a router that holds e, that no change acknowledged before the
 * confirmation began is missing here. The reply counts from when it was requested, on the router's own steady clock.
 */
import * as quorumConfirmation from "../register/quorum-confirmation.js";
import * as types from "../wire/types.js";

/** Allowance for clock drift and for a process that is suspended between check and use. */
const SLACK_MS = 300;
/** Bound on confirmations of epochs that this router does not hold yet; the oldest is dropped. */
const MAX_PENDING_CONFIRMATIONS = 32;

/** The figures of the settings on keys that were taken away. */
export interface RevocationBounds {
  /** Whether a router that is cut off stops honouring keys in time. */
  revocation_strict: boolean;
  /** Milliseconds from the acknowledgement of a change to the last run with a key that it took away. */
  revoke_delay_ms: number;
}

interface Confirmation {
  epoch: types.Epoch;
  sentAt: types.SteadyMs;
}

/** The lease on keys of a router. */
export class KeyLease {
  private epoch = types.NO_EPOCH;
  private pendingConfirmations: Confirmation[] = [];
  private confirmedAt = -Infinity;

  constructor(
    private readonly clock: types.Clock,
    private bounds: RevocationBounds,
  ) {}

  /** Called when the settings were read again. */
  updateBounds(bounds: RevocationBounds): void {
    this.bounds = bounds;
  }

  /** Called when an epoch is in force at this router; epochs only grow. */
  applyEpoch(epoch: types.Epoch): void {
    this.epoch = epoch;
    this.applyConfirmations();
  }

  /** A control node replied that the epoch is confirmed as the newest; `sentAt`: when it was asked. */
  recordConfirmation(epoch: types.Epoch, sentAt: types.SteadyMs): void {
    this.pendingConfirmations.push({ epoch, sentAt });
    if (this.pendingConfirmations.length > MAX_PENDING_CONFIRMATIONS) this.pendingConfirmations.shift();
    this.applyConfirmations();
  }

  private applyConfirmations(): void {
    const ahead: Confirmation[] = [];
    for (const confirmation of this.pendingConfirmations) {
      if (confirmation.epoch > this.epoch) ahead.push(confirmation);
      else this.confirmedAt = Math.max(this.confirmedAt, confirmation.sentAt);
    }
    this.pendingConfirmations = ahead;
  }

  /** Whether the configuration held here was recently confirmed as the newest. */
  isFresh(): boolean {
    const provedFrom = this.confirmedAt - quorumConfirmation.MAX_ANSWER_AGE_MS;
    return this.clock.now() < provedFrom + this.bounds.revoke_delay_ms - SLACK_MS;
  }

  /** Whether a key that the held configuration knows may let a request run now. */
  mayHonour(): boolean {
    return !this.bounds.revocation_strict || this.isFresh();
  }

  /** Whether a key that the held configuration does not know is known to be wrong. */
  mayReject(): boolean {
    return this.isFresh() && this.pendingConfirmations.length === 0;
  }
}
