// Links between whole processes: each direction can be cut by itself and each process can stand still; what is on its
// way then is late, never lost, as with TCP.
import * as events from "node:events";
import type * as net from "node:net";
import * as link from "../../src/wire/link.js";
import type * as types from "../../src/wire/types.js";
import type * as simulatedClock from "./simulated-clock.js";

const DELAY_MS = 5;
const POLL_MS = 10;
/** A connection that can't be made is given up after so long. */
const CONNECT_MS = 900;

export class SimNetwork {
  /** "FROM>TO": nothing passes that way. */
  readonly cuts = new Set<string>();
  readonly frozen = new Set<string>();
  readonly delays = new Map<string, number>();
  /** Whether a connection that is begun during a cut fails even where the cut heals meanwhile, as when its first packet is lost. */
  losesDials = false;
  private readonly listening = new Map<string, link.Handlers>();

  constructor(readonly clock: simulatedClock.SimulatedClock) {}

  listen(name: string, handlers: link.Handlers): void {
    this.listening.set(name, handlers);
  }

  close(name: string): void {
    this.listening.delete(name);
  }

  /** Cuts one group from another, both ways. */
  cut(some: readonly string[], others: readonly string[]): void {
    for (const left of some) for (const right of others) this.cuts.add(`${left}>${right}`).add(`${right}>${left}`);
  }

  passes(from: string, to: string): boolean {
    return !this.cuts.has(`${from}>${to}`) && !this.frozen.has(to) && !this.frozen.has(from);
  }

  delayMs(from: string, to: string): number {
    return this.delays.get(`${from}>${to}`) ?? DELAY_MS;
  }

  /** address: NAME:1. */
  async connect(from: string, address: string, handlers: link.Handlers, clock: types.Clock): Promise<link.Link | null> {
    const to = address.slice(0, address.indexOf(":"));
    const until = this.clock.now() + CONNECT_MS;
    const isLost = this.losesDials && !(this.passes(from, to) && this.passes(to, from));
    while (isLost || !this.passes(from, to) || !this.passes(to, from)) {
      if (this.clock.now() >= until) return null;
      await this.wait(POLL_MS);
    }
    await this.wait(2 * this.delayMs(from, to));
    const target = this.listening.get(to);
    if (!target) return null;
    const near = new SimSocket(this, from);
    const far = new SimSocket(this, to);
    near.other = far;
    far.other = near;
    new link.Link(new NodeWorld(this, to), far as unknown as net.Socket, target);
    return new link.Link(clock, near as unknown as net.Socket, handlers);
  }

  private wait(ms: number): Promise<void> {
    return new Promise((resolve) => this.clock.schedule(ms, resolve));
  }
}

/** A process's own view of the clock: its timers run late when it stood still. */
export class NodeWorld implements types.Clock {
  constructor(
    private readonly network: SimNetwork,
    private readonly name: string,
  ) {}

  now(): types.SteadyMs {
    return this.network.clock.now();
  }

  random(): number {
    return this.network.clock.random();
  }

  schedule(ms: number, run: () => void): types.Timer {
    let isStopped = false;
    const due = (): void => {
      if (isStopped) return;
      if (this.network.frozen.has(this.name)) this.network.clock.schedule(POLL_MS, due);
      else run();
    };
    this.network.clock.schedule(ms, due);
    return {
      stop(): void {
        isStopped = true;
      },
    };
  }
}

/** One end of a connection; what is written comes out of the other end in order. */
class SimSocket extends events.EventEmitter {
  readonly writableLength = 0;
  readonly remoteAddress = "sim";
  other: SimSocket | null = null;
  private readonly queue: (Buffer | null)[] = [];
  private isDelivering = false;

  constructor(
    private readonly network: SimNetwork,
    private readonly owner: string,
  ) {
    super();
  }

  setNoDelay(): void {}

  write(bytes: Buffer): void {
    this.send(bytes);
  }

  destroy(): void {
    this.send(null);
  }

  end(): void {
    this.send(null);
  }

  private send(item: Buffer | null): void {
    if (!this.other) return;
    this.queue.push(item);
    if (this.isDelivering) return;
    this.isDelivering = true;
    this.network.clock.schedule(this.network.delayMs(this.owner, this.other.owner), () => this.deliver());
  }

  private deliver(): void {
    const { other } = this;
    this.isDelivering = false;
    if (!other) return;
    if (this.network.passes(this.owner, other.owner)) {
      for (const item of this.queue.splice(0)) this.hand(other, item);
      return;
    }
    this.isDelivering = true;
    this.network.clock.schedule(POLL_MS, () => this.deliver());
  }

  private hand(other: SimSocket, item: Buffer | null): void {
    if (item) other.emit("data", item);
    else {
      other.other = null;
      other.emit("close");
    }
  }
}
