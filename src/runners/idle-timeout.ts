// How long a kept connection may have been idle (design/edge 7.13): what runners tell, and what is learned a service
// from connections that were forgotten sooner.
import * as log from "../runtime/log.js";
import type * as types from "../wire/types.js";

/** Told in whole seconds, and counted from another moment than ours: so much sooner a connection is let go. */
export const MARGIN_MS = 1000;
const LEARNED_FRACTION = 0.8;
/** Shorter idle times are no evidence: such a reset has other causes. */
const MIN_IDLE_MS = 250;
/** A forgotten connection is reset within a trip there and back; later resets have other causes. */
const MAX_RESET_DELAY_MS = 600;
const DECAY_MS = 60_000;
const RESET_CODES: ReadonlySet<string> = new Set(["ECONNRESET", "EPIPE", "UND_ERR_SOCKET"]);

/** The bound in ms that a reply's Keep-Alive sets on idleness; Infinity when it tells none. */
export function parseKeepAliveMs(keepAlive: string | undefined): number {
  const seconds = keepAlive === undefined ? null : /timeout=(\d+)/i.exec(keepAlive);
  return seconds ? Math.max(0, Number(seconds[1]) * 1000 - MARGIN_MS) : Infinity;
}

/** Whether an error is that of a connection, and not of what came over it. */
export function isConnectionReset(cause: { code?: unknown } | undefined): boolean {
  return typeof cause?.code === "string" && RESET_CODES.has(cause.code);
}

/** What one service's runners taught. */
export class IdleTimeout {
  private learnedMs = Infinity;
  private learnedAt = 0;

  constructor(
    readonly clock: types.Clock,
    private readonly defaultMs: number,
  ) {}

  /** A kept connection, idle for so long, was reset so soon after its next send, without a byte of reply. */
  recordReset(idleMs: number, resetAfterMs: number): void {
    if (idleMs < MIN_IDLE_MS || resetAfterMs > MAX_RESET_DELAY_MS) return;
    log.count("runner.idle_reset");
    const timeout = idleMs * LEARNED_FRACTION;
    if (timeout >= this.maxIdleMs()) return;
    this.learnedMs = timeout;
    this.learnedAt = this.clock.now();
  }

  /** For what may not run twice; it goes back up to the usual time over a minute, slowly first. Infinity: nothing is learned. */
  maxIdleMs(): number {
    const passed = (this.clock.now() - this.learnedAt) / DECAY_MS;
    if (passed >= 1 || this.learnedMs >= this.defaultMs) return Infinity;
    return this.learnedMs + (this.defaultMs - this.learnedMs) * passed * passed;
  }
}

/** The limits of all services. */
export class IdleTimeouts {
  private readonly byService = new Map<string, IdleTimeout>();

  constructor(
    private readonly clock: types.Clock,
    private readonly defaultMs: number,
  ) {}

  ofService(service: string): IdleTimeout {
    let timeout = this.byService.get(service);
    if (!timeout) {
      timeout = new IdleTimeout(this.clock, this.defaultMs);
      this.byService.set(service, timeout);
    }
    return timeout;
  }
}
