/**
 * A simple model of a runner: prompts are read one after the other, events come slower in a fuller batch, and what
 * was read is cached (design 11.2).
 */
import * as promptParts from "../routing/prompt-parts.js";
import * as prefillTracker from "../runners/prefill-tracker.js";
import type * as scenarios from "./scenario.js";

/** Milliseconds from now, and tokens that had to be read. */
export interface Run {
  firstMs: number;
  endMs: number;
  unread: number;
}

/** One runner of a what-if day. */
export class ModelRunner {
  private readonly cachedPrompts = new prefillTracker.PrefillTracker();
  private prefillEndsAt = 0;
  active = 0;
  isUp = true;

  constructor(
    readonly id: string,
    readonly region: string,
    private readonly parameters: scenarios.Scenario["runner"],
  ) {}

  /** It hands requests back. */
  isFull(): boolean {
    return this.active >= this.parameters.capacity * 2;
  }

  /** When the first and the last event leave, from now on. */
  run(parts: readonly promptParts.PromptPart[], events: number, nowMs: number): Run {
    const keys = promptParts.prefixKeys(parts);
    const unread = this.cachedPrompts.uncachedTokens(this.id, parts, keys);
    this.cachedPrompts.recordPrefill(this.id, unread, keys, nowMs);
    this.prefillEndsAt = Math.max(nowMs, this.prefillEndsAt) + unread / this.parameters.tokens_per_ms;
    const eventMs = this.parameters.event_ms * (1 + this.active / this.parameters.capacity);
    const firstMs = this.prefillEndsAt - nowMs + eventMs;
    return { firstMs, endMs: firstMs + (events - 1) * eventMs, unread };
  }

  /** The runner is lost with all it had cached. */
  fail(): void {
    this.isUp = false;
    this.cachedPrompts.retainOnly(new Set());
    this.prefillEndsAt = 0;
  }
}
