// Which machines count as lost, so that wipes stay within what the core must bear at once.

/** A machine stays lost for so long after its trouble has ended. */
const SYNC_MS = 6000;
/** The share of messages that may be lost or late while machines come back in that time. */
const MAX_LOST = 0.1;

export class Losses {
  private readonly troubles = new Map<string, number>();
  private readonly lostUntilMs = new Map<string, number>();

  private isStorm = false;
  private stormSinceMs = 0;

  constructor(private readonly mostAtOnce: number) {}

  /** While many messages are lost or late nobody comes back: the time of all that are lost starts again at its end. */
  weather(share: number, nowMs: number): void {
    if (this.isStorm) {
      for (const [address, untilMs] of this.lostUntilMs) if (untilMs >= this.stormSinceMs) this.lostUntilMs.set(address, nowMs + SYNC_MS);
    }
    if (!this.isStorm) this.stormSinceMs = nowMs;
    this.isStorm = share > MAX_LOST;
  }

  begin(address: string): void {
    this.troubles.set(address, (this.troubles.get(address) ?? 0) + 1);
  }

  end(address: string, nowMs: number): void {
    this.troubles.set(address, (this.troubles.get(address) ?? 1) - 1);
    this.lostUntilMs.set(address, nowMs + SYNC_MS);
  }

  /** Whether the disk of this machine may be lost now, whatever has become of the others. */
  mayLose(address: string, nowMs: number): boolean {
    let lost = 1;
    for (const other of new Set([...this.troubles.keys(), ...this.lostUntilMs.keys()])) {
      if (other === address) continue;
      const isLost = (this.troubles.get(other) ?? 0) > 0 || (this.lostUntilMs.get(other) ?? 0) > (this.isStorm ? this.stormSinceMs : nowMs);
      if (isLost) lost += 1;
    }
    return lost <= this.mostAtOnce;
  }
}
