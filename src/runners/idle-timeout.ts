/**
 * How long a connection may have been idle when it is reused (design/edge 7.13): what runners declare, and what is learned
 * for each service from connections that were closed earlier than declared.
 */
import * as log from "../runtime/log.js";
import type * as types from "../wire/types.js";

/** Keep-Alive is declared in whole seconds and counted from another moment than ours: a connection is closed so much earlier. */
export const MARGIN_MS = 1000;
/** The learned limit, as a fraction of the idle time that was too long. */
const LEARNED_FRACTION = 0.8;
/** A reset after a shorter idle time has other causes. */
const MIN_IDLE_MS = 250;
/** A closed connection is reset within a round trip; later resets have other causes. */
const MAX_RESET_DELAY_MS = 600;
/** The learned limit is back at the default after so long. */
const DECAY_MS = 60_000;
const RESET_CODES: ReadonlySet<string> = new Set(["ECONNRESET", "EPIPE", "UND_ERR_SOCKET"]);

/** The idle time in milliseconds that a Keep-Alive field allows; Infinity where it declares none. */
export function parseKeepAliveMs(keepAlive: string | undefined): number {
  const seconds = keepAlive === undefined ? null : /timeout=(\d+)/i.exec(keepAlive);
  return seconds ? Math.max(0, Number(seconds[1]) * 1000 - MARGIN_MS) : Infinity;
}

/** Whether an error is a reset of the connection, and not a fault in what came over it. */
export function isConnectionReset(cause: { code?: unknown } | undefined): boolean {
  return typeof cause?.code === "string" && RESET_CODES.has(cause.code);
}

/** The idle limit learned for one service. */
export class IdleTimeout {
  private learnedIdleMs = Infinity;
  private learnedAt = 0;

  constructor(
    readonly clock: types.Clock,
    private readonly defaultMs: number,
  ) {}

  /** A connection that was idle for `idleMs` was reset `resetAfterMs` after its next request, before any byte of a response. */
  recordReset(idleMs: number, resetAfterMs: number): void {
    if (idleMs < MIN_IDLE_MS || resetAfterMs > MAX_RESET_DELAY_MS) return;
    log.count("runner.idle_reset");
    const timeout = idleMs * LEARNED_FRACTION;
    if (timeout >= this.maxIdleMs()) return;
    this.learnedIdleMs = timeout;
    this.learnedAt = this.clock.now();
  }

  /** The limit for requests that are not repeatable; rises to the default over a minute, slowly first. Infinity: nothing is learned. */
  maxIdleMs(): number {
    const passed = (this.clock.now() - this.learnedAt) / DECAY_MS;
    if (passed >= 1 || this.learnedIdleMs >= this.defaultMs) return Infinity;
    return this.learnedIdleMs + (this.defaultMs - this.learnedIdleMs) * passed * passed;
  }
}

/** The idle limits of all services. */
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
