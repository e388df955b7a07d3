/**
 * A router's part in batches (design/batch 6, 8): it knows items by the pass of the control node that sends them, and
 * counts what arrives on each route for the load forecast. Control nodes ask for the counts; a router sends nothing of
 * its own accord.
 */
import type * as schema from "../wire/batch-schema.js";
import * as calls from "../wire/calls.js";
import type * as link from "../wire/link.js";
import type * as admissions from "../admission/admission.js";
import type * as prefillTracker from "../runners/prefill-tracker.js";

/** At most so many routes are counted. */
const MAX_ROUTES = 4096;
/** A shorter pass is invalid. */
const MIN_PASS_CHARACTERS = 16;

/** One for each router. */
export class RouterBatches {
  private readonly passes = new Map<link.Link, string>();
  private readonly arrivals = new Map<string, number>();

  constructor(
    private readonly incarnation: string,
    private readonly prefills: prefillTracker.PrefillTracker,
    private readonly admission: admissions.Admission,
  ) {}

  /** Receives passes, and reports loads to control nodes that request them. */
  register(handlers: link.Handlers): void {
    handlers.on(calls.batchPass, (from, message) => {
      this.recordPass(from, message.pass);
      return null;
    });
    handlers.on(calls.routerLoads, () => this.loads());
  }

  /** A pass is valid while the link is up over which it came. */
  private recordPass(from: link.Link, pass: string): void {
    if (!this.passes.has(from)) from.once("end", () => this.passes.delete(from));
    this.passes.set(from, pass);
  }

  /** Whether a request with this header is an item of a batch. */
  isItem(header: string | string[] | undefined): boolean {
    if (typeof header !== "string" || header.length < MIN_PASS_CHARACTERS) return false;
    for (const pass of this.passes.values()) if (pass === header) return true;
    return false;
  }

  /** A client's complete request arrived on this route. */
  countArrival(route: string): void {
    const count = this.arrivals.get(route) ?? 0;
    if (count > 0 || this.arrivals.size < MAX_ROUTES) this.arrivals.set(route, count + 1);
  }

  private loads(): schema.RouterLoads {
    const routes: schema.RouteLoad[] = [];
    for (const [route, arrivals] of this.arrivals) {
      const { heldMs, unread } = this.admission.typicalRequestOf(route).status();
      routes.push({ route, arrivals, heldMs, unread });
    }
    return { life: this.incarnation, readRate: this.prefills.tokensPerMs, routes };
  }
}
