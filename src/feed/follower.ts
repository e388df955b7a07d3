// The router's side of the feed: one control node followed in full, the others for the register alone, so
// that whichever hears of a new epoch first brings it; never backwards (design 6.4).
import * as calls from "../wire/calls.js";
import * as link from "../wire/link.js";
import * as schema from "../wire/schema.js";
import * as types from "../wire/types.js";
import * as log from "../startup/log.js";
import * as dialers from "./dialer.js";
import * as feeds from "./feed.js";

const FRESH_MS = 1300;

export interface Taker {
  takeRegister(value: schema.Value): void;
  takeList(instances: schema.Instance[]): void;
  takeReport(report: schema.CellReport): void;
}

export class Follower {
  main: dialers.Control | null = null;
  private readonly places = new Map<string, number>();
  private epoch = types.NO_EPOCH;

  constructor(
    private readonly world: types.World,
    private readonly region: string,
    private readonly dial: dialers.Dialer,
    handlers: link.Handlers,
    private readonly taker: Taker,
  ) {
    handlers.on(calls.change, this.take.bind(this));
    handlers.on(calls.beat, this.beat.bind(this));
    dial.on("up", this.up.bind(this));
    dial.on("down", this.down.bind(this));
  }

  private up(control: dialers.Control): void {
    control.link.tell(calls.follow, { place: "", from: 0, topics: [feeds.REGISTER_TOPIC] });
    this.elect();
  }

  private down(control: dialers.Control): void {
    if (this.main === control) this.main = null;
    this.elect();
  }

  private beat(from: link.Link, beat: schema.Beat): null {
    this.dial.heard(from, beat);
    return null;
  }

  private isFresh(control: dialers.Control): boolean {
    return control.link.isOpen && this.world.now() - control.beatAt < FRESH_MS;
  }

  private rankOf(control: dialers.Control): number {
    let rank = control.node.region === this.region ? 0 : 1;
    // One that has not confirmed with a majority lately says so: others come first.
    if (control.beat && !control.beat.isSettled) rank += 4;
    if (!this.isFresh(control)) rank += 8;
    return rank;
  }

  /** Follows the best control node in full; moves only when another is better by rank. */
  elect(): void {
    let best: dialers.Control | null = this.main;
    for (const control of this.dial.controls.values()) {
      if (!best || this.rankOf(control) < this.rankOf(best)) best = control;
    }
    if (!best || best === this.main) return;
    if (this.main) this.main.link.tell(calls.follow, { place: this.main.place, from: this.places.get(this.main.place) ?? 0, topics: [feeds.REGISTER_TOPIC] });
    this.main = best;
    log.state(`feed: following ${best.node.name}`);
    best.link.tell(calls.follow, { place: "", from: 0, topics: [] });
  }

  private take(from: link.Link, change: schema.Change): null {
    this.places.set(change.place, change.number);
    if (change.topic === feeds.REGISTER_TOPIC) {
      const { value } = schema.chosen.fromBuffer(change.body);
      if (value && value.epoch > this.epoch) {
        this.epoch = value.epoch;
        this.taker.takeRegister(value);
      }
      return null;
    }
    if (this.main?.link !== from) return null;
    if (change.topic === feeds.LIST_TOPIC) this.taker.takeList(schema.instanceList.fromBuffer(change.body).instances);
    else this.taker.takeReport(schema.cellReport.fromBuffer(change.body));
    return null;
  }
}
