/**
 * Orders without a base as one control node offers them to another (design/hardening/2-orders 5). The other node may read an offer
 * late, when the order was long decided elsewhere and newer ones have followed. So it takes the order first: it asks the
 * offering node, and may then apply the order for a time that counts from its question. Until that time is over the
 * offering node decides the order nowhere else.
 */
import * as calls from "../../wire/calls.js";
import type * as link from "../../wire/link.js";
import type * as orderSchema from "../../wire/order-schema.js";
import type * as serve from "../../wire/serve.js";
import type * as types from "../../wire/types.js";
import * as orderFreshness from "./order-freshness.js";

/** An offer that is not taken by then is withdrawn. */
const TAKE_TIMEOUT_MS = 300;

/** One order, offered to one node. */
export class OrderOffer {
  /** Resolves with null once the other node may apply the order no more. */
  readonly over: Promise<null>;
  private finish!: (nothing: null) => void;
  private timer: types.Timer;
  private isOpen = true;

  constructor(
    private readonly clock: types.Clock,
    private readonly request: serve.HttpRequest,
  ) {
    this.over = new Promise((resolve) => (this.finish = resolve));
    this.timer = clock.schedule(TAKE_TIMEOUT_MS, () => this.close());
  }

  /** The other node takes it. Milliseconds for which the order is its own from when it asked; 0: it is not to be applied there. */
  take(): number {
    const leaseMs = this.isOpen ? orderFreshness.remainingMs(this.request) : 0;
    if (leaseMs > 0) {
      this.timer.stop();
      this.timer = this.clock.schedule(leaseMs, () => this.close());
    }
    return leaseMs;
  }

  /** The other node has answered, or its time is over. */
  close(): void {
    this.isOpen = false;
    this.timer.stop();
    this.finish(null);
  }
}

/** The offers of one control node, and what it takes of others'. */
export class OrderOffers {
  private readonly open = new Map<number, OrderOffer>();
  private lastId = 0;

  constructor(private readonly clock: types.Clock) {}

  /** Registers the handler of the nodes that take an order. */
  registerHandlers(handlers: link.Handlers): void {
    handlers.on(calls.takeOrder, (_from, { id }) => ({ leaseMs: this.open.get(id)?.take() ?? 0 }));
  }

  /** Offers the order to the node at the other end of the link; null where that node didn't decide it, and won't. */
  async offer(to: link.Link, request: serve.HttpRequest, timeoutMs: number): Promise<orderSchema.OrderAnswer | null> {
    this.lastId += 1;
    const id = this.lastId;
    const offer = new OrderOffer(this.clock, request);
    this.open.set(id, offer);
    const answer = to.call(calls.offeredOrder, { id, path: request.path, body: request.body }, timeoutMs);
    // Without an answer, as when the link ends, the order may still be applied there until the offer is over.
    const decided = await Promise.race([answer.then((reply) => reply ?? offer.over), offer.over]);
    this.open.delete(id);
    offer.close();
    return decided;
  }

  /** Takes an order that was offered over this link; null where it is not to be applied here. */
  async take(from: link.Link, id: number): Promise<serve.Caller | null> {
    const askedAt = this.clock.now();
    const taken = await from.call(calls.takeOrder, { id }, TAKE_TIMEOUT_MS);
    if (!taken || taken.leaseMs <= 0) return null;
    const until = askedAt + taken.leaseMs;
    return { waitedMs: () => 0, hasLeft: () => this.clock.now() >= until };
  }
}
