/**
 * A model of a runner under more than it can take (design/admission 7): batch places, a bounded queue by priority,
 * memory for tokens, prompts read one after the other, and work that stops at its deadline.
 */
import * as promptParts from "../routing/prompt-parts.js";
import * as prefillTracker from "../runners/prefill-tracker.js";
import type * as schema from "../wire/schema.js";
import * as types from "../wire/types.js";
import type * as scenarios from "./scenario.js";

/** One request as the runner sees it; its deadline in milliseconds of the planned clock. */
export interface Job {
  readonly parts: readonly promptParts.PromptPart[];
  readonly events: number;
  readonly priority: number;
  readonly deadline: number;
  /** Called when the first event leaves. */
  first(): void;
  /** False: the deadline passed before its last event. */
  ended(isWhole: boolean): void;
}

interface Queued {
  job: Job;
  order: number;
}

/** A queue as long as the batch, if the scenario tells none. */
const QUEUE_PART = 1;

/** One runner of an overload day; it acts at the times of the planned world alone. */
export class BatchRunner {
  private readonly cachedPrompts = new prefillTracker.PrefillTracker();
  private readonly queue: Queued[] = [];
  private readingUntil = 0;
  private order = 0;
  private active = 0;
  private kvUsed = 0;
  /** Above 1: everything takes so much longer. */
  slow = 1;

  constructor(
    readonly id: string,
    readonly region: string,
    private readonly figures: scenarios.Scenario["runner"],
    private readonly clock: types.Clock,
  ) {}

  private tokensOf(job: Job): number {
    let sum = job.events;
    for (const part of job.parts) sum += part.tokens;
    return sum;
  }

  /** Places of the batch that are free; 0 while anybody queues. */
  freePlaces(): number {
    return this.queue.length > 0 ? 0 : Math.max(0, this.figures.capacity - this.active);
  }

  /** False: handed back, and not run. */
  submit(job: Job): boolean {
    const { capacity, kv_tokens: memory } = this.figures;
    if (memory > 0 && this.tokensOf(job) > memory) return false;
    if (this.queue.length >= (this.figures.queue ?? capacity * QUEUE_PART) && !this.fits(job)) return false;
    this.order += 1;
    this.queue.push({ job, order: this.order });
    this.queue.sort(byUrgency);
    this.startQueued();
    return true;
  }

  private fits(job: Job): boolean {
    const { capacity, kv_tokens: memory } = this.figures;
    return this.active < capacity && (memory === 0 || this.kvUsed + this.tokensOf(job) <= memory);
  }

  private startQueued(): void {
    for (let next = this.queue[0]; next && (this.fits(next.job) || next.job.deadline <= this.clock.now()); next = this.queue[0]) {
      this.queue.shift();
      if (next.job.deadline <= this.clock.now()) next.job.ended(false);
      else this.run(next.job);
    }
  }

  private run(job: Job): void {
    const now = this.clock.now();
    const keys = promptParts.prefixKeys(job.parts);
    const unread = this.cachedPrompts.uncachedTokens(this.id, job.parts, keys);
    this.cachedPrompts.recordPrefill(this.id, unread, keys, now);
    this.active += 1;
    const tokens = this.tokensOf(job);
    this.kvUsed += tokens;
    this.readingUntil = Math.max(now, this.readingUntil) + (unread * this.slow) / this.figures.tokens_per_ms;
    const eventMs = this.slow * this.figures.event_ms * (1 + this.active / this.figures.capacity);
    const firstAt = this.readingUntil + eventMs;
    const endAt = firstAt + (job.events - 1) * eventMs;
    const isWhole = endAt <= job.deadline;
    if (firstAt <= job.deadline) this.clock.schedule(firstAt - now, job.first.bind(job));
    function ended(this: BatchRunner): void {
      this.active -= 1;
      this.kvUsed -= tokens;
      job.ended(isWhole);
      this.startQueued();
    }
    this.clock.schedule(Math.min(endAt, job.deadline) - now, ended.bind(this));
  }

  /** What the runner would report now. */
  report(): schema.Report {
    return {
      id: types.small(this.id),
      isSpeaking: true,
      waiting: this.queue.length,
      active: this.active,
      kvUsed: this.kvUsed,
      kvCapacity: this.figures.kv_tokens,
    };
  }
}

function byUrgency(left: Queued, right: Queued): number {
  return left.job.priority - right.job.priority || left.order - right.order;
}
