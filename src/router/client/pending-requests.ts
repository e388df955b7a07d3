/**
 * Requests that came before this router may serve: just after a start the first configuration is a moment away
 * (design 7.1). Each waits for a bounded time, and never past its deadline.
 */
import type * as nodeHttp from "node:http";
import type * as types from "../../wire/types.js";

/** The longest wait, in milliseconds. */
const MAX_WAIT_MS = 800;

/** What becomes of one that waits: exactly one of the two is called, none when its client leaves first. */
export interface PendingHandler {
  onReady(): void;
  onTimeout(): void;
}

/** All of one router. */
export class PendingRequests {
  private readonly waiting = new Set<() => void>();

  /** `most`: how many may wait at once. */
  constructor(
    private readonly clock: types.Clock,
    private readonly maxPending: number,
  ) {}

  get size(): number {
    return this.waiting.size;
  }

  /** arrivedAt and mostHeldMs: of the request, in milliseconds; where there is no room or time it is late at once. */
  add(outgoing: nodeHttp.ServerResponse, arrivedAt: number, mostHeldMs: number, outcomes: PendingHandler): void {
    const { waiting } = this;
    const leftMs = arrivedAt + Math.min(MAX_WAIT_MS, mostHeldMs) - this.clock.now();
    if (waiting.size >= this.maxPending || leftMs <= 0) {
      outcomes.onTimeout();
      return;
    }
    const tick = this.clock.schedule(leftMs, late);
    waiting.add(go);
    outgoing.once("close", gone);
    function late(): void {
      if (waiting.delete(go)) outcomes.onTimeout();
    }
    function gone(): void {
      if (waiting.delete(go)) tick.stop();
    }
    function go(): void {
      tick.stop();
      outcomes.onReady();
    }
  }

  /** This router may serve now. */
  releaseAll(): void {
    const ready = [...this.waiting];
    this.waiting.clear();
    for (const go of ready) go();
  }
}
