/** Joins the prefills that this router sends with those that other routers publish as hints (design 7.4). */
import * as hintExchange from "../hints/hint-exchange.js";
import type * as loadReader from "../load/load-reader.js";
import type * as schema from "../wire/schema.js";
import type * as types from "../wire/types.js";
import type * as runnerFleet from "../runners/runner-fleet.js";
import type * as prefillTracker from "../runners/prefill-tracker.js";
import type * as routeRequest from "./route-request.js";

/** Shorter prefills are not published. */
const MIN_SHARED_TOKENS = 1000;

/** One for each router. */
export class PrefillSharing implements hintExchange.HintHandler {
  readonly hintExchange: hintExchange.HintExchange;

  /** `send`: brings hints to the other routers, by way of a control node. */
  constructor(
    private readonly clock: types.Clock,
    private readonly fleet: runnerFleet.RunnerFleet,
    private readonly prefills: prefillTracker.PrefillTracker,
    private readonly load: loadReader.LoadReader,
    send: (hints: schema.Hints) => void,
  ) {
    this.hintExchange = new hintExchange.HintExchange(clock, load.runnerHashes, this, send);
  }

  /** A request goes to a runner; returns the tokens of its prompt that the runner has to process. */
  recordSend(request: routeRequest.RouteRequest, runner: types.RunnerId): number {
    this.load.recordSend(this.fleet.regionFor(runner));
    if (request.parts.length === 0) return 0;
    const uncachedTokens = Math.round(this.prefills.uncachedTokens(runner, request.parts, request.prefixKeys));
    const newKeys = request.prefixKeys.slice(this.prefills.cachedParts(runner, request.prefixKeys));
    this.onPrefill(runner, uncachedTokens, request.prefixKeys);
    if (uncachedTokens >= MIN_SHARED_TOKENS) this.hintExchange.publishPrefill(runner, uncachedTokens, newKeys);
    return uncachedTokens;
  }

  /** A prompt was sent to a runner by this router or another. */
  onPrefill(runner: types.RunnerId, uncachedTokens: number, keys: readonly number[]): void {
    this.prefills.recordPrefill(runner, uncachedTokens, keys, this.clock.now());
    this.fleet.recordPrefill(runner, uncachedTokens / this.prefills.tokensPerMs);
  }

  /** Another router found these runners silent or failing. */
  onUnresponsive(ids: types.RunnerId[]): void {
    this.fleet.recordRemoteSuspects(ids);
  }
}
