/** The router's side of signs (design/usage 2): what it sends to others, and how it takes what others send. */
import * as calls from "../wire/calls.js";
import type * as link from "../wire/link.js";
import * as schema from "../wire/schema.js";
import * as types from "../wire/types.js";
import * as log from "../runtime/log.js";
import * as hintBatch from "./hint-batch.js";
import type * as runnerHash from "./runner-hash.js";
import * as throttle from "./throttle.js";

/** Keys of one reading that are told (*ours*). */
const MAX_KEYS = 8;

/** What takes the signs of other routers; the router's program is it. */
export interface HintHandler {
  /** Others found these runners silent. */
  onUnresponsive(ids: types.RunnerId[]): void;
  /** A prompt with so many unread tokens was sent to the runner by another router. */
  onPrefill(runner: types.RunnerId, unread: number, keys: readonly number[]): void;
}

/** Sends and takes the signs of one router. Runners whose mark is shared are left out. */
export class HintExchange {
  private readonly batch = new hintBatch.HintBatch();
  private readonly throttle: throttle.Throttle;

  constructor(
    clock: types.Clock,
    private readonly runnerHashes: runnerHash.RunnerHashes<types.RunnerId>,
    private readonly handler: HintHandler,
    private readonly publish: (signs: schema.Signs) => void,
  ) {
    this.throttle = new throttle.Throttle(clock, this.flush.bind(this));
  }

  /** Hears signs from the links. */
  register(handlers: link.Handlers): void {
    handlers.on(calls.signs, (_from, told) => {
      this.receive(told);
      return null;
    });
  }

  /** A reading sent from here; `keys` are those of its unread parts: the others were told when they were read. */
  publishPrefill(runner: types.RunnerId, unread: number, keys: readonly number[]): void {
    const mark = this.runnerHashes.hashOf(runner);
    if (mark === null) return;
    this.batch.addPrefill({ runner: mark, unread, keys: keys.slice(-MAX_KEYS) });
    this.throttle.request();
  }

  /** These runners fell silent while at work for this router. */
  publishUnresponsive(runners: readonly types.RunnerId[]): void {
    for (const runner of runners) {
      const mark = this.runnerHashes.hashOf(runner);
      if (mark !== null) this.batch.addUnresponsive(mark);
    }
    if (!this.batch.isEmpty) this.throttle.request();
  }

  /** Signs of other routers are here; unknown marks are counted and passed over. */
  receive(signs: schema.Signs): void {
    const silent: types.RunnerId[] = [];
    for (const mark of signs.silent) {
      const id = this.runnerHashes.idOf(mark);
      if (id !== null) silent.push(id);
    }
    if (silent.length > 0) this.handler.onUnresponsive(silent);
    for (const reading of signs.readings) {
      const id = this.runnerHashes.idOf(reading.runner);
      if (id === null) log.count("signs.unknown");
      else this.handler.onPrefill(id, reading.unread, reading.keys);
    }
  }

  private flush(): void {
    if (this.batch.isEmpty) return;
    log.count("signs.frames");
    this.publish({ isRelayed: false, ...this.batch.drain() });
  }

  /** Nothing is sent any more. */
  stop(): void {
    this.throttle.stop();
  }
}
