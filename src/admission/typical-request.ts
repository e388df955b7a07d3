/** What a request of one route usually takes, for "how many more" (design/admission 6). */
import type * as prediction from "./prediction.js";

const LEARNING_RATE = 0.05;

/** Moving means over the route's completed requests. */
export class TypicalRequest {
  /** The service that served the last one; empty before the first. */
  service = "";
  private count = 0;
  private tokens = 0;
  private unread = 0;
  private heldMs = 0;

  /** One request was served and held a place for `heldMs` milliseconds. */
  recordCompletion(service: string, need: prediction.TokenDemand, heldMs: number): void {
    this.service = service;
    this.count += 1;
    const rate = Math.max(LEARNING_RATE, 1 / this.count);
    this.tokens += rate * (need.totalTokens - this.tokens);
    this.unread += rate * (need.prefillTokens - this.unread);
    this.heldMs += rate * (heldMs - this.heldMs);
  }

  /** The means, rounded; these names are read by `cranewind capacity`. */
  status(): { count: number; tokens: number; unread: number; heldMs: number } {
    return { count: this.count, tokens: Math.round(this.tokens), unread: Math.round(this.unread), heldMs: Math.round(this.heldMs) };
  }
}
