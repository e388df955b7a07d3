/**
 * Redirects an operator's request from a control node without contact to a majority to one that has it
 * (design/hardening/1-cut-off). A minority never confirms or rejects an order.
 */
import type * as types from "../../wire/types.js";
import * as log from "../../runtime/log.js";
import * as controlNode from "../../feed/control-node.js";
import type * as quorumContact from "../voters/quorum-contact.js";
import * as orderFreshness from "./order-freshness.js";
import * as operatorPaths from "./operator-paths.js";
import type * as serve from "../../wire/serve.js";

/** Any node answers it, about itself. */
const STATUS_PATH = "/-/status";
/** Time that a process that has just started, or was not run for a while, waits for its confirmation: less than a caller's time-out of one second. */
const CONFIRMATION_TIMEOUT_MS = 800;
/** Value of the Retry-After header, in seconds. */
const RETRY_AFTER_S = "0.3";
/** Nodes remembered as confirmed; beyond it the oldest one is dropped. */
const MAX_REMEMBERED = 16;

/** A node to which a request may be redirected. */
interface Destination {
  name: string;
  /** Address of its operators' API, host:port. */
  outside: string;
}

/** First handler of the operators' requests at one control node. */
export class Redirector {
  /** Nodes whose heartbeats said that they were confirmed, by name, the newest last; kept after their connections are lost. */
  private readonly remembered = new Map<string, Destination>();
  /** Count of redirects to remembered nodes; with it a caller that retries reaches another one. */
  private redirects = 0;

  constructor(
    private readonly clock: types.Clock,
    private readonly contact: quorumContact.QuorumContact,
    private readonly controls: () => Iterable<controlNode.ControlNode>,
    private readonly next: serve.RequestHandler,
  ) {}

  /** Answers as `next` does while this node is confirmed; else 307 to a confirmed node, or 503 at once. */
  async handle(request: serve.HttpRequest): Promise<serve.HttpResponse> {
    if (request.path === STATUS_PATH) return this.next(request);
    if (!this.contact.isConfirmed() && this.isConfirmationDue()) await this.waitForConfirmation(CONFIRMATION_TIMEOUT_MS);
    if (!this.contact.isConfirmed()) return this.redirectOrReject(request);
    return this.handleUntilContactLost(request);
  }

  /** Whether the voters are likely to confirm this node within a moment. */
  private isConfirmationDue(): boolean {
    return !this.contact.wasEverConfirmed || this.contact.mayBeDelayed();
  }

  /**
   * The outcome of an order in progress when contact is lost is unknown; retried elsewhere it is applied once. One without a
   * base might be applied again after newer ones, so that its caller is sent on only once it can't be applied any more.
   */
  private handleUntilContactLost(request: serve.HttpRequest): Promise<serve.HttpResponse> {
    const { clock, contact } = this;
    const startedAt = clock.now();
    const next = Promise.resolve(this.next(request));
    return new Promise((resolve, reject) => {
      const redirect = (): void => resolve(this.redirectOrReject(request));
      const onLost = (): void => {
        if (operatorPaths.isUnconditional(request.path)) clock.schedule(this.applicableMs(request, startedAt), redirect);
        else redirect();
      };
      contact.once("lost", onLost);
      next.then(resolve, reject).finally(() => contact.removeListener("lost", onLost));
    });
  }

  /** Milliseconds for which an order without a base may still be applied, here or where it was offered. */
  private applicableMs(request: serve.HttpRequest, startedAt: types.SteadyMs): number {
    const sinceStartMs = this.clock.now() - startedAt;
    return Math.max(0, Math.min(orderFreshness.remainingMs(request), orderFreshness.ORDER_LIFETIME_MS - sinceStartMs));
  }

  /** Resolves with the first confirmation, or after the time-out. */
  private waitForConfirmation(timeoutMs: number): Promise<void> {
    const { contact, clock } = this;
    return new Promise((resolve) => {
      const finish = (): void => {
        timer.stop();
        contact.removeListener("confirmed", finish);
        resolve();
      };
      const timer = clock.schedule(timeoutMs, finish);
      contact.once("confirmed", finish);
    });
  }

  private redirectOrReject(request: serve.HttpRequest): serve.HttpResponse {
    const peer = this.confirmedPeer() ?? this.rememberedPeer();
    if (!peer) {
      log.count("operator.unconfirmed");
      const message = "no majority of the core is in contact with this node; send the call again, to any control node";
      return { status: 503, headers: { "Retry-After": RETRY_AFTER_S }, json: { message } };
    }
    log.count("operator.redirected");
    const query = request.query.toString();
    const location = `http://${peer.outside}${request.path}${query === "" ? "" : `?${query}`}`;
    return {
      status: 307,
      headers: { Location: location },
      json: { message: `send the call to ${peer.name}, which is or was in contact with a majority: ${location}` },
    };
  }

  /** Records which nodes are confirmed now; called with each heartbeat. */
  rememberConfirmedPeers(): void {
    for (const control of this.controls()) if (this.isConfirmedNow(control)) this.rememberPeer(control.node.name, control.node.outside);
  }

  private rememberPeer(name: string, outside: string): void {
    this.remembered.delete(name);
    this.remembered.set(name, { name, outside });
    if (this.remembered.size > MAX_REMEMBERED) this.remembered.delete(this.remembered.keys().next().value!);
  }

  private isConfirmedNow(control: controlNode.ControlNode): boolean {
    return controlNode.isAliveAndConfirmed(control, this.clock.now()) && control.node.outside !== "";
  }

  /** The nearest node whose recent heartbeat says that it is confirmed; it redirects nobody back here while this node isn't. */
  private confirmedPeer(): Destination | null {
    let nearest: controlNode.ControlNode | null = null;
    for (const control of this.controls()) {
      if (!this.isConfirmedNow(control)) continue;
      if (!nearest || control.roundTripMs < nearest.roundTripMs) nearest = control;
    }
    return nearest && nearest.node;
  }

  /**
   * A node that was confirmed before and sends no heartbeats now: this node may be the one behind a network partition, and
   * the caller need not be. Nodes whose heartbeats say that they aren't confirmed are left out. A redirect decides nothing,
   * so a wrong one costs the caller one request.
   */
  private rememberedPeer(): Destination | null {
    const alive = new Set<string>();
    for (const control of this.controls()) if (controlNode.isFresh(control, this.clock.now())) alive.add(control.node.name);
    const candidates = [...this.remembered.values()].filter((destination) => !alive.has(destination.name)).reverse();
    if (candidates.length === 0) return null;
    this.redirects += 1;
    return candidates[(this.redirects - 1) % candidates.length];
  }
}
