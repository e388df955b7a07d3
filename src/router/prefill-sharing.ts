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
    private readonly clock: types.Clock,
    private readonly fleet: runnerFleet.RunnerFleet,
    private readonly prefills: prefillTracker.PrefillTracker,
    private readonly load: loadReader.LoadReader,
    send: (signs: schema.Signs) => void,
  ) {
    this.signSender = new hintExchange.HintExchange(clock, load.runnerHashes, this, send);
  }

  /** A request goes to a runner: the tokens of its prompt that the runner has to read. */
  recordSend(request: routeRequest.RouteRequest, runner: types.RunnerId): number {
    this.load.recordSend(this.fleet.regionFor(runner));
    if (request.parts.length === 0) return 0;
    const unread = Math.round(this.prefills.unread(runner, request.parts, request.prefixKeys));
    const news = request.prefixKeys.slice(this.prefills.cachedParts(runner, request.prefixKeys));
    this.onPrefill(runner, unread, request.prefixKeys);
    if (unread >= MIN_SHARED_TOKENS) this.signSender.publishPrefill(runner, unread, news);
    return unread;
  }

  /** A reading that was sent from here, or from another router. */
  onPrefill(runner: types.RunnerId, unread: number, keys: readonly number[]): void {
    this.prefills.recordPrefill(runner, unread, keys, this.clock.now());
    this.fleet.recordPrefill(runner, unread / this.prefills.tokensPerMs);
  }

  /** Another router found these runners silent or failing. */
  onUnresponsive(ids: types.RunnerId[]): void {
    this.fleet.recordRemoteSuspects(ids);
  }
}
