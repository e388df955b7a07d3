// Keeps one link to each known control node: from the seeds, later from what is told (design 4.2).
import * as events from "node:events";
import * as calls from "../wire/calls.js";
import * as link from "../wire/link.js";
import * as schema from "../wire/schema.js";
import * as types from "../wire/types.js";
import * as log from "../startup/log.js";

const CONNECT_MS = 900;
const FIRST_PAUSE_MS = 150;
const MOST_PAUSE_MS = 1500;
const MOST_LINKS = 16;

export interface Control {
  address: string;
  node: schema.NodeInfo;
  place: string;
  link: link.Link;
  beat: schema.Beat | null;
  beatAt: number;
  tripMs: number;
}

export interface DialerEvents {
  up: [control: Control];
  down: [control: Control];
}

interface Target {
  state: "idle" | "dialing" | "up";
  notBefore: number;
  pauseMs: number;
}

export class Dialer extends events.EventEmitter<DialerEvents> {
  readonly controls = new Map<string, Control>();
  private readonly targets = new Map<string, Target>();
  private isOver = false;

  constructor(
    private readonly world: types.World,
    private readonly own: string,
    private readonly handlers: link.Handlers,
    private readonly describe: () => schema.NodeInfo,
    private readonly silentMs: number,
  ) {
    super();
  }

  know(addresses: Iterable<string>): void {
    for (const address of addresses) {
      if (address === this.own || this.targets.has(address) || address === "") continue;
      this.targets.set(address, { state: "idle", notBefore: 0, pauseMs: FIRST_PAUSE_MS });
    }
  }

  addresses(): string[] {
    return [...this.controls.keys()];
  }

  turn(): void {
    if (this.isOver) return;
    const now = this.world.now();
    for (const control of [...this.controls.values()]) {
      if (control.link.silentMs() > this.silentMs) control.link.end("silent");
    }
    for (const [address, target] of this.targets) {
      if (target.state !== "idle" || target.notBefore > now || this.controls.size >= MOST_LINKS) continue;
      target.state = "dialing";
      void this.dial(address, target);
    }
  }

  private async dial(address: string, target: Target): Promise<void> {
    const made = await link.connect(this.world, address, this.handlers, CONNECT_MS);
    const asked = this.world.now();
    const known = made ? await made.call(calls.hello, { node: this.describe() }, CONNECT_MS) : null;
    if (!made || !known || !made.isOpen || this.isOver) {
      made?.end("no hello");
      target.state = "idle";
      target.notBefore = this.world.now() + target.pauseMs * (0.7 + 0.6 * this.world.random());
      target.pauseMs = Math.min(MOST_PAUSE_MS, target.pauseMs * 2);
      return;
    }
    target.state = "up";
    target.pauseMs = FIRST_PAUSE_MS;
    const control: Control = {
      address, node: known.node, place: known.place, link: made, beat: null,
      beatAt: this.world.now(), tripMs: this.world.now() - asked,
    };
    this.controls.set(address, control);
    this.know(known.controls);
    made.once("end", this.ended.bind(this, control, target));
    log.state(`link: up to ${known.node.name}`);
    this.emit("up", control);
  }

  private ended(control: Control, target: Target, cause: string): void {
    this.controls.delete(control.address);
    target.state = "idle";
    target.notBefore = this.world.now() + FIRST_PAUSE_MS;
    log.state(`link: down to ${control.node.name}: ${cause}`);
    this.emit("down", control);
  }

  heard(from: link.Link, beat: schema.Beat): void {
    for (const control of this.controls.values()) {
      if (control.link !== from) continue;
      control.beat = beat;
      control.beatAt = this.world.now();
      return;
    }
  }

  tellAll(beat: schema.Beat): void {
    for (const control of this.controls.values()) control.link.tell(calls.beat, beat);
  }

  end(): void {
    this.isOver = true;
    for (const control of [...this.controls.values()]) control.link.end("leaving");
  }
}
