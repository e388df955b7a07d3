/**
 * A router's subscriptions to the feed (design 6.4, design/parts 3). One control node, the primary, sends the items of all
 * topics; the others send notices of the register alone. When a notice announces a state that the primary does not deliver in
 * time, the subscriber requests it from the sender of the notice. The configuration never goes back.
 */
import * as calls from "../wire/calls.js";
import * as link from "../wire/link.js";
import * as schema from "../wire/schema.js";
import * as types from "../wire/types.js";
import * as log from "../runtime/log.js";
import * as controlNode from "./control-node.js";
import type * as dialer from "./dialer.js";
import * as feedTopics from "./feed-topics.js";
import * as feedReplica from "./feed-replica.js";

/** A control node without a heartbeat for longer ranks after all others. */
const HEARTBEAT_FRESH_MS = 1300;
/** The primary has this long to deliver what another control node announced. */
const LATE_CHECK_DELAY_MS = 150;
/** Interval between requests to one announcing control node after the other. */
const LATE_CHECK_INTERVAL_MS = 500;
const GAP_REPAIR_DELAY_MS = 20;
const MISMATCH_REPAIR_DELAY_MS = 500;

/** Receives what the subscriber has applied. */
export interface FeedListener {
  /** A verified change of one topic has been applied to the replica. */
  onChange(applied: feedReplica.AppliedChange): void;
  /** A topic is no longer subscribed to; these were the keys of its items. */
  onUnsubscribe(topic: string, keys: readonly string[]): void;
}

/**
 * Keeps a replica of the subscribed topics from one control node (`primary`), and moves to another when that is better: a recent
 * heartbeat counts first, then confirmation by a majority, then the own region.
 */
export class FeedSubscriber {
  primary: controlNode.ControlNode | null = null;
  readonly replica = new feedReplica.FeedReplica(new Set([feedTopics.REGISTER_TOPIC]));
  private subscribed = new Set<string>();
  private readonly pendingRequests = new Set<string>();
  private readonly noticedStamps = new Map<controlNode.ControlNode, types.Stamp>();
  private isLateCheckScheduled = false;

  constructor(
    private readonly clock: types.Clock,
    private readonly region: string,
    private readonly dial: dialer.Dialer,
    handlers: link.Handlers,
    private readonly topics: () => Iterable<string>,
    private readonly listener: FeedListener,
  ) {
    handlers.on(calls.change, (from, change) => this.receiveChange(from, change));
    handlers.on(calls.notice, (from, notice) => this.receiveNotice(from, notice));
    handlers.on(calls.heartbeat, (from, heartbeat) => this.receiveHeartbeat(from, heartbeat));
    dial.on("up", (control) => this.addControlNode(control));
    dial.on("down", (control) => this.removeControlNode(control));
  }

  private addControlNode(control: controlNode.ControlNode): void {
    this.requestTopics(control, [this.replica.subscription(feedTopics.REGISTER_TOPIC, "notices", control.feedIncarnation)]);
    this.selectPrimary();
  }

  private removeControlNode(control: controlNode.ControlNode): void {
    this.noticedStamps.delete(control);
    if (this.primary === control) this.primary = null;
    this.selectPrimary();
  }

  private requestTopics(control: controlNode.ControlNode, topics: schema.TopicSubscription[]): void {
    control.link.send(calls.subscribe, { place: control.feedIncarnation, topics });
  }

  private receiveHeartbeat(from: link.Link, heartbeat: schema.Heartbeat): null {
    this.dial.receiveHeartbeat(from, heartbeat);
    return null;
  }

  private isFresh(control: controlNode.ControlNode): boolean {
    return control.link.isOpen && this.clock.now() - control.heartbeatAt < HEARTBEAT_FRESH_MS;
  }

  private rankOf(control: controlNode.ControlNode): number {
    let rank = control.node.region === this.region ? 0 : 1;
    // A control node that no majority confirmed lately says so in its heartbeat: others come first.
    if (!controlNode.isConfirmed(control)) rank += 4;
    if (!this.isFresh(control)) rank += 8;
    return rank;
  }

  /** Subscribes to the best control node; moves only when another ranks better, and then requests deltas. */
  selectPrimary(): void {
    let best: controlNode.ControlNode | null = this.primary;
    for (const control of this.dial.controls.values()) {
      if (!best || this.rankOf(control) < this.rankOf(best)) best = control;
    }
    if (!best || best === this.primary) return;
    if (this.primary) this.unsubscribe(this.primary);
    this.primary = best;
    log.state(`feed: subscribed to ${best.node.name}`);
    this.resubscribe(new Set());
  }

  private unsubscribe(control: controlNode.ControlNode): void {
    const topics: schema.TopicSubscription[] = [];
    for (const topic of this.subscribed) {
      topics.push(this.replica.subscription(topic, topic === feedTopics.REGISTER_TOPIC ? "notices" : "none", control.feedIncarnation));
    }
    this.requestTopics(control, topics);
  }

  /** Adds and drops subscriptions by the topics that are needed now. */
  updateSubscriptions(): void {
    this.resubscribe(this.subscribed);
  }

  /** `known`: the topics that the primary already sends. */
  private resubscribe(known: ReadonlySet<string>): void {
    const { primary, replica } = this;
    if (!primary) return;
    const needed = new Set([feedTopics.REGISTER_TOPIC, ...this.topics()]);
    const topics: schema.TopicSubscription[] = [];
    for (const topic of needed) if (!known.has(topic)) topics.push(replica.subscription(topic, "items", primary.feedIncarnation));
    for (const topic of this.subscribed) {
      if (needed.has(topic)) continue;
      if (known.has(topic)) topics.push(replica.subscription(topic, "none", primary.feedIncarnation));
      const keys = replica.remove(topic);
      this.listener.onUnsubscribe(topic, keys);
    }
    this.subscribed = needed;
    if (topics.length > 0) this.requestTopics(primary, topics);
  }

  /** Whether the first snapshot of each needed topic of a kind has come. */
  hasAllTopics(isIncluded: (topic: string) => boolean): boolean {
    for (const topic of this.topics()) if (isIncluded(topic) && !this.replica.has(topic)) return false;
    return true;
  }

  private controlOf(from: link.Link): controlNode.ControlNode | null {
    for (const control of this.dial.controls.values()) if (control.link === from) return control;
    return null;
  }

  private receiveChange(from: link.Link, change: schema.Change): null {
    const { topic } = change;
    // The register may come from any control node, all other topics from the primary alone.
    if (topic !== feedTopics.REGISTER_TOPIC && (this.primary?.link !== from || !this.subscribed.has(topic))) return null;
    const outcome = this.replica.applyChange(change);
    if (outcome.kind === "applied") this.listener.onChange(outcome);
    else if (outcome.kind === "gap" || outcome.kind === "mismatch") this.scheduleRepair(from, topic, outcome.kind === "mismatch");
    return null;
  }

  /** Requests a delta after a gap, a snapshot after a mismatch; one request at a time for each topic. */
  private scheduleRepair(from: link.Link, topic: string, needsSnapshot: boolean): void {
    if (this.pendingRequests.has(topic)) return;
    this.pendingRequests.add(topic);
    const delayMs = needsSnapshot ? MISMATCH_REPAIR_DELAY_MS : GAP_REPAIR_DELAY_MS;
    this.clock.schedule(delayMs, () => this.repair(from, topic, needsSnapshot));
  }

  private repair(from: link.Link, topic: string, needsSnapshot: boolean): void {
    this.pendingRequests.delete(topic);
    const control = this.controlOf(from);
    if (!control) return;
    const mode = control === this.primary && this.subscribed.has(topic) ? "items" : "once";
    this.requestTopics(control, [
      needsSnapshot ? this.replica.snapshotSubscription(topic, mode) : this.replica.subscription(topic, mode, control.feedIncarnation),
    ]);
  }

  private receiveNotice(from: link.Link, notice: schema.Notice): null {
    const control = this.controlOf(from);
    if (!control || notice.topic !== feedTopics.REGISTER_TOPIC) return null;
    this.noticedStamps.set(control, notice.stamp);
    if (notice.stamp > this.replica.stamp(feedTopics.REGISTER_TOPIC)) this.scheduleLateCheck(LATE_CHECK_DELAY_MS);
    return null;
  }

  private scheduleLateCheck(ms: number): void {
    if (this.isLateCheckScheduled) return;
    this.isLateCheckScheduled = true;
    this.clock.schedule(ms, () => this.requestLateRegister());
  }

  /** The primary has not delivered what another control node announced: requests it from that one, later from the next. */
  private requestLateRegister(): void {
    this.isLateCheckScheduled = false;
    const current = this.replica.stamp(feedTopics.REGISTER_TOPIC);
    for (const [control, stamp] of this.noticedStamps) {
      if (stamp <= current || !control.link.isOpen) continue;
      log.count("feed.late");
      this.requestTopics(control, [this.replica.subscription(feedTopics.REGISTER_TOPIC, "once", control.feedIncarnation)]);
      // It moves to the end, so that each is asked in turn.
      this.noticedStamps.delete(control);
      this.noticedStamps.set(control, stamp);
      this.scheduleLateCheck(LATE_CHECK_INTERVAL_MS);
      return;
    }
  }
}
