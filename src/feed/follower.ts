// The router's side of the feed (design 6.4, design/parts 3): one control node followed for the items of all
// wanted topics, the others for notices of the register alone. A notice of more than the main one brings in time is
// asked for where it came from; never backwards.
import * as calls from "../wire/calls.js";
import * as link from "../wire/link.js";
import * as schema from "../wire/schema.js";
import * as types from "../wire/types.js";
import * as log from "../runtime/log.js";
import * as dialer from "./dialer.js";
import * as feeds from "./feed.js";
import * as mirrors from "./mirror.js";

const FRESH_MS = 1300;
const LATE_MS = 150;
const LATE_AGAIN_MS = 500;
const GAP_MS = 20;
const MISMATCH_MS = 500;

/** Takes what a follower has applied. */
export interface Taker {
  /** What changed and what is gone of one topic, proved whole. */
  take(applied: mirrors.Applied): void;
  /** A topic is followed no longer; these were its items. */
  leave(topic: string, keys: readonly string[]): void;
}

/**
 * Keeps a mirror of the followed topics, all from one control node (`main`), and moves to another when that is better:
 * heard lately first, then confirmed by a majority, then of the own region.
 */
export class Follower {
  main: dialer.Control | null = null;
  readonly mirror = new mirrors.Mirror(new Set([feeds.REGISTER_TOPIC]));
  private followed = new Set<string>();
  private readonly asking = new Set<string>();
  private readonly noticed = new Map<dialer.Control, types.Stamp>();
  private isWaiting = false;

  constructor(
    private readonly clock: types.Clock,
    private readonly region: string,
    private readonly dial: dialer.Dialer,
    handlers: link.Handlers,
    private readonly topics: () => Iterable<string>,
    private readonly taker: Taker,
  ) {
    handlers.on(calls.change, this.take.bind(this));
    handlers.on(calls.notice, this.notice.bind(this));
    handlers.on(calls.beat, this.beat.bind(this));
    dial.on("up", this.up.bind(this));
    dial.on("down", this.down.bind(this));
  }

  private up(control: dialer.Control): void {
    this.ask(control, [this.mirror.wanted(feeds.REGISTER_TOPIC, "notices", control.place)]);
    this.elect();
  }

  private down(control: dialer.Control): void {
    this.noticed.delete(control);
    if (this.main === control) this.main = null;
    this.elect();
  }

  private ask(control: dialer.Control, topics: schema.Wanted[]): void {
    control.link.tell(calls.follow, { place: control.place, topics });
  }

  private beat(from: link.Link, beat: schema.Beat): null {
    this.dial.heard(from, beat);
    return null;
  }

  private isFresh(control: dialer.Control): boolean {
    return control.link.isOpen && this.clock.now() - control.beatAt < FRESH_MS;
  }

  private rankOf(control: dialer.Control): number {
    let rank = control.node.region === this.region ? 0 : 1;
    // One that no majority confirmed lately says so: others come first.
    if (!dialer.isConfirmed(control)) rank += 4;
    if (!this.isFresh(control)) rank += 8;
    return rank;
  }

  /** Follows the best control node; moves only when another is better by rank, and then asks for differences. */
  elect(): void {
    let best: dialer.Control | null = this.main;
    for (const control of this.dial.controls.values()) {
      if (!best || this.rankOf(control) < this.rankOf(best)) best = control;
    }
    if (!best || best === this.main) return;
    if (this.main) this.leave(this.main);
    this.main = best;
    log.state(`feed: following ${best.node.name}`);
    this.refollow(new Set());
  }

  private leave(control: dialer.Control): void {
    const topics: schema.Wanted[] = [];
    for (const topic of this.followed) {
      topics.push(this.mirror.wanted(topic, topic === feeds.REGISTER_TOPIC ? "notices" : "none", control.place));
    }
    this.ask(control, topics);
  }

  /** Follows what is wanted by now, and no longer what is not. */
  narrow(): void {
    this.refollow(this.followed);
  }

  /** `told`: what the main control node knows to be followed. */
  private refollow(told: ReadonlySet<string>): void {
    const { main, mirror } = this;
    if (!main) return;
    const wanted = new Set([feeds.REGISTER_TOPIC, ...this.topics()]);
    const topics: schema.Wanted[] = [];
    for (const topic of wanted) if (!told.has(topic)) topics.push(mirror.wanted(topic, "items", main.place));
    for (const topic of this.followed) {
      if (wanted.has(topic)) continue;
      if (told.has(topic)) topics.push(mirror.wanted(topic, "none", main.place));
      const keys = mirror.forget(topic);
      this.taker.leave(topic, keys);
    }
    this.followed = wanted;
    if (topics.length > 0) this.ask(main, topics);
  }

  /** Whether each wanted topic of a kind has had its first view. */
  hasAll(isAsked: (topic: string) => boolean): boolean {
    for (const topic of this.topics()) if (isAsked(topic) && !this.mirror.has(topic)) return false;
    return true;
  }

  private controlOf(from: link.Link): dialer.Control | null {
    for (const control of this.dial.controls.values()) if (control.link === from) return control;
    return null;
  }

  private take(from: link.Link, change: schema.Change): null {
    const { topic } = change;
    // The register may come from any; of the rest the main one's word counts.
    if (topic !== feeds.REGISTER_TOPIC && (this.main?.link !== from || !this.followed.has(topic))) return null;
    const outcome = this.mirror.take(change);
    if (outcome.kind === "applied") this.taker.take(outcome);
    else if (outcome.kind === "gap" || outcome.kind === "mismatch") this.askAgain(from, topic, outcome.kind === "mismatch");
    return null;
  }

  /** After a gap what is missing, after a mismatch all; one question at a time for each topic. */
  private askAgain(from: link.Link, topic: string, isAll: boolean): void {
    if (this.asking.has(topic)) return;
    this.asking.add(topic);
    const again = this.again.bind(this, from, topic, isAll);
    this.clock.schedule(isAll ? MISMATCH_MS : GAP_MS, again);
  }

  private again(from: link.Link, topic: string, isAll: boolean): void {
    this.asking.delete(topic);
    const control = this.controlOf(from);
    if (!control) return;
    const mode = control === this.main && this.followed.has(topic) ? "items" : "once";
    this.ask(control, [isAll ? this.mirror.wantedView(topic, mode) : this.mirror.wanted(topic, mode, control.place)]);
  }

  private notice(from: link.Link, notice: schema.Notice): null {
    const control = this.controlOf(from);
    if (!control || notice.topic !== feeds.REGISTER_TOPIC) return null;
    this.noticed.set(control, notice.stamp);
    if (notice.stamp > this.mirror.stamp(feeds.REGISTER_TOPIC)) this.waitFor(LATE_MS);
    return null;
  }

  private waitFor(ms: number): void {
    if (this.isWaiting) return;
    this.isWaiting = true;
    const late = this.late.bind(this);
    this.clock.schedule(ms, late);
  }

  /** The main control node has not brought what another noticed: that one is asked, later the next one. */
  private late(): void {
    this.isWaiting = false;
    const held = this.mirror.stamp(feeds.REGISTER_TOPIC);
    for (const [control, stamp] of this.noticed) {
      if (stamp <= held || !control.link.isOpen) continue;
      log.count("feed.late");
      this.ask(control, [this.mirror.wanted(feeds.REGISTER_TOPIC, "once", control.place)]);
      // It goes to the end: each is asked in turn.
      this.noticed.delete(control);
      this.noticed.set(control, stamp);
      this.waitFor(LATE_AGAIN_MS);
      return;
    }
  }
}
