/**
 * Estimates of the round trip to each voter, by which a request counts as lost and is sent again: the smoothed mean and
 * deviation of RFC 6298 (hardening 3, section 2).
 */

/** Resend interval before a round trip was measured, and the bounds on it. */
const INITIAL_RESEND_MS = 150;
const MIN_RESEND_MS = 60;
const MAX_RESEND_MS = 600;
/** Gains of RFC 6298 for a new sample in the mean and in the deviation; and deviations added to the mean; an early resend costs a few bytes. */
const MEAN_GAIN = 1 / 8;
const DEVIATION_GAIN = 1 / 4;
const DEVIATIONS = 2;
/** At least so much is added to the mean, so that a small delay does not count as a loss. */
const MIN_MARGIN_MS = 30;
/** Disks with an estimate; beyond it the one measured longest ago is removed. */
const MAX_DISKS = 64;

interface RoundTrip {
  meanMs: number;
  deviationMs: number;
}

/** Smoothed round trips to each voter, the sync of its disk included. One for each proposer. */
export class RoundTrips {
  private readonly byDisk = new Map<string, RoundTrip>();

  /** Records that a reply came `ms` milliseconds after the very request that it belongs to. */
  recordRoundTrip(disk: string, ms: number): void {
    const known = this.byDisk.get(disk);
    this.byDisk.delete(disk);
    this.byDisk.set(disk, known ? smoothed(known, ms) : { meanMs: ms, deviationMs: ms / 2 });
    for (const oldest of this.byDisk.keys()) {
      if (this.byDisk.size <= MAX_DISKS) break;
      this.byDisk.delete(oldest);
    }
  }

  /** Milliseconds without a reply after which a request to this disk may be sent again. */
  resendMs(disk: string): number {
    const known = this.byDisk.get(disk);
    if (!known) return INITIAL_RESEND_MS;
    return Math.min(MAX_RESEND_MS, Math.max(MIN_RESEND_MS, known.meanMs + Math.max(MIN_MARGIN_MS, DEVIATIONS * known.deviationMs)));
  }
}

function smoothed(known: RoundTrip, ms: number): RoundTrip {
  const deviationMs = known.deviationMs + DEVIATION_GAIN * (Math.abs(ms - known.meanMs) - known.deviationMs);
  return { meanMs: known.meanMs + MEAN_GAIN * (ms - known.meanMs), deviationMs };
}
