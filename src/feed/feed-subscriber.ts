// The router's side of the feed (design 6.4, design/parts 3): one control node followed for the items of all
// wanted topics, the others for notices of the register alone. A notice of more than the main one brings in time is
// asked for where it came from; never backwards.
import * as calls from "../wire/calls.js";
import * as link from "../wire/link.js";
import * as schema from "../wire/schema.js";
import * as types from "../wire/types.js";
import * as log from "../runtime/log.js";
import * as controlNode from "./control-node.js";
import type * as dialer from "./dialer.js";
import * as feedTopics from "./feed-topics.js";
import * as feedReplica from "./feed-replica.js";

const HEARTBEAT_FRESH_MS = 1300;
const LATE_CHECK_DELAY_MS = 150;
const LATE_CHECK_INTERVAL_MS = 500;
const GAP_REPAIR_DELAY_MS = 20;
const MISMATCH_REPAIR_DELAY_MS = 500;

/** Takes what a follower has applied. */
export interface FeedListener {
  /** What changed and what is gone of one topic, proved whole. */
  onChange(applied: feedReplica.AppliedChange): void;
  /** A topic is followed no longer; these were its items. */
  onUnsubscribe(topic: string, keys: readonly string[]): void;
}

/**
 * Keeps a mirror of the followed topics, all from one control node (`main`), and moves to another when that is better:
 * heard lately first, then confirmed by a majority, then of the own region.
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
    handlers.on(calls.change, this.receiveChange.bind(this));
    handlers.on(calls.notice, this.receiveNotice.bind(this));
    handlers.on(calls.beat, this.receiveHeartbeat.bind(this));
    dial.on("up", this.addControlNode.bind(this));
    dial.on("down", this.removeControlNode.bind(this));
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

  private requestTopics(control: controlNode.ControlNode, topics: schema.Wanted[]): void {
    control.link.send(calls.follow, { place: control.feedIncarnation, topics });
  }

  private receiveHeartbeat(from: link.Link, beat: schema.Beat): null {
    this.dial.receiveHeartbeat(from, beat);
    return null;
  }

  private isFresh(control: controlNode.ControlNode): boolean {
    return control.link.isOpen && this.clock.now() - control.heartbeatAt < HEARTBEAT_FRESH_MS;
  }

  private rankOf(control: controlNode.ControlNode): number {
    let rank = control.node.region === this.region ? 0 : 1;
    // One that no majority confirmed lately says so: others come first.
    if (!controlNode.isConfirmed(control)) rank += 4;
    if (!this.isFresh(control)) rank += 8;
    return rank;
  }

  /** Follows the best control node; moves only when another is better by rank, and then asks for differences. */
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
    const topics: schema.Wanted[] = [];
    for (const topic of this.subscribed) {
      topics.push(this.replica.subscription(topic, topic === feedTopics.REGISTER_TOPIC ? "notices" : "none", control.feedIncarnation));
    }
    this.requestTopics(control, topics);
  }

  /** Follows what is wanted by now, and no longer what is not. */
  updateSubscriptions(): void {
    this.resubscribe(this.subscribed);
  }

  /** `told`: what the main control node knows to be followed. */
  private resubscribe(told: ReadonlySet<string>): void {
    const { primary: main, replica: mirror } = this;
    if (!main) return;
    const wanted = new Set([feedTopics.REGISTER_TOPIC, ...this.topics()]);
    const topics: schema.Wanted[] = [];
    for (const topic of wanted) if (!told.has(topic)) topics.push(mirror.subscription(topic, "items", main.feedIncarnation));
    for (const topic of this.subscribed) {
      if (wanted.has(topic)) continue;
      if (told.has(topic)) topics.push(mirror.subscription(topic, "none", main.feedIncarnation));
      const keys = mirror.remove(topic);
      this.listener.onUnsubscribe(topic, keys);
    }
    this.subscribed = wanted;
    if (topics.length > 0) this.requestTopics(main, topics);
  }

  /** Whether each wanted topic of a kind has had its first view. */
  hasAllTopics(isAsked: (topic: string) => boolean): boolean {
    for (const topic of this.topics()) if (isAsked(topic) && !this.replica.has(topic)) return false;
    return true;
  }

  private controlOf(from: link.Link): controlNode.ControlNode | null {
    for (const control of this.dial.controls.values()) if (control.link === from) return control;
    return null;
  }

  private receiveChange(from: link.Link, change: schema.Change): null {
    const { topic } = change;
    // The register may come from any; of the rest the main one's word counts.
    if (topic !== feedTopics.REGISTER_TOPIC && (this.primary?.link !== from || !this.subscribed.has(topic))) return null;
    const outcome = this.replica.applyChange(change);
    if (outcome.kind === "applied") this.listener.onChange(outcome);
    else if (outcome.kind === "gap" || outcome.kind === "mismatch") this.scheduleRepair(from, topic, outcome.kind === "mismatch");
    return null;
  }

  /** After a gap what is missing, after a mismatch all; one question at a time for each topic. */
  private scheduleRepair(from: link.Link, topic: string, isAll: boolean): void {
    if (this.pendingRequests.has(topic)) return;
    this.pendingRequests.add(topic);
    const repair = this.again.bind(this, from, topic, isAll);
    this.clock.schedule(isAll ? MISMATCH_REPAIR_DELAY_MS : GAP_REPAIR_DELAY_MS, repair);
  }

  private again(from: link.Link, topic: string, isAll: boolean): void {
    this.pendingRequests.delete(topic);
    const control = this.controlOf(from);
    if (!control) return;
    const mode = control === this.primary && this.subscribed.has(topic) ? "items" : "once";
    this.requestTopics(control, [
      isAll ? this.replica.snapshotSubscription(topic, mode) : this.replica.subscription(topic, mode, control.feedIncarnation),
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
    const requestLateRegister = this.late.bind(this);
    this.clock.schedule(ms, requestLateRegister);
  }

  /** The main control node has not brought what another noticed: that one is asked, later the next one. */
  private late(): void {
    this.isLateCheckScheduled = false;
    const held = this.replica.stamp(feedTopics.REGISTER_TOPIC);
    for (const [control, stamp] of this.noticedStamps) {
      if (stamp <= held || !control.link.isOpen) continue;
      log.count("feed.late");
      this.requestTopics(control, [this.replica.subscription(feedTopics.REGISTER_TOPIC, "once", control.feedIncarnation)]);
      // It goes to the end: each is asked in turn.
      this.noticedStamps.delete(control);
      this.noticedStamps.set(control, stamp);
      this.scheduleLateCheck(LATE_CHECK_INTERVAL_MS);
      return;
    }
  }
}
