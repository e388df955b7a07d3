// The simulated network between the core's nodes: losses, cuts, late and doubled messages, and links that end.
import type * as calls from "../../src/wire/calls.js";
import * as link from "../../src/wire/link.js";
import * as nodes from "./node.js";
import type * as clock from "./clock.js";

const FASTEST_MS = 5;
const JITTER_MS = 50;
/** A mutation that makes up replies of silent voters does so before the round ends. */
const LIE_MS = 400;

/** Shares of messages, each in 0 to 1. */
export interface Weather {
  lost: number;
  doubled: number;
  late: number;
}

export const CALM: Weather = { lost: 0, doubled: 0, late: 0 };

export class Network {
  readonly nodes = new Map<string, nodes.ModelNode>();
  readonly cuts = new Set<string>();
  weather: Weather = CALM;
  /** A message that is late comes up to so much later. */
  latestMs = 4000;

  constructor(readonly clock: clock.ModelClock) {}

  /** Numbers name nodes, whatever has become of the set meanwhile. */
  node(index: number): nodes.ModelNode {
    const all = [...this.nodes.values()];
    return all[index % all.length];
  }

  cut(from: string, to: string): void {
    this.cuts.add(`${from}>${to}`);
  }

  heal(): void {
    this.cuts.clear();
  }

  isConnected(from: string, to: string): boolean {
    const target = this.nodes.get(to);
    return target !== undefined && target.isUp && !this.isCut(from, to) && !this.isCut(to, from);
  }

  private isCut(from: string, to: string): boolean {
    return this.cuts.has(`${from}>${to}`);
  }

  /** Delivers no, one or two copies; `receive` runs in the target's process, unless that has ended since. */
  send(from: string, target: nodes.ModelNode, receive: () => void): void {
    const { clock, weather } = this;
    if (this.isCut(from, target.address) || clock.random() < weather.lost) return;
    const copies = clock.random() < weather.doubled ? 2 : 1;
    const deliver = target.deliver.bind(target, target.generation, receive);
    for (let copy = 0; copy < copies; copy += 1) {
      const lateMs = clock.random() < weather.late || copy > 0 ? clock.random() * this.latestMs : 0;
      clock.schedule(FASTEST_MS + clock.random() * JITTER_MS + lateMs, deliver);
    }
  }
}

/** One end of a link; messages pass through their wire schemas. */
export class ModelLink {
  isOpen = true;
  /** The process of the other side that this link goes to. */
  readonly generation: number;
  heardMs: number;

  constructor(
    private readonly network: Network,
    private readonly from: nodes.ModelNode,
    readonly to: nodes.ModelNode,
  ) {
    this.heardMs = network.clock.now();
    this.generation = to.generation;
  }

  /** The cores only ever call, tell and ask how long the other side was silent. */
  asLink(): link.Link {
    return this as unknown as link.Link;
  }

  idleMs(): number {
    return this.network.clock.now() - this.heardMs;
  }

  send<Ask, Reply>(pair: calls.Call<Ask, Reply>, ask: Ask): void {
    if (!this.isOpen) return;
    this.network.send(
      this.from.address,
      this.to,
      this.handle.bind(this, pair as calls.Call<unknown, unknown>, pair.request.toBuffer(ask), null),
    );
  }

  call<Ask, Reply>(pair: calls.Call<Ask, Reply>, ask: Ask, withinMs: number): Promise<Reply | null> {
    if (!this.isOpen) return Promise.resolve(null);
    const { network, from, to } = this;
    const handle = this.handle.bind(this, pair as calls.Call<unknown, unknown>, pair.request.toBuffer(ask));
    const silent = from.mutations.replyOfSilence(pair, ask) as Reply | null;
    return new Promise(function start(resolve) {
      const timer = from.clock.schedule(silent ? Math.min(withinMs, LIE_MS) : withinMs, giveUp);
      function giveUp(): void {
        resolve(silent);
      }
      function receive(bytes: Buffer): void {
        timer.stop();
        resolve(pair.reply.fromBuffer(bytes));
      }
      function answer(bytes: Buffer): void {
        network.send(to.address, from, receive.bind(null, bytes));
      }
      network.send(from.address, to, handle.bind(null, answer));
    });
  }

  private handle(pair: calls.Call<unknown, unknown>, bytes: Buffer, answer: ((reply: Buffer) => void) | null): void {
    const run = this.to.handlers.get(pair.code);
    if (!run) return;
    const back = this.to.links.get(this.from.address) ?? new ModelLink(this.network, this.to, this.from);
    void Promise.resolve(run(back.asLink(), pair.request.fromBuffer(bytes) as never)).then(reply);
    function reply(made: unknown): void {
      if (answer && made !== null && made !== undefined) answer(pair.reply.toBuffer(made));
    }
  }
}
