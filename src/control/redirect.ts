// An operator's call that reaches a control node without contact to a majority goes on to one that has it
// (design/hardening/1-cut-off). Nothing is ever confirmed or refused by a minority.
import type * as types from "../wire/types.js";
import * as log from "../startup/log.js";
import * as dialers from "../feed/dialer.js";
import type * as contacts from "./contact.js";
import type * as serve from "./serve.js";

/** Answered by any node about itself. */
const STATUS_PATH = "/-/status";
/** Another node's beat that says that it is confirmed counts for so long: two beats and their way. */
const STATUS_FRESH_MS = 700;
/** A process that has only just started waits so long for its first confirmation, in ms: less than a caller's second of silence. */
const FIRST_MS = 800;
const RETRY_AFTER_S = "0.3";

export class Redirector {
  constructor(
    private readonly world: types.World,
    private readonly contact: contacts.Contact,
    private readonly controls: () => Iterable<dialers.Control>,
    private readonly next: serve.Reply,
  ) {}

  /** Replies as `next` does while this node is confirmed; else 307 to a confirmed one, or 503 at once. */
  async reply(asked: serve.Asked): Promise<serve.Told> {
    if (asked.path === STATUS_PATH) return this.next(asked);
    if (!this.contact.isConfirmed() && !this.contact.hasStarted) await this.within(FIRST_MS, "confirmed");
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
    const { contact, world } = this;
    return new Promise(function wait(resolve) {
      const timer = world.after(ms, end);
      contact.once(event, end);
      function end(): void {
        timer.stop();
        contact.removeListener(event, end);
        resolve();
      }
    });
  }

  private elsewhere(asked: serve.Asked): serve.Told {
    const peer = this.confirmedPeer();
    if (!peer) {
      log.count("operator.unconfirmed");
      const message = "no majority of the core is in contact with this node; send the call again, to any control node";
      return { status: 503, headers: { "Retry-After": RETRY_AFTER_S }, json: { message } };
    }
    log.count("operator.redirected");
    const query = asked.query.toString();
    const location = `http://${peer.node.outside}${asked.path}${query === "" ? "" : `?${query}`}`;
    return {
      status: 307,
      headers: { Location: location },
      json: { message: `${peer.node.name} is in contact with a majority: ${location}` },
    };
  }

  /** The nearest one whose last beat said so lately; it sends nobody back here while this node isn't confirmed. */
  private confirmedPeer(): dialers.Control | null {
    let nearest: dialers.Control | null = null;
    for (const control of this.controls()) {
      const isRecent = this.world.now() - control.beatAt < STATUS_FRESH_MS && control.link.isOpen;
      if (!isRecent || !dialers.isConfirmed(control) || control.node.outside === "") continue;
      if (!nearest || control.tripMs < nearest.tripMs) nearest = control;
    }
    return nearest;
  }
}
