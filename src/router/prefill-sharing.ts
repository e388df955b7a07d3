// Which prompts are read where, by this router's own sends and by what other routers tell (design 7.4).
import * as hintExchange from "../hints/hint-exchange.js";
import type * as loadReader from "../load/load-reader.js";
import type * as schema from "../wire/schema.js";
import type * as types from "../wire/types.js";
import type * as runnerFleet from "../runners/runner-fleet.js";
import type * as prefillTracker from "../runners/prefill-tracker.js";
import type * as routeRequest from "./route-request.js";

/** The other routers learn of readings from so many tokens on. */
const MIN_SHARED_TOKENS = 1000;

/** Joins what is read here and elsewhere. */
export class PrefillSharing implements hintExchange.HintHandler {
  readonly signSender: hintExchange.HintExchange;

  /** `send`: brings signs to the other routers, by way of a control node. */
  constructor(
    private readonly world: types.Clock,
    private readonly fleet: runnerFleet.RunnerFleet,
    private readonly known: prefillTracker.PrefillTracker,
    private readonly usage: loadReader.LoadReader,
    send: (signs: schema.Signs) => void,
  ) {
    this.signSender = new hintExchange.HintExchange(world, usage.runnerHashes, this, send);
  }

  /** A request goes to a runner: the tokens of its prompt that the runner has to read. */
  sending(request: routeRequest.RouteRequest, runner: types.RunnerId): number {
    this.usage.recordSend(this.fleet.regionFor(runner));
    if (request.parts.length === 0) return 0;
    const unread = Math.round(this.known.unread(runner, request.parts, request.keys));
    const news = request.keys.slice(this.known.keptParts(runner, request.keys));
    this.onPrefill(runner, unread, request.keys);
    if (unread >= MIN_SHARED_TOKENS) this.signSender.publishPrefill(runner, unread, news);
    return unread;
  }

  /** A reading that was sent from here, or from another router. */
  onPrefill(runner: types.RunnerId, unread: number, keys: readonly number[]): void {
    this.known.note(runner, unread, keys, this.world.now());
    this.fleet.reads(runner, unread / this.known.rate);
  }

  /** Another router found these runners silent or failing. */
  onUnresponsive(ids: types.RunnerId[]): void {
    this.fleet.takeSuspects(ids);
  }
}
