/** What a typical request of one route takes, for the capacity command (design/admission 6). */
import type * as prediction from "./prediction.js";

const LEARNING_RATE = 0.05;

/** Moving means over the route's completed requests. */
export class TypicalRequest {
  /** The service that served the last one; empty before the first. */
  service = "";
  private count = 0;
  private tokens = 0;
  private unread = 0;
  private occupancyMs = 0;

  /** A request is complete and has occupied its slot for `occupancyMs` milliseconds. */
  recordCompletion(service: string, demand: prediction.TokenDemand, occupancyMs: number): void {
    this.service = service;
    this.count += 1;
    const rate = Math.max(LEARNING_RATE, 1 / this.count);
    this.tokens += rate * (demand.totalTokens - this.tokens);
    this.unread += rate * (demand.prefillTokens - this.unread);
    this.occupancyMs += rate * (occupancyMs - this.occupancyMs);
  }

  /** The means, rounded; these names are read by `cranewind capacity`. */
  status(): { count: number; tokens: number; unread: number; heldMs: number } {
    return { count: this.count, tokens: Math.round(this.tokens), unread: Math.round(this.unread), heldMs: Math.round(this.occupancyMs) };
  }
}
