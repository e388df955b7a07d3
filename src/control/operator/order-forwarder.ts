/**
 * Forwards the orders of all control nodes to one proposer (design/hardening/2-orders 5). Ballots of several proposers
 * preempt each other; while others propose too, a node therefore forwards its operators' orders to the first connected
 * voter by address, whose queue has all pending orders chosen with one ballot.
 *
 * Where an order is decided affects speed alone: any node may propose at any time, and an order that reached two proposers
 * is applied once and acknowledged by both (register/order-history.ts). So no order is lost with the other node. Orders
 * without a base have no such history: they are offered, and decided at one node at a time (order-offers.ts).
 */
import * as log from "../../runtime/log.js";
import * as calls from "../../wire/calls.js";
import * as features from "../../wire/features.js";
import type * as link from "../../wire/link.js";
import * as names from "../../wire/names.js";
import type * as orderSchema from "../../wire/order-schema.js";
import type * as schema from "../../wire/schema.js";
import type * as types from "../../wire/types.js";
import * as timers from "../../runtime/timers.js";
import * as controlNode from "../../feed/control-node.js";
import type * as quorumContact from "../voters/quorum-contact.js";
import type * as registerReplica from "../register-replica.js";
import * as operatorPaths from "./operator-paths.js";
import * as orderOffers from "./order-offers.js";
import * as serve from "../../wire/serve.js";

/** A forwarded order without an answer is proposed here after this time. */
const FORWARD_TIMEOUT_MS = 1300;
/** Interval of the checks whether the other node is still alive. */
const POLL_INTERVAL_MS = 50;
/** After an order without an answer no order is forwarded to that node for this time. */
const AVOIDANCE_MS = 5000;
/** Nodes to which one order is forwarded at most, one after the other. */
const MAX_FORWARDS = 2;
/** Larger orders are not forwarded. */
const MAX_BODY_BYTES = 1024 * 1024;
/** From this status on an answer decides nothing. */
const MIN_UNDECIDED_STATUS = 500;
const UNDECIDED: orderSchema.OrderAnswer = { status: 503, json: "null" };

/** Handler between the redirector and the API of one control node. */
export class OrderForwarder {
  private avoidedNode = "";
  private avoidedUntil: number = Number.NEGATIVE_INFINITY;
  private readonly offers: orderOffers.OrderOffers;

  constructor(
    private readonly clock: types.Clock,
    private readonly core: registerReplica.RegisterReplica,
    private readonly controls: () => Iterable<controlNode.ControlNode>,
    private readonly next: serve.RequestHandler,
  ) {
    this.offers = new orderOffers.OrderOffers(clock);
  }

  /** Answers orders forwarded by other control nodes; these are not forwarded again. */
  registerHandlers(handlers: link.Handlers, contact: quorumContact.QuorumContact): void {
    this.offers.registerHandlers(handlers);
    handlers.on(calls.order, (_from, order) => this.handleForwarded(contact, order));
    handlers.on(calls.offeredOrder, (from, order) => this.handleOffered(contact, from, order));
  }

  /** Builds before forward orders without a base as well, of which nobody can tell how old they are: they are not decided here. */
  private async handleForwarded(contact: quorumContact.QuorumContact, order: orderSchema.ForwardedOrder): Promise<orderSchema.OrderAnswer> {
    if (!contact.isConfirmed() || operatorPaths.isUnconditional(order.path)) return UNDECIDED;
    const headers: Record<string, string> = order.base === "" ? {} : { [names.HEADER.base]: order.base };
    return this.decideHere(order.path, headers, order.body, serve.LOCAL_CALLER);
  }

  private async handleOffered(
    contact: quorumContact.QuorumContact,
    from: link.Link,
    offered: orderSchema.OfferedOrder,
  ): Promise<orderSchema.OrderAnswer> {
    const caller = contact.isConfirmed() ? await this.offers.take(from, offered.id) : null;
    return caller ? this.decideHere(offered.path, {}, offered.body, caller) : UNDECIDED;
  }

  private async decideHere(
    path: string,
    headers: Record<string, string>,
    body: Buffer,
    caller: serve.Caller,
  ): Promise<orderSchema.OrderAnswer> {
    log.count("operator.forwarded_here");
    const response = await this.next({ method: "POST", path, query: new URLSearchParams(), headers, body, caller });
    return { status: response.status, json: JSON.stringify(response.json) };
  }

  /** Answers as `next` does, here or at the common proposer. */
  async handle(request: serve.HttpRequest): Promise<serve.HttpResponse> {
    if (!isOrder(request)) return this.next(request);
    for (let attempt = 0; attempt < MAX_FORWARDS; attempt += 1) {
      const proposer = this.findCommonProposer(
        operatorPaths.isUnconditional(request.path) ? features.OFFERED_ORDERS : features.FORWARDED_ORDERS,
      );
      if (!proposer) break;
      const response = await this.forward(proposer, request);
      if (response) return response;
    }
    return this.next(request);
  }

  /** The node to forward to, which has the feature; null: this node proposes itself. */
  private findCommonProposer(feature: number): controlNode.ControlNode | null {
    if (!this.core.isContended()) return null;
    const voters = [...(this.core.chosen?.voters ?? [])].sort(compareByAddress);
    for (const voter of voters) {
      if (this.core.isOwn(voter)) return null;
      const control = this.findControl(voter.disk);
      if (control && this.canForwardTo(control, feature)) return control;
    }
    return null;
  }

  private findControl(disk: string): controlNode.ControlNode | null {
    for (const control of this.controls()) if (control.node.disk === disk) return control;
    return null;
  }

  private canForwardTo(control: controlNode.ControlNode, feature: number): boolean {
    const { heartbeat } = control;
    const now = this.clock.now();
    if (!heartbeat || !features.hasFeature(heartbeat, feature)) return false;
    if (!controlNode.isAliveAndConfirmed(control, now) || controlNode.isDraining(control)) return false;
    return control.node.name !== this.avoidedNode || now >= this.avoidedUntil;
  }

  /** Null where the other node gave no decision: the order may have been applied there, which shows when it is proposed here. */
  private async forward(proposer: controlNode.ControlNode, request: serve.HttpRequest): Promise<serve.HttpResponse | null> {
    log.count("operator.forwarded");
    const answer = operatorPaths.isUnconditional(request.path)
      ? await this.offers.offer(proposer.link, request, FORWARD_TIMEOUT_MS)
      : await this.send(proposer, request);
    if (answer && answer.status < MIN_UNDECIDED_STATUS) return { status: answer.status, json: JSON.parse(answer.json) as unknown };
    log.count("operator.forward_failed");
    this.avoidedNode = proposer.node.name;
    this.avoidedUntil = this.clock.now() + AVOIDANCE_MS;
    return null;
  }

  private async send(proposer: controlNode.ControlNode, request: serve.HttpRequest): Promise<orderSchema.OrderAnswer | null> {
    const base = request.headers[names.HEADER.base];
    const order = { path: request.path, base: typeof base === "string" ? base : "", body: request.body };
    const call = proposer.link.call(calls.order, order, FORWARD_TIMEOUT_MS);
    return Promise.race([call, this.untilSilent(proposer, call)]);
  }

  /** Resolves once the other node counts as dead, or the call has ended. */
  private async untilSilent(proposer: controlNode.ControlNode, call: Promise<unknown>): Promise<null> {
    let isOver = false;
    void call.then(() => {
      isOver = true;
    });
    while (!isOver && controlNode.isAlive(proposer, this.clock.now())) await timers.sleep(this.clock, POLL_INTERVAL_MS);
    // The answer of the call wins the race.
    if (isOver) await call;
    return null;
  }
}

/** The same order at all nodes. */
function compareByAddress(left: schema.Voter, right: schema.Voter): number {
  return left.address < right.address ? -1 : left.address > right.address ? 1 : 0;
}

function isOrder(request: serve.HttpRequest): boolean {
  return request.method === "POST" && request.body.length <= MAX_BODY_BYTES && operatorPaths.isOrder(request.path);
}
