/**
 * One proposer for the orders of all control nodes (design/hardening/2-orders 5). Rounds of several proposers end each
 * other; while others propose too, a node therefore passes its operators' orders on to the first voter in touch, whose
 * queue has all that wait chosen in one round.
 *
 * Where an order is decided is a matter of pace alone: any node may propose at any time, and an order that reached two
 * proposers is taken once and acknowledged by both (register/history.ts). So nothing is lost when the other node is.
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
import type * as serve from "../../wire/serve.js";

/** An order that was passed on is proposed here after so long without an answer. */
const FORWARD_MS = 1300;
/** How often it is looked whether the other node is still heard. */
const LOOK_MS = 50;
/** After an order without an answer, the other node gets none for so long. */
const AVOID_MS = 5000;
/** An order goes on to so many nodes at most, the next one once the first is not heard any more. */
const MAX_FORWARDS = 2;
/** Larger orders are proposed where they arrive. */
const MAX_BODY_BYTES = 1024 * 1024;
/** Nothing is decided by answers from here on. */
const MIN_UNDECIDED_STATUS = 500;

/** Stands between the redirector and the operator's calls of one control node. */
export class OrderForwarder {
  private avoided = "";
  private avoidedUntil: number = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly clock: types.Clock,
    private readonly core: registerReplica.RegisterReplica,
    private readonly controls: () => Iterable<controlNode.ControlNode>,
    private readonly next: serve.Reply,
  ) {}

  /** Answers the orders that other control nodes pass on; they go no further. */
  register(handlers: link.Handlers, contact: quorumContact.QuorumContact): void {
    handlers.on(calls.order, this.take.bind(this, contact));
  }

  private async take(
    contact: quorumContact.QuorumContact,
    _from: link.Link,
    order: orderSchema.ForwardedOrder,
  ): Promise<orderSchema.OrderAnswer> {
    if (!contact.isConfirmed()) return { status: 503, json: "null" };
    log.count("operator.forwarded_here");
    const headers = order.base === "" ? {} : { [names.HEADER.base]: order.base };
    const told = await this.next({ method: "POST", path: order.path, query: new URLSearchParams(), headers, body: order.body });
    return { status: told.status, json: JSON.stringify(told.json) };
  }

  /** Replies as `next` does, here or at the proposer of all. */
  async reply(asked: serve.Asked): Promise<serve.Told> {
    if (!isOrder(asked)) return this.next(asked);
    for (let attempt = 0; attempt < MAX_FORWARDS; attempt += 1) {
      const proposer = this.proposerOfAll();
      if (!proposer) break;
      const told = await this.forward(proposer, asked);
      if (told) return told;
    }
    return this.next(asked);
  }

  /** Null: this node proposes itself. */
  private proposerOfAll(): controlNode.ControlNode | null {
    if (!this.core.isContended()) return null;
    const voters = [...(this.core.chosen?.voters ?? [])].sort(byAddress);
    for (const voter of voters) {
      if (this.core.isOwn(voter)) return null;
      const control = this.controlOf(voter.disk);
      if (control && this.isFit(control)) return control;
    }
    return null;
  }

  private controlOf(disk: string): controlNode.ControlNode | null {
    for (const control of this.controls()) if (control.node.disk === disk) return control;
    return null;
  }

  private isFit(control: controlNode.ControlNode): boolean {
    const { heartbeat } = control;
    const now = this.clock.now();
    if (!heartbeat || !features.hasFeature(heartbeat, features.FORWARDED_ORDERS)) return false;
    if (!controlNode.isAliveAndConfirmed(control, now) || controlNode.isDraining(control)) return false;
    return control.node.name !== this.avoided || now >= this.avoidedUntil;
  }

  /** Null where the other node decided nothing: the order may have been taken there, and is found so when it is proposed here. */
  private async forward(proposer: controlNode.ControlNode, asked: serve.Asked): Promise<serve.Told | null> {
    log.count("operator.forwarded");
    const base = asked.headers[names.HEADER.base];
    const order = { path: asked.path, base: typeof base === "string" ? base : "", body: asked.body };
    const call = proposer.link.call(calls.order, order, FORWARD_MS);
    const answer = await Promise.race([call, this.silence(proposer, call)]);
    if (answer && answer.status < MIN_UNDECIDED_STATUS) return { status: answer.status, json: JSON.parse(answer.json) as unknown };
    log.count("operator.forward_failed");
    this.avoided = proposer.node.name;
    this.avoidedUntil = this.clock.now() + AVOID_MS;
    return null;
  }

  /** Resolves once the other node is heard no more, or the call has ended. */
  private async silence(proposer: controlNode.ControlNode, call: Promise<unknown>): Promise<null> {
    let isOver = false;
    void call.then(function end() {
      isOver = true;
    });
    while (!isOver && controlNode.isAlive(proposer, this.clock.now())) await timers.sleep(this.clock, LOOK_MS);
    // A call that has ended tells for itself.
    if (isOver) await call;
    return null;
  }
}

/** An order that all nodes share. */
function byAddress(left: schema.Voter, right: schema.Voter): number {
  return left.address < right.address ? -1 : left.address > right.address ? 1 : 0;
}

function isOrder(asked: serve.Asked): boolean {
  return asked.method === "POST" && asked.body.length <= MAX_BODY_BYTES && operatorPaths.isOrder(asked.path);
}
