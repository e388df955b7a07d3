// What callers of tallies saw, and the rules on it: never above what could have counted, never without what was
// acknowledged where it must be known, nothing lost at the end. It knows nothing of streams, disks or eras.

/** A total may lack what others acknowledged for so long after the last trouble, in ms. */
export const MERGE_MS = 3000;

interface Sent {
  tally: string;
  amount: number;
  /** Sendings that have no answer yet, or one that leaves open whether it counts. */
  unclear: number;
}

interface Acknowledged {
  key: string;
  node: string;
  life: number;
  at: number;
  /** Acknowledged during a cut, and not merged since. */
  isApart: boolean;
  /** Its machine lost its disk before it was merged. */
  isExcused: boolean;
}

/** When a total was asked for, and since when there was no trouble, and no cut. */
export interface Times {
  askedAt: number;
  calmSince: number;
  uncutSince: number;
}

/** Who is asked. */
export interface Place {
  node: string;
  life: number;
}

/** Keeps the record of one history; `faults`: what was seen to be wrong. */
export class TallyChecker {
  readonly faults: string[] = [];
  acknowledged = 0;
  acknowledgedApart = 0;
  private readonly sent = new Map<string, Sent>();
  private readonly acks: Acknowledged[] = [];
  private readonly lastTotals = new Map<string, number>();

  /** An add is sent, maybe once more. */
  send(tally: string, id: string, amount: number): void {
    const key = `${tally} ${id}`;
    const sent = this.sent.get(key) ?? { tally, amount, unclear: 0 };
    sent.unclear += 1;
    this.sent.set(key, sent);
  }

  /** One sending was answered with the promise that nothing was done. */
  refused(tally: string, id: string): void {
    this.sent.get(`${tally} ${id}`)!.unclear -= 1;
  }

  acknowledge(tally: string, id: string, place: Place, at: number, isApart: boolean): void {
    this.acknowledged += 1;
    if (isApart) this.acknowledgedApart += 1;
    this.acks.push({ key: `${tally} ${id}`, ...place, at, isApart, isExcused: false });
  }

  /** The node has been able to reach enough others for so long that all it had then is merged. */
  merged(node: string, before: number): void {
    for (const ack of this.acks) if (ack.node === node && ack.at < before) ack.isApart = false;
  }

  /** The node lost its disk. */
  wiped(node: string): void {
    for (const ack of this.acks) if (ack.node === node && ack.isApart) ack.isExcused = true;
  }

  /**
   * A total that was read. `calmSince`: when the last trouble ended, Infinity while there is one; `uncutSince`: the same of
   * cuts alone. Without cuts no node may show less than was acknowledged before, whatever lost its power or its disk since.
   */
  read(tally: string, total: number, place: Place, { askedAt, calmSince, uncutSince }: Times): void {
    const most = this.sum(tally, (key) => this.sent.get(key)!.unclear > 0);
    if (total > most) this.faults.push(`TWICE: ${tally} is ${total} at ${place.node}, at most ${most} counts`);
    const own = this.ackedKeys((ack) => ack.node === place.node && ack.life === place.life && ack.at < askedAt);
    this.least(tally, total, own, `STALE: its own, at ${place.node}`);
    if (askedAt - calmSince > MERGE_MS) {
      const old = this.ackedKeys((ack) => ack.at < askedAt - MERGE_MS && !ack.isExcused);
      this.least(tally, total, old, `STALE: after calm, at ${place.node}`);
    }
    if (askedAt - uncutSince > MERGE_MS) {
      const shown = this.ackedKeys((ack) => !ack.isApart && !ack.isExcused && ack.at < askedAt - MERGE_MS);
      this.least(tally, total, shown, `STALE: after a start, at ${place.node}`);
    }
    const series = `${place.node}/${place.life}/${tally}`;
    const before = this.lastTotals.get(series) ?? 0;
    if (total < before) this.faults.push(`FELL: ${tally} at ${place.node} from ${before} to ${total}`);
    this.lastTotals.set(series, total);
  }

  /** The totals of all nodes after the end; null: a node gave none. */
  end(tally: string, totals: ReadonlyMap<string, number | null>): void {
    const owed = this.ackedKeys((ack) => !ack.isExcused);
    for (const [node, total] of totals) {
      if (total === null) this.faults.push(`LOST: no total of ${tally} at ${node}`);
      else this.least(tally, total, owed, `LOST: at ${node}`);
    }
    if (new Set(totals.values()).size > 1) this.faults.push(`DIFFER: ${tally}: ${JSON.stringify([...totals])}`);
  }

  private ackedKeys(isOwed: (ack: Acknowledged) => boolean): Set<string> {
    const keys = new Set<string>();
    for (const ack of this.acks) if (isOwed(ack)) keys.add(ack.key);
    return keys;
  }

  private least(tally: string, total: number, keys: ReadonlySet<string>, what: string): void {
    const least = this.sum(tally, (key) => keys.has(key));
    if (total < least) this.faults.push(`${what}: ${tally} is ${total}, not ${least}`);
  }

  private sum(tally: string, counts: (key: string) => boolean): number {
    let sum = 0;
    for (const [key, sent] of this.sent) if (sent.tally === tally && counts(key)) sum += sent.amount;
    return sum;
  }
}
