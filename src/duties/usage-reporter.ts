/**
 * Decides the usage reports at the holder of the lease (design/duties 4): a window's report is due once all control nodes have
 * handed over what their routers counted in it, or when waiting longer would make it late. A report that is decided is in the
 * register before it is sent, so that whoever sends it again sends the same bytes.
 */
import type * as dutySchema from "../wire/duty-schema.js";
import * as dutyTable from "./duty-table.js";
import type * as timeOfDay from "./time-of-day.js";
import * as usageLedger from "./usage-ledger.js";

/** After the end of a window: a collection that began later holds all of it, and has been handed over by then. */
const COLLECTED_MS = 1700;
/** The part of the time until a report is due that may pass before it is decided without all counts. */
const MAX_WAIT_FRACTION = 0.7;
/** With partitions that are merged, a missing control node is waited for so much longer, in milliseconds. */
const MAX_PARTITION_MS = 20_000;
/** Reports that are decided with one renewal. */
const MAX_REPORTS_AT_ONCE = 8;

/** When usage is due, in milliseconds. */
export interface UsageTerms {
  windowMs: number;
  /** After the end of a window. */
  dueMs: number;
  /** After a partition has healed; null: a report does not wait for the other side. */
  mergeMs: number | null;
}

/** One for each control node. */
export class UsageReporter {
  /** When each other control node last handed its counts over, by the agreed time of day. */
  private readonly relayedAt = new Map<string, number>();
  /** Where the system's reports begin, if this node decides the first one. */
  private firstEver: number | null = null;

  /** `peers`: names of the other control nodes whose routers' counts belong to a report, in touch or not. */
  constructor(
    private readonly ledger: usageLedger.UsageLedger,
    private readonly time: timeOfDay.TimeOfDay,
    private readonly terms: UsageTerms,
    private readonly peers: () => Iterable<string>,
  ) {}

  /** Another control node handed its counts over; `latenessMs`: by how much longer than usual they may have been on their way. */
  recordRelay(node: string, latenessMs: number): void {
    this.relayedAt.set(node, this.time.now() - latenessMs);
  }

  /** The reports that are due now, in the order of their windows. */
  dueReports(table: dutySchema.DutyTable): dutySchema.DecidedReport[] {
    const now = this.time.now();
    const current = Math.floor(now / this.terms.windowMs);
    const oldestKnown = current - usageLedger.MAX_WINDOWS;
    this.firstEver ??= current;
    const first = table.decidedThrough === dutyTable.NO_WINDOW ? this.firstEver : Math.max(table.decidedThrough + 1, oldestKnown);
    const reports: dutySchema.DecidedReport[] = [];
    for (let window = first; window < current && reports.length < MAX_REPORTS_AT_ONCE; window += 1) {
      if (!this.isDue((window + 1) * this.terms.windowMs, now)) break;
      reports.push({ window, counts: this.ledger.reportOf(window) });
    }
    return reports;
  }

  private isDue(windowEnd: number, now: number): boolean {
    const collectedAt = windowEnd + COLLECTED_MS;
    if (now < collectedAt) return false;
    return this.haveAllRelayed(collectedAt) || now >= windowEnd + this.maxWaitMs();
  }

  private haveAllRelayed(since: number): boolean {
    for (const name of this.peers()) if ((this.relayedAt.get(name) ?? Number.NEGATIVE_INFINITY) < since) return false;
    return true;
  }

  private maxWaitMs(): number {
    const { dueMs, mergeMs } = this.terms;
    return dueMs * MAX_WAIT_FRACTION + (mergeMs === null ? 0 : MAX_PARTITION_MS + mergeMs);
  }
}
