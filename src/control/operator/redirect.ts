// An operator's call that reaches a control node without contact to a majority goes on to one that has it
// (design/hardening/1-cut-off). Nothing is ever confirmed or refused by a minority.
import type * as types from "../../wire/types.js";
import * as log from "../../runtime/log.js";
import * as controlNode from "../../feed/control-node.js";
import type * as quorumContact from "../voters/quorum-contact.js";
import type * as serve from "../../wire/serve.js";

/** Answered by any node about itself. */
const STATUS_PATH = "/-/status";
/** A process that has only just started waits so long for its first confirmation, in ms: less than a caller's second of silence. */
const FIRST_MS = 800;
const RETRY_AFTER_S = "0.3";
/** At most so many nodes are remembered as confirmed before. */
const MAX_REMEMBERED = 16;

/** Where a call may be sent on to. */
interface Destination {
  name: string;
  /** Address of its operator's calls, host:port. */
  outside: string;
}

/** Stands before the operator's calls of one control node. */
export class Redirector {
  /** Nodes that said they were confirmed, by name, the newest word last; kept after their links went down. */
  private readonly remembered = new Map<string, Destination>();
  /** Moves on with each call that is sent to a remembered node, so that a caller that tries again reaches another one. */
  private attempts = 0;

  constructor(
    private readonly clock: types.Clock,
    private readonly contact: quorumContact.QuorumContact,
    private readonly controls: () => Iterable<controlNode.ControlNode>,
    private readonly next: serve.Reply,
  ) {}

  /** Replies as `next` does while this node is confirmed; else 307 to a confirmed one, or 503 at once. */
  async reply(asked: serve.Asked): Promise<serve.Told> {
    if (asked.path === STATUS_PATH) return this.next(asked);
    if (!this.contact.isConfirmed() && !this.contact.wasEverConfirmed) await this.within(FIRST_MS, "confirmed");
    if (!this.contact.isConfirmed()) return this.elsewhere(asked);
    return this.whileConfirmed(asked);
  }

  /** An order under way when contact is lost has no clear answer: sent again elsewhere it is taken once. */
  private whileConfirmed(asked: serve.Asked): Promise<serve.Told> {
    const { contact } = this;
    const next = Promise.resolve(this.next(asked));
    const elsewhere = this.elsewhere.bind(this, asked);
    return new Promise(function wait(resolve, reject) {
      contact.once("lost", lost);
      next.then(resolve, reject).finally(stop);
      function lost(): void {
        resolve(elsewhere());
      }
      function stop(): void {
        contact.removeListener("lost", lost);
      }
    });
  }

  private within(ms: number, event: "confirmed"): Promise<void> {
    const { contact, clock: world } = this;
    return new Promise(function wait(resolve) {
      const timer = world.schedule(ms, end);
      contact.once(event, end);
      function end(): void {
        timer.stop();
        contact.removeListener(event, end);
        resolve();
      }
    });
  }

  private elsewhere(asked: serve.Asked): serve.Told {
    const peer = this.confirmedPeer() ?? this.rememberedPeer();
    if (!peer) {
      log.count("operator.unconfirmed");
      const message = "no majority of the core is in contact with this node; send the call again, to any control node";
      return { status: 503, headers: { "Retry-After": RETRY_AFTER_S }, json: { message } };
    }
    log.count("operator.redirected");
    const query = asked.query.toString();
    const location = `http://${peer.outside}${asked.path}${query === "" ? "" : `?${query}`}`;
    return {
      status: 307,
      headers: { Location: location },
      json: { message: `send the call to ${peer.name}, which is or was in contact with a majority: ${location}` },
    };
  }

  /** Notes who is confirmed now; called with each heartbeat. */
  remember(): void {
    for (const control of this.controls()) if (this.isConfirmedNow(control)) this.note(control.node.name, control.node.outside);
  }

  private note(name: string, outside: string): void {
    this.remembered.delete(name);
    this.remembered.set(name, { name, outside });
    if (this.remembered.size > MAX_REMEMBERED) this.remembered.delete(this.remembered.keys().next().value!);
  }

  private isConfirmedNow(control: controlNode.ControlNode): boolean {
    return controlNode.isAliveAndConfirmed(control, this.clock.now()) && control.node.outside !== "";
  }

  /** The nearest one whose last beat said so lately; it sends nobody back here while this node isn't confirmed. */
  private confirmedPeer(): Destination | null {
    let nearest: controlNode.ControlNode | null = null;
    for (const control of this.controls()) {
      if (!this.isConfirmedNow(control)) continue;
      if (!nearest || control.roundTripMs < nearest.roundTripMs) nearest = control;
    }
    return nearest && nearest.node;
  }

  /**
   * One that was confirmed before and is heard no more: this node may be the one that is cut off, and the caller need
   * not be. Nodes that are heard and say that they aren't confirmed are left out. A redirect decides nothing, so a wrong
   * one costs the caller one step.
   */
  private rememberedPeer(): Destination | null {
    const heard = new Set<string>();
    for (const control of this.controls()) if (controlNode.isFresh(control, this.clock.now())) heard.add(control.node.name);
    const candidates = [...this.remembered.values()].filter(isUnheard).reverse();
    function isUnheard(destination: Destination): boolean {
      return !heard.has(destination.name);
    }
    if (candidates.length === 0) return null;
    this.attempts += 1;
    return candidates[(this.attempts - 1) % candidates.length];
  }
}
