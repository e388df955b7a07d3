// What a request of one route usually takes, for "how many more" (design/admission 6).
import type * as predictions from "./predict.js";

const LEARNING_RATE = 0.05;

export class TypicalRequest {
  service = "";
  private count = 0;
  private tokens = 0;
  private unread = 0;
  private heldMs = 0;

  learn(service: string, need: predictions.Need, heldMs: number): void {
    this.service = service;
    this.count += 1;
    const part = Math.max(LEARNING_RATE, 1 / this.count);
    this.tokens += part * (need.tokens - this.tokens);
    this.unread += part * (need.unread - this.unread);
    this.heldMs += part * (heldMs - this.heldMs);
  }

  status(): { count: number; tokens: number; unread: number; heldMs: number } {
    return { count: this.count, tokens: Math.round(this.tokens), unread: Math.round(this.unread), heldMs: Math.round(this.heldMs) };
  }
}
