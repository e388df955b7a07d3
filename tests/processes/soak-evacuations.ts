// The operator of a zone in a soak: it evacuates the zone and takes it back in turn, asks a node that stands still once, moves on
// after a second of silence, and sends newer orders to the others only. No order of its may act after a newer one was acknowledged (review/1).
import * as simulatedClock from "../sim/simulated-clock.js";
import * as callers from "./callers.js";
import * as nodes from "./nodes.js";
import type * as soakClients from "./soak-clients.js";

const ZONE = "z1";
const PATIENCE_MS = 1000;
/** A caller that keeps its connection open while it asks elsewhere waits for so long. */
const LONG_PATIENCE_MS = 20_000;
const RETRY_PAUSE_MS = 50;
const POLL_PAUSE_MS = 50;
const SHORT_WATCH_MS = 200;
/** So long after all nodes go on, whatever waited has been read. */
const SETTLE_MS = 1000;

interface Register {
  epoch: number;
  evacuations: string[];
}

/** One for each soak. */
export class EvacuationClient implements soakClients.Client {
  /** Each epoch in which a node told another state than the acknowledged one, while no newer order was sent. */
  readonly findings = new Map<number, string>();
  acknowledged = 0;
  /** Orders that a node did not answer within the operator's patience. */
  unanswered = 0;
  /** What was ordered of a node that stands still: it may not have read that; null where nothing was. */
  private unread: boolean | null = null;
  private readonly random: simulatedClock.SimulatedClock;
  private isOver = false;

  constructor(
    private readonly controls: number,
    seed: number,
    /** The control nodes that stand still now. */
    private readonly paused: ReadonlySet<number>,
  ) {
    this.random = new simulatedClock.SimulatedClock(seed * 7919 + 3);
  }

  stop(): void {
    this.isOver = true;
  }

  async run(): Promise<void> {
    for (let isStart = true; !this.isOver; isStart = !isStart) {
      const node = await this.order(isStart);
      if (node !== null) await this.watch(node, isStart);
    }
  }

  /** Sends the order to one node after the other until it is acknowledged; the node that did. */
  private async order(isStart: boolean): Promise<number | null> {
    for (let turn = 0; !this.isOver; turn += 1) {
      const node = this.nextNode(isStart);
      const reply = await this.ask(node, `/-/Evacuations.${isStart ? "Start" : "Stop"}/${ZONE}`);
      if (reply?.status === 200) {
        this.acknowledged += 1;
        return node;
      }
      if (reply === null) this.unanswered += 1;
      await nodes.pause(RETRY_PAUSE_MS * (turn + 1));
    }
    return null;
  }

  private nextNode(isStart: boolean): number {
    const [stopped] = this.paused;
    if (stopped === undefined) this.unread = null;
    else if (this.unread === null) {
      this.unread = isStart;
      return stopped;
    }
    const others = Array.from({ length: this.controls }, (_, index) => index).filter((index) => !this.paused.has(index));
    return others[Math.floor(this.random.random() * others.length)];
  }

  /** Null after a second of silence: then the connection is closed, or left open, by chance. */
  private ask(node: number, path: string): Promise<callers.Reply | null> {
    const address = nodes.controlOf(node);
    const leaves = this.random.random() < 0.5;
    const reply = callers.call(address, "POST", path, {}, "", leaves ? PATIENCE_MS : LONG_PATIENCE_MS);
    return leaves ? reply : Promise.race([reply, nodes.pause(PATIENCE_MS).then(() => null)]);
  }

  /** No node knows another state of an epoch since the acknowledgement, as long as no other order is sent. */
  private async watch(node: number, isStart: boolean): Promise<void> {
    const first = await this.registerOf(node);
    if (!first) return;
    this.check(first, isStart, node);
    const isOpposite = this.unread === !isStart;
    let until = performance.now() + SHORT_WATCH_MS;
    while (!this.isOver && performance.now() < until) {
      if (isOpposite && this.paused.size > 0) until = performance.now() + SETTLE_MS;
      for (let other = 0; other < this.controls; other += 1) {
        const register = this.paused.has(other) ? null : await this.registerOf(other);
        if (register && register.epoch >= first.epoch) this.check(register, isStart, other);
      }
      await nodes.pause(POLL_PAUSE_MS);
    }
  }

  private async registerOf(node: number): Promise<Register | null> {
    const reply = await callers.call(nodes.controlOf(node), "GET", "/-/status", {}, "", PATIENCE_MS);
    return reply?.status === 200 ? (JSON.parse(reply.body) as { register: Register | null }).register : null;
  }

  private check({ epoch, evacuations }: Register, isStart: boolean, node: number): void {
    if (evacuations.includes(ZONE) === isStart) return;
    const [ordered, found] = isStart ? ["Start", "not evacuated"] : ["Stop", "evacuated"];
    const what = `${ordered} of ${ZONE} was acknowledged, and with no order since it is ${found}`;
    this.findings.set(epoch, `${what} in epoch ${epoch} (control-${node})`);
  }
}
