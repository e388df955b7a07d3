/**
 * A model of a runner under more than it can take (design/admission 7): batch places, a bounded queue by priority,
 * memory for tokens, prompts read one after the other, and work that stops at its deadline.
 */
import * as promptParts from "../routing/prompt-parts.js";
import * as prefillTracker from "../runners/prefill-tracker.js";
import type * as schema from "../wire/schema.js";
import * as types from "../wire/types.js";
import type * as scenarios from "./scenario.js";

/** One request as the runner sees it; its deadline in milliseconds of the simulated clock. */
export interface Job {
  readonly parts: readonly promptParts.PromptPart[];
  readonly events: number;
  readonly priority: number;
  readonly deadline: number;
  /** Called when the first event leaves. */
  onFirstEvent(): void;
  /** False: the deadline passed before its last event. */
  onEnd(isComplete: boolean): void;
}

interface QueuedJob {
  job: Job;
  order: number;
}

/** Queue length per slot if the scenario sets none. */
const DEFAULT_QUEUE_PER_SLOT = 1;

/** One runner of an overload day; it acts only at the times of the planned clock. */
export class BatchRunner {
  private readonly cachedPrompts = new prefillTracker.PrefillTracker();
  private readonly queue: QueuedJob[] = [];
  private prefillEndsAt = 0;
  private order = 0;
  private active = 0;
  private kvUsed = 0;
  /** Prompt reading and events take this many times as long. */
  slowdownFactor = 1;

  constructor(
    readonly id: string,
    readonly region: string,
    private readonly parameters: scenarios.Scenario["runner"],
    private readonly clock: types.Clock,
  ) {}

  private tokensOf(job: Job): number {
    let sum = job.events;
    for (const part of job.parts) sum += part.tokens;
    return sum;
  }

  /** Free slots of the batch; 0 while a request is queued. */
  freeSlots(): number {
    return this.queue.length > 0 ? 0 : Math.max(0, this.parameters.capacity - this.active);
  }

  /** Returns false if the job is rejected, and then not run. */
  submit(job: Job): boolean {
    const { capacity, kv_tokens: memory } = this.parameters;
    if (memory > 0 && this.tokensOf(job) > memory) return false;
    if (this.queue.length >= (this.parameters.queue ?? capacity * DEFAULT_QUEUE_PER_SLOT) && !this.fits(job)) return false;
    this.order += 1;
    this.queue.push({ job, order: this.order });
    this.queue.sort(byUrgency);
    this.startQueued();
    return true;
  }

  private fits(job: Job): boolean {
    const { capacity, kv_tokens: memory } = this.parameters;
    return this.active < capacity && (memory === 0 || this.kvUsed + this.tokensOf(job) <= memory);
  }

  private startQueued(): void {
    for (let next = this.queue[0]; next && (this.fits(next.job) || next.job.deadline <= this.clock.now()); next = this.queue[0]) {
      this.queue.shift();
      if (next.job.deadline <= this.clock.now()) next.job.onEnd(false);
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
    this.prefillEndsAt = Math.max(now, this.prefillEndsAt) + (unread * this.slowdownFactor) / this.parameters.tokens_per_ms;
    const eventMs = this.slowdownFactor * this.parameters.event_ms * (1 + this.active / this.parameters.capacity);
    const firstAt = this.prefillEndsAt + eventMs;
    const endAt = firstAt + (job.events - 1) * eventMs;
    const isComplete = endAt <= job.deadline;
    if (firstAt <= job.deadline) this.clock.schedule(firstAt - now, () => job.onFirstEvent());
    this.clock.schedule(Math.min(endAt, job.deadline) - now, () => {
      this.active -= 1;
      this.kvUsed -= tokens;
      job.onEnd(isComplete);
      this.startQueued();
    });
  }

  /** What the runner would report now. */
  report(): schema.Report {
    return {
      id: types.small(this.id),
      isSpeaking: true,
      waiting: this.queue.length,
      active: this.active,
      kvUsed: this.kvUsed,
      kvCapacity: this.parameters.kv_tokens,
    };
  }
}

function byUrgency(left: QueuedJob, right: QueuedJob): number {
  return left.job.priority - right.job.priority || left.order - right.order;
}
