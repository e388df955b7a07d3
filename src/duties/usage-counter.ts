/**
 * Counts at one router the requests that began to run, by tenant and window (design/duties 4). Control nodes collect the counts;
 * a reply carries what changed since the one that they acknowledge, so that a lost reply costs nothing but the time to the next.
 */
import type * as dutySchema from "../wire/duty-schema.js";
import type * as types from "../wire/types.js";

/** Windows that are kept, the newest ones: a control node that takes over collects them again. */
const MAX_WINDOWS = 14;
/** Requests that began before a control node told the time of day are kept up to this number. */
const MAX_EARLY = 500;

interface Entry {
  count: number;
  /** Sequence number of the reply that carries its last change first. */
  sequence: number;
}

/** One for each router. */
export class UsageCounter {
  private readonly windows = new Map<number, Map<string, Entry>>();
  private sequence = 1;
  /** Null before the first request of a control node. */
  private windowMs: number | null = null;
  /** Time of day less the own steady clock, in milliseconds. */
  private offsetMs = 0;
  private early: { tenant: string; at: types.SteadyMs }[] = [];

  constructor(
    private readonly clock: types.Clock,
    private readonly incarnation: string,
  ) {}

  /** A request of the tenant began to run now. */
  record(tenant: string): void {
    const at = this.clock.now();
    if (this.windowMs !== null) this.count(tenant, at, this.windowMs);
    else if (this.early.length < MAX_EARLY) this.early.push({ tenant, at });
  }

  private count(tenant: string, at: types.SteadyMs, windowMs: number): void {
    const entries = this.entriesOf(Math.floor((at + this.offsetMs) / windowMs));
    const entry = entries.get(tenant);
    if (!entry) entries.set(tenant, { count: 1, sequence: this.sequence });
    else {
      entry.count += 1;
      entry.sequence = this.sequence;
    }
  }

  private entriesOf(window: number): Map<string, Entry> {
    const known = this.windows.get(window);
    if (known) return known;
    const entries = new Map<string, Entry>();
    this.windows.set(window, entries);
    while (this.windows.size > MAX_WINDOWS) this.windows.delete(Math.min(...this.windows.keys()));
    return entries;
  }

  /** The reply to a control node that collects; its time of day is taken over, but for one that may be old by `latenessMs`. */
  reply(request: dutySchema.UsageRequest, latenessMs: number): dutySchema.UsageReply {
    if (latenessMs === 0 || this.windowMs === null) this.offsetMs = request.timeOfDayMs - this.clock.now();
    this.windowMs = request.windowMs;
    for (const { tenant, at } of this.early.splice(0)) this.count(tenant, at, request.windowMs);
    const since = request.life === this.incarnation ? request.acknowledged : 0;
    const windows: dutySchema.RouterWindow[] = [];
    for (const [window, entries] of this.windows) {
      const counts = changedSince(entries, since);
      if (counts.length > 0) windows.push({ life: this.incarnation, window, counts });
    }
    const { sequence } = this;
    this.sequence += 1;
    return { life: this.incarnation, sequence, windows };
  }
}

function changedSince(entries: ReadonlyMap<string, Entry>, since: number): dutySchema.TenantCount[] {
  const counts: dutySchema.TenantCount[] = [];
  for (const [tenant, { count, sequence }] of entries) if (sequence > since) counts.push({ tenant, count });
  return counts;
}
