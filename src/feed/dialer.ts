/** Keeps links to the known control nodes, to all of them or to those that a session selector chooses (design 4.2). */
import * as events from "node:events";
import * as calls from "../wire/calls.js";
import * as link from "../wire/link.js";
import * as schema from "../wire/schema.js";
import * as types from "../wire/types.js";
import * as log from "../runtime/log.js";
import type * as sessionSelector from "./session-selector.js";
import * as controlNode from "./control-node.js";
import type { ControlNode, DialTarget } from "./control-node.js";

const CONNECT_TIMEOUT_MS = 900;
const INITIAL_BACKOFF_MS = 150;
const MAX_BACKOFF_MS = 1500;
/** The maximum between control nodes, which are few: nothing is confirmed before a majority of them is in touch again. */
const MAX_PEER_BACKOFF_MS = 400;
/** A dial that takes longer gets a second one beside it. */
const STALE_DIAL_AFTER_MS = 400;
const MAX_LINKS = 16;
/** The maximum for a control node that is not needed now. */
const MAX_SPARE_BACKOFF_MS = 6000;
/** A region all of whose control nodes were silent for this long is taken for partitioned. */
const PARTITIONED_AFTER_MS = 750;

/** What happens to links with control nodes. */
export interface DialerEvents {
  up: [control: ControlNode];
  down: [control: ControlNode];
  /** A heartbeat of it came. */
  heartbeat: [control: ControlNode];
}

/** The result of a successful dial and hello. */
interface Handshake {
  link: link.Link;
  known: schema.Known;
  /** How long its hello took, there and back, in milliseconds. */
  roundTripMs: number;
}

/**
 * Keeps links to control nodes: dials known addresses, with exponential backoff after failures, and ends silent links. Emits "up"
 * after a hello, "heartbeat" with each heartbeat, "down" when a link has ended. `close` ends all links.
 */
export class Dialer extends events.EventEmitter<DialerEvents> {
  readonly controls = new Map<string, ControlNode>();
  readonly targets = new Map<string, DialTarget>();
  private isClosed = false;

  constructor(
    private readonly clock: types.Clock,
    private readonly ownAddress: string,
    private readonly handlers: link.Handlers,
    private readonly describe: () => schema.NodeInfo,
    private readonly linkTimeoutMs: number,
    private readonly selector: sessionSelector.SessionSelector | null = null,
  ) {
    super();
  }

  /** Registers the handler of announced control nodes. */
  registerHandlers(handlers: link.Handlers): void {
    handlers.on(calls.controls, (_from, announced) => {
      this.addControls(announced.controls);
      return null;
    });
  }

  /** Adds addresses that may be control nodes; the own one and known ones are ignored. */
  addAddresses(addresses: Iterable<string>): void {
    for (const address of addresses) {
      if (address === this.ownAddress || this.targets.has(address) || address === "") continue;
      this.targets.set(address, controlNode.newDialTarget(INITIAL_BACKOFF_MS));
    }
  }

  /** The node at the address has just reached this one: dials it without waiting for the backoff or for an older dial. */
  dialWithoutBackoff(address: string): void {
    this.addAddresses([address]);
    const target = this.targets.get(address);
    if (target && (target.state === "idle" || this.isStale(target))) this.startDial(address, target);
  }

  /** Adds control nodes that others announced, with their regions. */
  addControls(controls: Iterable<schema.ControlInfo>): void {
    for (const { address, region } of controls) {
      this.addAddresses([address]);
      const target = this.targets.get(address);
      if (target && region !== "") target.region = region;
    }
  }

  /** The control nodes with links now. */
  connectedControls(): schema.ControlInfo[] {
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
      silent.set(node.region, (silent.get(node.region) ?? true) && held.idleMs() > PARTITIONED_AFTER_MS);
    }
    const regions: string[] = [];
    for (const [region, isSilent] of silent) if (isSilent) regions.push(region);
    return regions;
  }

  /** Ends silent links and dials what is due; called each 100 ms. */
  maintainLinks(): void {
    if (this.isClosed) return;
    for (const control of [...this.controls.values()]) {
      if (control.link.idleMs() > this.linkTimeoutMs) control.link.end("silent");
    }
    this.selector?.planDials(this.targets, this.controls);
    // Read after the plan: what it makes due at once is dialled in this run.
    const now = this.clock.now();
    for (const [address, target] of this.targets) {
      if (this.selector && target.dueAt > now) continue;
      const isDue = target.state === "idle" ? target.notBefore <= now : !this.selector && this.isStale(target);
      if (isDue) this.startDial(address, target);
    }
  }

  /** Whether a connection attempt has taken so long that its first packet may be lost. */
  private isStale(target: DialTarget): boolean {
    return target.state === "dialing" && this.clock.now() - target.dialedAt >= STALE_DIAL_AFTER_MS;
  }

  private startDial(address: string, target: DialTarget): void {
    if (this.isClosed || this.controls.size >= MAX_LINKS) return;
    if (target.state === "dialing") target.failures += 1;
    target.state = "dialing";
    target.dialedAt = this.clock.now();
    void this.dial(address, target);
  }

  /** Overridden by simulations, which have links of their own. */
  protected connect(address: string): Promise<link.Link | null> {
    return link.connect(this.clock, address, this.handlers, CONNECT_TIMEOUT_MS);
  }

  private async dial(address: string, target: DialTarget): Promise<void> {
    const { dialedAt } = target;
    const made = await this.connect(address);
    if (target.state !== "dialing" || this.isClosed) {
      // Another dial beside this one was sooner: a second hello would end its session.
      made?.end("another dial was sooner");
      return;
    }
    if (made) await this.exchangeHello(address, target, made);
    else if (target.dialedAt === dialedAt) this.backOff(target);
  }

  private async exchangeHello(address: string, target: DialTarget, made: link.Link): Promise<void> {
    target.state = "greeting";
    const sentAt = this.clock.now();
    const known = await made.call(calls.hello, { node: this.describe() }, CONNECT_TIMEOUT_MS);
    if (known && made.isOpen && !this.isClosed) {
      this.addControlNode(address, target, { link: made, known, roundTripMs: this.clock.now() - sentAt });
      return;
    }
    made.end("no hello");
    this.backOff(target);
  }

  private maxBackoffMs(): number {
    if (!this.selector) return MAX_PEER_BACKOFF_MS;
    return this.selector.hasEnoughSessions ? MAX_SPARE_BACKOFF_MS : MAX_BACKOFF_MS;
  }

  private backOff(target: DialTarget): void {
    const maxMs = this.maxBackoffMs();
    target.state = "idle";
    target.failures += 1;
    this.selector?.clearDue(target);
    target.notBefore = this.clock.now() + Math.min(maxMs, target.backoffMs) * (0.7 + 0.6 * this.clock.random());
    target.backoffMs = Math.min(maxMs, target.backoffMs * 2);
  }

  private addControlNode(address: string, target: DialTarget, met: Handshake): void {
    const { link: made, known, roundTripMs: tripMs } = met;
    target.state = "up";
    target.backoffMs = INITIAL_BACKOFF_MS;
    target.failures = 0;
    target.isReleased = false;
    target.region = known.node.region;
    this.selector?.clearDue(target);
    const control: ControlNode = {
      address,
      node: known.node,
      feedIncarnation: known.place,
      link: made,
      heartbeat: null,
      heartbeatAt: this.clock.now(),
      wasConfirmed: known.isConfirmed,
      roundTripMs: tripMs,
    };
    this.controls.set(address, control);
    this.addControls(known.controls);
    made.once("end", (cause) => this.removeControlNode(control, target, cause));
    log.state(`link: up to ${known.node.name}`);
    this.emit("up", control);
  }

  private removeControlNode(control: ControlNode, target: DialTarget, cause: string): void {
    this.controls.delete(control.address);
    target.state = "idle";
    if (!target.isReleased) target.failures = 1;
    target.notBefore = this.clock.now() + INITIAL_BACKOFF_MS;
    log.state(`link: down to ${control.node.name}: ${cause}`);
    this.emit("down", control);
  }

  /** Records a heartbeat; one over a link that this side did not dial is ignored. */
  receiveHeartbeat(from: link.Link, beat: schema.Heartbeat): void {
    for (const control of this.controls.values()) {
      if (control.link !== from) continue;
      control.heartbeat = beat;
      control.heartbeatAt = this.clock.now();
      this.emit("heartbeat", control);
      return;
    }
  }

  /** Sends a heartbeat to all control nodes with links. */
  sendHeartbeats(beat: schema.Heartbeat): void {
    for (const control of this.controls.values()) control.link.send(calls.heartbeat, beat);
  }

  /** Ends all links for good. */
  close(): void {
    this.isClosed = true;
    for (const control of [...this.controls.values()]) control.link.end("leaving");
  }
}
