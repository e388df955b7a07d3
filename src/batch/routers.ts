/** The routers that an owner sends items by (design/batch 6): ready ones that have known its pass for a moment. */
import * as crypto from "node:crypto";
import * as calls from "../wire/calls.js";
import type * as link from "../wire/link.js";
import type * as schema from "../wire/schema.js";
import type * as types from "../wire/types.js";
import type * as sender from "./sender.js";

/** A pass that was told so long ago, in milliseconds, has arrived: it went before any item. */
const ARRIVED_MS = 500;

/** A router with a session at this node. */
export interface SessionRouter {
  node: schema.NodeInfo;
  link: link.Link;
}

/** One for each control node; it tells its own pass only. */
export class PassedRouters {
  private readonly pass = crypto.randomBytes(18).toString("base64url");
  private readonly toldAt = new WeakMap<link.Link, types.SteadyMs>();
  private next = 0;

  constructor(
    private readonly clock: types.Clock,
    private readonly ready: () => Iterable<SessionRouter>,
  ) {}

  /** Tells the pass to routers that do not know it; called often by the owner of open batches. */
  introduce(): void {
    for (const router of this.ready()) {
      if (this.toldAt.has(router.link)) continue;
      router.link.send(calls.batchPass, { pass: this.pass });
      this.toldAt.set(router.link, this.clock.now());
    }
  }

  /** One router of the region after the other, of any where it has none; null: none knows the pass. */
  in(region: string): sender.Destination | null {
    const known = [...this.ready()].filter((router) => this.knowsPass(router));
    const here = known.filter(({ node }) => node.region === region);
    const there = here.length > 0 ? here : known;
    if (there.length === 0) return null;
    this.next += 1;
    return { frontend: there[this.next % there.length].node.outside, pass: this.pass };
  }

  private knowsPass({ node, link: to }: SessionRouter): boolean {
    const toldAt = this.toldAt.get(to);
    return node.outside !== "" && toldAt !== undefined && this.clock.now() - toldAt >= ARRIVED_MS;
  }
}
