// Keeps links to the known control nodes, to all or to those that a selector names: from the seeds, later from what is told (design 4.2).
import * as events from "node:events";
import * as calls from "../wire/calls.js";
import * as link from "../wire/link.js";
import * as schema from "../wire/schema.js";
import * as types from "../wire/types.js";
import * as log from "../runtime/log.js";
import type * as sessionSelector from "./session-selector.js";
import * as controlLink from "./control-link.js";
import type { Control, Target } from "./control-link.js";

export { isConfirmed, isFresh, isHeard, isHeardConfirmed, isLeaving, type Control, type Target } from "./control-link.js";

const CONNECT_MS = 900;
const FIRST_PAUSE_MS = 150;
const MAX_PAUSE_MS = 1500;
/** The same between control nodes, which are few: nothing is confirmed until a majority of them is in touch again (*ours*). */
const MAX_PEER_PAUSE_MS = 400;
/** A dial of a control node under way for so long gets another beside it. */
const STALE_DIAL_MS = 400;
const MAX_LINKS = 16;
/** Retries of one that is not needed now. */
const CALM_PAUSE_MS = 6000;
/** A region whose control nodes were all silent for so long is cut off from here. */
const CUT_MS = 750;

/** What happens to links with control nodes. */
export interface DialerEvents {
  up: [control: Control];
  down: [control: Control];
  /** A beat of it came. */
  beat: [control: Control];
}

/** What a dial came to. */
interface Met {
  link: link.Link;
  known: schema.Known;
  /** How long its hello took, there and back, in milliseconds. */
  tripMs: number;
}

/**
 * Keeps links to control nodes: dials known addresses, with pauses that grow after failures, and ends links that are
 * silent. Emits "up" after a hello, "beat" with each beat, "down" when a link has ended.
 */
export class Dialer extends events.EventEmitter<DialerEvents> {
  readonly controls = new Map<string, Control>();
  readonly targets = new Map<string, Target>();
  private isOver = false;

  constructor(
    private readonly clock: types.Clock,
    private readonly own: string,
    private readonly handlers: link.Handlers,
    private readonly describe: () => schema.NodeInfo,
    private readonly silentMs: number,
    private readonly selector: sessionSelector.SessionSelector | null = null,
  ) {
    super();
  }

  /** Hears of control nodes from those with links. */
  register(handlers: link.Handlers): void {
    handlers.on(calls.controls, (_from, told) => {
      this.learn(told.controls);
      return null;
    });
  }

  /** Addresses that may be control nodes; the own one and known ones are passed over. */
  know(addresses: Iterable<string>): void {
    for (const address of addresses) {
      if (address === this.own || this.targets.has(address) || address === "") continue;
      this.targets.set(address, controlLink.newTarget(FIRST_PAUSE_MS));
    }
  }

  /** The node at the address has just reached this one: its dial waits for no pause, nor for an older dial without a reply. */
  inReach(address: string): void {
    this.know([address]);
    const target = this.targets.get(address);
    if (target && (target.state === "idle" || this.isStale(target))) this.begin(address, target);
  }

  /** Control nodes told of by others, with where they stand. */
  learn(controls: Iterable<schema.ControlInfo>): void {
    for (const { address, region } of controls) {
      this.know([address]);
      const target = this.targets.get(address);
      if (target && region !== "") target.region = region;
    }
  }

  /** The control nodes with links now. */
  met(): schema.ControlInfo[] {
    const met: schema.ControlInfo[] = [];
    for (const { address, node } of this.controls.values()) met.push({ address, name: node.name, zone: node.zone, region: node.region });
    return met;
  }

  links(): link.Link[] {
    const links: link.Link[] = [];
    for (const control of this.controls.values()) links.push(control.link);
    return links;
  }

  /** Regions all whose control nodes with links fell silent. */
  silentRegions(): string[] {
    const silent = new Map<string, boolean>();
    for (const { node, link: held } of this.controls.values()) {
      silent.set(node.region, (silent.get(node.region) ?? true) && held.silentMs() > CUT_MS);
    }
    const regions: string[] = [];
    for (const [region, isSilent] of silent) if (isSilent) regions.push(region);
    return regions;
  }

  /** Addresses of the control nodes with links. */
  addresses(): string[] {
    return [...this.controls.keys()];
  }

  /** Ends silent links and dials what is due; called each 100 ms. */
  turn(): void {
    if (this.isOver) return;
    const now = this.clock.now();
    for (const control of [...this.controls.values()]) {
      if (control.link.silentMs() > this.silentMs) control.link.end("silent");
    }
    this.selector?.plan(this.targets, this.controls);
    for (const [address, target] of this.targets) {
      if (this.selector && target.dueAt > now) continue;
      const isDue = target.state === "idle" ? target.notBefore <= now : !this.selector && this.isStale(target);
      if (isDue) this.begin(address, target);
    }
  }

  /** Whether a connection is tried in vain for so long that its first packet may be lost. */
  private isStale(target: Target): boolean {
    return target.state === "dialing" && this.clock.now() - target.dialedAt >= STALE_DIAL_MS;
  }

  private begin(address: string, target: Target): void {
    if (this.isOver || this.controls.size >= MAX_LINKS) return;
    if (target.state === "dialing") target.failures += 1;
    target.state = "dialing";
    target.dialedAt = this.clock.now();
    void this.dial(address, target);
  }

  /** Simulations hand in links of their own here. */
  protected connect(address: string): Promise<link.Link | null> {
    return link.connect(this.clock, address, this.handlers, CONNECT_MS);
  }

  private async dial(address: string, target: Target): Promise<void> {
    const { dialedAt } = target;
    const made = await this.connect(address);
    if (target.state !== "dialing" || this.isOver) {
      // Another dial beside this one was sooner: a second hello would end its session.
      made?.end("another dial was sooner");
      return;
    }
    if (made) await this.greet(address, target, made);
    else if (target.dialedAt === dialedAt) this.pause(target);
  }

  private async greet(address: string, target: Target, made: link.Link): Promise<void> {
    target.state = "greeting";
    const asked = this.clock.now();
    const known = await made.call(calls.hello, { node: this.describe() }, CONNECT_MS);
    if (known && made.isOpen && !this.isOver) {
      this.hold(address, target, { link: made, known, tripMs: this.clock.now() - asked });
      return;
    }
    made.end("no hello");
    this.pause(target);
  }

  private mostPauseMs(): number {
    if (!this.selector) return MAX_PEER_PAUSE_MS;
    return this.selector.hasEnough ? CALM_PAUSE_MS : MAX_PAUSE_MS;
  }

  private pause(target: Target): void {
    const mostMs = this.mostPauseMs();
    target.state = "idle";
    target.failures += 1;
    this.selector?.forget(target);
    target.notBefore = this.clock.now() + Math.min(mostMs, target.pauseMs) * (0.7 + 0.6 * this.clock.random());
    target.pauseMs = Math.min(mostMs, target.pauseMs * 2);
  }

  private hold(address: string, target: Target, met: Met): void {
    const { link: made, known, tripMs } = met;
    target.state = "up";
    target.pauseMs = FIRST_PAUSE_MS;
    target.failures = 0;
    target.isReleased = false;
    target.region = known.node.region;
    this.selector?.forget(target);
    const control: Control = {
      address,
      node: known.node,
      place: known.place,
      link: made,
      beat: null,
      beatAt: this.clock.now(),
      wasConfirmed: known.isConfirmed,
      tripMs,
    };
    this.controls.set(address, control);
    this.learn(known.controls);
    made.once("end", this.ended.bind(this, control, target));
    log.state(`link: up to ${known.node.name}`);
    this.emit("up", control);
  }

  private ended(control: Control, target: Target, cause: string): void {
    this.controls.delete(control.address);
    target.state = "idle";
    if (!target.isReleased) target.failures = 1;
    target.notBefore = this.clock.now() + FIRST_PAUSE_MS;
    log.state(`link: down to ${control.node.name}: ${cause}`);
    this.emit("down", control);
  }

  /** A beat came over a link; one over a link that this side did not dial is passed over. */
  heard(from: link.Link, beat: schema.Beat): void {
    for (const control of this.controls.values()) {
      if (control.link !== from) continue;
      control.beat = beat;
      control.beatAt = this.clock.now();
      this.emit("beat", control);
      return;
    }
  }

  /** Sends a beat to all control nodes with links. */
  tellAll(beat: schema.Beat): void {
    for (const control of this.controls.values()) control.link.tell(calls.beat, beat);
  }

  /** Ends all links for good. */
  end(): void {
    this.isOver = true;
    for (const control of [...this.controls.values()]) control.link.end("leaving");
  }
}
