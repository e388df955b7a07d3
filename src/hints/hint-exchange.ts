/** The router's side of hints (design/usage 2): publishes its own, and passes received ones to a handler. */
import * as calls from "../wire/calls.js";
import type * as link from "../wire/link.js";
import * as schema from "../wire/schema.js";
import * as types from "../wire/types.js";
import * as log from "../runtime/log.js";
import * as hintBatch from "./hint-batch.js";
import type * as runnerHash from "./runner-hash.js";
import * as throttle from "./throttle.js";

/** Prefix keys published of one prefill. */
const MAX_KEYS = 8;

/** Handles the hints of other routers. */
export interface HintHandler {
  /** Other routers found these runners unresponsive. */
  onUnresponsive(ids: types.RunnerId[]): void;
  /** Another router sent the runner a prompt with this many uncached tokens. */
  onPrefill(runner: types.RunnerId, uncachedTokens: number, keys: readonly number[]): void;
}

/** Publishes and receives the hints of one router. Runners whose hash is not unique are left out. */
export class HintExchange {
  private readonly batch = new hintBatch.HintBatch();
  private readonly throttle: throttle.Throttle;

  constructor(
    clock: types.Clock,
    private readonly runnerHashes: runnerHash.RunnerHashes<types.RunnerId>,
    private readonly handler: HintHandler,
    private readonly publish: (hints: schema.Hints) => void,
  ) {
    this.throttle = new throttle.Throttle(clock, () => this.flush());
  }

  /** Registers the call by which hints arrive. */
  register(handlers: link.Handlers): void {
    handlers.on(calls.hints, (_from, hints) => {
      this.receive(hints);
      return null;
    });
  }

  /** Publishes a prompt sent from here; `keys` are those of its uncached parts, since the others were published before. */
  publishPrefill(runner: types.RunnerId, uncachedTokens: number, keys: readonly number[]): void {
    const hash = this.runnerHashes.hashOf(runner);
    if (hash === null) return;
    this.batch.addPrefill({ runner: hash, unread: uncachedTokens, keys: keys.slice(-MAX_KEYS) });
    this.throttle.request();
  }

  /** Publishes runners that became unresponsive with requests of this router in flight. */
  publishUnresponsive(runners: readonly types.RunnerId[]): void {
    for (const runner of runners) {
      const hash = this.runnerHashes.hashOf(runner);
      if (hash !== null) this.batch.addUnresponsive(hash);
    }
    if (!this.batch.isEmpty) this.throttle.request();
  }

  /** Hints of other routers have arrived; unknown runners are counted and ignored. */
  receive(hints: schema.Hints): void {
    const unresponsive: types.RunnerId[] = [];
    for (const hash of hints.silent) {
      const id = this.runnerHashes.idOf(hash);
      if (id !== null) unresponsive.push(id);
    }
    if (unresponsive.length > 0) this.handler.onUnresponsive(unresponsive);
    for (const prefill of hints.readings) {
      const id = this.runnerHashes.idOf(prefill.runner);
      if (id === null) log.count("signs.unknown");
      else this.handler.onPrefill(id, prefill.unread, prefill.keys);
    }
  }

  private flush(): void {
    if (this.batch.isEmpty) return;
    log.count("signs.frames");
    this.publish({ isRelayed: false, ...this.batch.drain() });
  }

  /** Cancels the timer: nothing is sent any more. */
  stop(): void {
    this.throttle.stop();
  }
}
