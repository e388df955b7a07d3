/**
 * Collects usage at one control node (design/duties 4): asks the routers that follow it for what they counted, and hands it over
 * to the holder of the lease, which may be this node.
 */
import * as calls from "../wire/calls.js";
import type * as dutySchema from "../wire/duty-schema.js";
import type * as link from "../wire/link.js";
import type * as types from "../wire/types.js";
import type * as timeOfDay from "./time-of-day.js";
import type * as usageLedger from "./usage-ledger.js";

const COLLECT_INTERVAL_MS = 1000;
const REPLY_TIMEOUT_MS = 700;

/** A router that follows this node. */
export interface FollowingRouter {
  name: string;
  link: link.Link;
}

/** Another control node. */
export interface PeerNode {
  link: link.Link;
  /** How long its hello took, there and back, in milliseconds. */
  roundTripMs: number;
}

/** What the collector needs of its control node. */
export interface CollectorDependencies {
  clock: types.Clock;
  /** Name of this node. */
  name: string;
  windowMs: number;
  time: timeOfDay.TimeOfDay;
  ledger: usageLedger.UsageLedger;
  routers(): Iterable<FollowingRouter>;
  /** Incarnation of the lease's holder; empty: none is known. */
  holder(): string;
  /** The control node with this incarnation, if there is a link to it. */
  peer(incarnation: string): PeerNode | null;
  /** The newest window that is decided: nothing older is of use. */
  decidedThrough(): number;
}

/** A router's last reply. */
interface LastReply {
  life: string;
  sequence: number;
  /** How long it took, there and back, in milliseconds. */
  roundTripMs: number;
}

const NO_REPLY: LastReply = { life: "", sequence: 0, roundTripMs: 0 };

/** Run by the control node's timer. */
export class UsageCollector {
  private readonly lastReplies = new Map<string, LastReply>();
  /** Collected and not handed over to `relayedTo`. */
  private pending: dutySchema.RouterWindow[] = [];
  private relayedTo = "";
  private collectedAt = Number.NEGATIVE_INFINITY;
  private isCollecting = false;

  constructor(private readonly dependencies: CollectorDependencies) {}

  /** Collects and hands over once an interval. */
  runPeriodically(): void {
    const now = this.dependencies.clock.now();
    if (this.isCollecting || now - this.collectedAt < COLLECT_INTERVAL_MS) return;
    this.collectedAt = now;
    void this.collect();
  }

  private async collect(): Promise<void> {
    this.isCollecting = true;
    const routers = [...this.dependencies.routers()];
    this.forgetOthers(new Set(routers.map(({ name }) => name)));
    await Promise.all(routers.map((router) => this.collectFrom(router)));
    await this.relay();
    this.isCollecting = false;
  }

  private forgetOthers(names: ReadonlySet<string>): void {
    for (const name of this.lastReplies.keys()) if (!names.has(name)) this.lastReplies.delete(name);
  }

  private async collectFrom({ name, link }: FollowingRouter): Promise<void> {
    const { clock, time, ledger, windowMs } = this.dependencies;
    const last = this.lastReplies.get(name) ?? NO_REPLY;
    const sentAt = clock.now();
    const timeOfDayMs = time.now() + last.roundTripMs / 2;
    const request = { timeOfDayMs, windowMs, acknowledged: last.sequence, life: last.life };
    const reply = await link.call(calls.usageCollect, request, REPLY_TIMEOUT_MS);
    if (!reply) return;
    this.lastReplies.set(name, { life: reply.life, sequence: reply.sequence, roundTripMs: clock.now() - sentAt });
    this.pending.push(...ledger.join(reply.windows));
  }

  private async relay(): Promise<void> {
    const { dependencies } = this;
    const { clock, name, time, ledger } = dependencies;
    const target = dependencies.holder();
    const node = dependencies.peer(target);
    if (!node) {
      // This node holds the lease, or can't reach the holder: the next one gets all that is known.
      this.relayedTo = "";
      this.pending = [];
      return;
    }
    const isNew = target !== this.relayedTo;
    this.relayedTo = target;
    const windows = isNew ? ledger.since(dependencies.decidedThrough()) : this.pending;
    this.pending = [];
    const sentAt = clock.now();
    const reply = await node.link.call(calls.usageRelay, { from: name, timeOfDayMs: time.own(), windows }, REPLY_TIMEOUT_MS);
    if (reply?.isHolder) time.adopt(reply.timeOfDayMs + (clock.now() - sentAt) / 2);
    else this.relayedTo = "";
  }
}
