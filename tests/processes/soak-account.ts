// The account of a soak: each request, add and order that a process has taken must be answered, by these rules.
import * as drainWindows from "../../src/settings/drain-windows.js";
import type * as soakConnection from "./soak-connection.js";

/** Something that happened to a node. */
export interface NodeEvent {
  at: number;
  node: string;
  what: string;
}

/** One exchange of a client. */
export interface Entry {
  id: string;
  kind: "request" | "add" | "order" | "read";
  /** May run at most once. */
  isOnce: boolean;
  node: string;
  exchange: soakConnection.Exchange;
}

export interface Finding {
  what: string;
  entry: Entry | null;
  node: string;
}

/** The deadline of a route while it is shrunk; each stream takes less, so that only what waited ends by it. */
export const SHORT_DEADLINE_MS = 6500;
/** The deadline of a route otherwise. */
export const LONG_DEADLINE_MS = 15_000;
const DEADLINE_SLACK_MS = 100;
/** Bytes that cross the close of a connection: the process need not have read them. */
const CROSSING_MS = 200;
/** Signals are noticed later than they are sent, where all cores are wanted; the design has a second to spare for it. */
const SIGNAL_SLACK_MS = 300;
/**
 * A process that has not ended so long after its grace period is killed, and that is a finding. Until then the cut at its end
 * is the one that the design allows, also where it comes late: with 150 routers on 8 busy cores (seed 103) a process ended
 * 0.69 s after its grace period, its log with the same cut of what came before the signal.
 */
export const END_SLACK_MS = 1000;
/** Statuses that promise that nothing was run. */
const NOT_RUN = new Set([429, 503]);

export class Account {
  readonly entries: Entry[] = [];
  readonly events: NodeEvent[] = [];
  /** Pauses of this process's own loop, during which it sees nothing. */
  readonly pauses: { from: number; to: number }[] = [];

  constructor(private readonly graceMs: number) {}

  record(node: string, what: string): void {
    this.events.push({ at: performance.now(), node, what });
  }

  /** Findings over all entries. `runs`: how often each request id was run by a runner. */
  judge(runs: ReadonlyMap<string, number>): Finding[] {
    const findings: Finding[] = [];
    for (const entry of this.entries) {
      const what = this.judgeEntry(entry, runs.get(entry.id) ?? 0);
      if (what !== null) findings.push({ what, entry, node: entry.node });
    }
    return findings;
  }

  private judgeEntry(entry: Entry, runs: number): string | null {
    const { exchange, isOnce, kind } = entry;
    if (isOnce && runs > 1) return `run ${runs} times, and may run once`;
    if (kind === "request" && isOnce && exchange.ending === "complete" && NOT_RUN.has(exchange.status) && runs > 0) {
      return `answered ${exchange.status}, and run`;
    }
    if (exchange.ending === "complete") return this.judgeAnswer(entry);
    if (exchange.ending === "silent") return "never answered";
    if (exchange.ending === "refused" || isOverdue(exchange) || this.isCutAtGracePeriodEnd(entry, runs)) return null;
    if (exchange.ending === "cut") return "the connection ended within the answer";
    if (runs > 0) return "run by a runner, and the connection ended without an answer";
    // After a reset the process had not read the request: it crossed the close.
    return exchange.ending === "closed" && this.waitedMs(exchange) > CROSSING_MS
      ? "taken, and the connection ended without an answer"
      : null;
  }

  private judgeAnswer({ kind, id, exchange }: Entry): string | null {
    if (exchange.status >= 500 && exchange.status !== 503 && exchange.status !== 504) return `answered ${exchange.status}`;
    if (exchange.status >= 400 && exchange.status < 500 && ![408, 409, 412, 429].includes(exchange.status))
      return `denied with ${exchange.status}`;
    if (kind !== "request" || exchange.status !== 200) return null;
    return exchange.headers["x-cranewind-request-id"] === id ? null : "the answer of another request";
  }

  /** Between the sending and the end, without the time in which this process itself stood still. */
  private waitedMs({ sentAt, endedAt }: soakConnection.Exchange): number {
    let waitedMs = endedAt - sentAt;
    for (const { from, to } of this.pauses) waitedMs -= Math.max(0, Math.min(to, endedAt) - Math.max(from, sentAt));
    return waitedMs;
  }

  /** Sent within the accept window after the signal, run, and cut off by the end of the grace period: what the design allows. */
  private isCutAtGracePeriodEnd({ node, exchange }: Entry, runs: number): boolean {
    const { acceptMs, exitMs } = drainWindows.drainWindows(this.graceMs);
    return (
      runs > 0 &&
      this.events.some(
        (event) =>
          event.node === node &&
          event.what.startsWith("SIGTERM") &&
          exchange.sentAt <= event.at + acceptMs + SIGNAL_SLACK_MS &&
          exchange.endedAt >= event.at + exitMs - SIGNAL_SLACK_MS &&
          exchange.endedAt <= event.at + this.graceMs + END_SLACK_MS,
      )
    );
  }

  /** What happened around one finding, as lines. */
  storyOf({ what, entry, node }: Finding, startedAt: number): string[] {
    const lines = [`LOST: ${what}`];
    const around = this.events.filter((event) => event.node === node);
    const story = around.map(({ at, what: happened }) => ({ at, text: `${node} ${happened}` }));
    if (entry) {
      const { exchange } = entry;
      story.push({
        at: exchange.sentAt,
        text: `${entry.kind} ${entry.id} sent to ${node}${exchange.isReused ? ", on a reused connection" : ""}`,
      });
      story.push({ at: exchange.endedAt, text: `it ends: ${exchange.ending}, status ${exchange.status}` });
    }
    story.sort((left, right) => left.at - right.at);
    for (const { at, text } of story) lines.push(`  ${((at - startedAt) / 1000).toFixed(3)} s  ${text}`);
    return lines;
  }
}

/** It ended as a deadline of its route was reached: what ends between the two deadlines did not end by one. */
function isOverdue({ sentAt, endedAt }: soakConnection.Exchange): boolean {
  const waitedMs = endedAt - sentAt;
  const isAtShort = waitedMs >= SHORT_DEADLINE_MS - DEADLINE_SLACK_MS && waitedMs <= SHORT_DEADLINE_MS + END_SLACK_MS;
  return isAtShort || waitedMs >= LONG_DEADLINE_MS - DEADLINE_SLACK_MS;
}
