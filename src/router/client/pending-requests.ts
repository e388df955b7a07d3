/**
 * Requests that arrive before the router serves: after its start the first configuration is a moment away (design 7.1).
 * Each waits for a limited time, and never past its deadline.
 */
import type * as nodeHttp from "node:http";
import type * as types from "../../wire/types.js";

/** The longest wait, in milliseconds. */
const MAX_WAIT_MS = 800;

/** Is notified of the end of the wait: exactly one of the two is called, or none if the client goes away before. */
export interface PendingHandler {
  onReady(): void;
  onTimeout(): void;
}

/** All waiting requests of one router. */
export class PendingRequests {
  private readonly waiting = new Set<() => void>();

  /** `maxPending`: how many may wait at once. */
  constructor(
    private readonly clock: types.Clock,
    private readonly maxPending: number,
  ) {}

  get size(): number {
    return this.waiting.size;
  }

  /** `arrivedAt` and `timeBudgetMs`: of the request, in milliseconds; without capacity or time it times out at once. */
  add(outgoing: nodeHttp.ServerResponse, arrivedAt: number, timeBudgetMs: number, handler: PendingHandler): void {
    const { waiting } = this;
    const remainingMs = arrivedAt + Math.min(MAX_WAIT_MS, timeBudgetMs) - this.clock.now();
    if (waiting.size >= this.maxPending || remainingMs <= 0) {
      handler.onTimeout();
      return;
    }
    const release = (): void => {
      timer.stop();
      handler.onReady();
    };
    const timer = this.clock.schedule(remainingMs, () => {
      if (waiting.delete(release)) handler.onTimeout();
    });
    waiting.add(release);
    outgoing.once("close", () => {
      if (waiting.delete(release)) timer.stop();
    });
  }

  /** The router serves from now on. */
  releaseAll(): void {
    const released = [...this.waiting];
    this.waiting.clear();
    for (const release of released) release();
  }
}
