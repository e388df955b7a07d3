/** The routers that an owner sends items by (design/batch 6): ready ones that have known its pass for a moment. */
import * as crypto from "node:crypto";
import * as calls from "../wire/calls.js";
import type * as link from "../wire/link.js";
import type * as schema from "../wire/schema.js";
import type * as types from "../wire/types.js";
import type * as sender from "./sender.js";

/** After this time a router is taken to know the pass that was sent to it. */
const PASS_DELIVERY_MS = 500;

/** A router with a session at this node. */
export interface SessionRouter {
  node: schema.NodeInfo;
  link: link.Link;
}

/** The routers that know this control node's own pass. */
export class PassedRouters {
  private readonly pass = crypto.randomBytes(18).toString("base64url");
  private readonly sentAt = new WeakMap<link.Link, types.SteadyMs>();
  private next = 0;

  constructor(
    private readonly clock: types.Clock,
    private readonly ready: () => Iterable<SessionRouter>,
  ) {}

  /** Sends the pass to routers that don't have it; called periodically by the owner. */
  sendPass(): void {
    for (const router of this.ready()) {
      if (this.sentAt.has(router.link)) continue;
      router.link.send(calls.batchPass, { pass: this.pass });
      this.sentAt.set(router.link, this.clock.now());
    }
  }

  /** Round robin over the region's routers, or over all if it has none; null: none knows the pass. */
  nextRouter(region: string): sender.Destination | null {
    const known = [...this.ready()].filter((router) => this.knowsPass(router));
    const here = known.filter(({ node }) => node.region === region);
    const there = here.length > 0 ? here : known;
    if (there.length === 0) return null;
    this.next += 1;
    return { frontend: there[this.next % there.length].node.outside, pass: this.pass };
  }

  private knowsPass({ node, link: to }: SessionRouter): boolean {
    const sentAt = this.sentAt.get(to);
    return node.outside !== "" && sentAt !== undefined && this.clock.now() - sentAt >= PASS_DELIVERY_MS;
  }
}
