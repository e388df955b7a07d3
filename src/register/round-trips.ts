// How long the voters take to reply, learned from their replies: when a request is taken for lost (hardening 3, section 2).

/** Before anything was measured. */
const FIRST_MS = 150;
const MIN_MS = 60;
const MAX_MS = 600;
/** Weights of RFC 6298: of a new sample in the mean, of its distance in the deviation, and deviations added to the mean (*ours*: an early resend costs a few bytes). */
const MEAN_GAIN = 1 / 8;
const DEVIATION_GAIN = 1 / 4;
const DEVIATIONS = 2;
/** At least so much is added to the mean: small differences are no loss. */
const MIN_MARGIN_MS = 30;
/** Disks that are remembered; the one measured longest ago makes room. */
const MAX_DISKS = 64;

interface RoundTrip {
  meanMs: number;
  deviationMs: number;
}

/** Smoothed round trips to each voter's disk, its sync included. One for each proposer. */
export class RoundTrips {
  private readonly byDisk = new Map<string, RoundTrip>();

  /** A reply came so many milliseconds after the very request that it belongs to. */
  measured(disk: string, ms: number): void {
    const known = this.byDisk.get(disk);
    this.byDisk.delete(disk);
    this.byDisk.set(disk, known ? smoothed(known, ms) : { meanMs: ms, deviationMs: ms / 2 });
    for (const oldest of this.byDisk.keys()) {
      if (this.byDisk.size <= MAX_DISKS) break;
      this.byDisk.delete(oldest);
    }
  }

  /** After so many milliseconds without a reply a request to this disk may be sent again. */
  resendMs(disk: string): number {
    const known = this.byDisk.get(disk);
    if (!known) return FIRST_MS;
    return Math.min(MAX_MS, Math.max(MIN_MS, known.meanMs + Math.max(MIN_MARGIN_MS, DEVIATIONS * known.deviationMs)));
  }
}

function smoothed(known: RoundTrip, ms: number): RoundTrip {
  const deviationMs = known.deviationMs + DEVIATION_GAIN * (Math.abs(ms - known.meanMs) - known.deviationMs);
  return { meanMs: known.meanMs + MEAN_GAIN * (ms - known.meanMs), deviationMs };
}
