/** Which routers announced that they drain (design/members 1, design 4.3). */
import type * as types from "../../wire/types.js";

/** How long a notice is kept: no peer publishes a router for so long after it has drained. */
const NOTICE_TTL_MS = 60_000;

/** Incarnations of draining routers. A peer's older update doesn't make one of them ready again. */
export class DrainNotices {
  private readonly noticedAt = new Map<string, number>();

  constructor(private readonly clock: types.Clock) {}

  /** A router announced to this node that it drains. */
  record(incarnation: string): void {
    this.noticedAt.set(incarnation, this.clock.now());
  }

  /** A peer was told that a router drains; a notice that is known already keeps its time. */
  recordFromPeer(incarnation: string): void {
    if (!this.noticedAt.has(incarnation)) this.noticedAt.set(incarnation, this.clock.now());
  }

  /** The router is ready again. */
  withdraw(incarnation: string): void {
    this.noticedAt.delete(incarnation);
  }

  /** Whether the incarnation announced that it drains. */
  has(incarnation: string): boolean {
    return this.noticedAt.has(incarnation);
  }

  /** All draining incarnations. */
  incarnations(): Iterable<string> {
    return this.noticedAt.keys();
  }

  /** Whether the router announced its drain less than `withinMs` milliseconds ago. */
  isRecent(incarnation: string, withinMs: number): boolean {
    const noticedAt = this.noticedAt.get(incarnation);
    return noticedAt !== undefined && this.clock.now() - noticedAt < withinMs;
  }

  /** Forgets notices that are too old to matter. */
  expire(): void {
    const now = this.clock.now();
    for (const [incarnation, noticedAt] of this.noticedAt) {
      if (now - noticedAt > NOTICE_TTL_MS) this.noticedAt.delete(incarnation);
    }
  }
}
