/**
 * How much slower a runner is than predicted: up at once, down slowly (design/admission 3). What is still without a
 * response counts as soon as it is overdue.
 */
import type * as types from "../wire/types.js";

const RISE_WEIGHT = 0.7;
const DECAY_WEIGHT = 0.15;
/** A runner counts as no slower than this. */
const MAX_RATIO = 8;
/** Times under this are noise of the way, not of the runner (ours). */
const NOISE_MS = 100;

/** A request at a runner; compared by identity. */
export interface PendingRequest {
  /** Milliseconds of the steady clock. */
  readonly sentAt: number;
  /** Until its first event, were the runner as quick as the others. */
  readonly predictedMs: number;
}

/** Times seen over times predicted, never under 1: until the first event, and from there to the end. */
export interface Slowdown {
  readonly first: number;
  readonly stream: number;
}

/** As quick as predicted. */
export const NO_SLOWDOWN: Slowdown = { first: 1, stream: 1 };
/** A first event that came a little late says nothing of the events after it (ours). */
const CLEARLY_SLOW = 2;
/** Streams differ by so much among runners of one speed, by who joins their batch on the way (ours). */
const STREAM_TOLERANCE = 1.3;

/** Up at once, down slowly, and never quicker than predicted. */
function smoothed(factor: number, seen: number): number {
  return Math.max(1, factor + (seen > factor ? RISE_WEIGHT : DECAY_WEIGHT) * (seen - factor));
}

class RunnerRecord {
  first = 1;
  stream = 1;
  readonly pending = new Set<PendingRequest>();
}

function ratio(seenMs: number, predictedMs: number): number {
  return Math.min(MAX_RATIO, (seenMs + NOISE_MS) / (predictedMs + NOISE_MS));
}

/** Slowdowns of all runners that this router has sent to. */
export class RunnerSlowdowns {
  private readonly runners = new Map<types.RunnerId, RunnerRecord>();

  private recordOf(runner: types.RunnerId): RunnerRecord {
    let record = this.runners.get(runner);
    if (!record) {
      record = new RunnerRecord();
      this.runners.set(runner, record);
    }
    return record;
  }

  /** Drops runners that are not listed. */
  retainOnly(listed: { has(id: string): boolean }): void {
    for (const id of this.runners.keys()) if (!listed.has(id)) this.runners.delete(id);
  }

  /** It is on its way; responseStarted or requestDropped must follow. */
  requestSent(runner: types.RunnerId, request: PendingRequest): void {
    this.recordOf(runner).pending.add(request);
  }

  /** The first event or the whole reply is here; predictions were made with slowness 1. */
  responseStarted(runner: types.RunnerId, request: PendingRequest, now: number): void {
    const record = this.recordOf(runner);
    if (!record.pending.delete(request)) return;
    record.first = smoothed(record.first, ratio(now - request.sentAt, request.predictedMs));
  }

  /** Ended without a reply: it says nothing of its pace. */
  requestDropped(runner: types.RunnerId, request: PendingRequest): void {
    this.recordOf(runner).pending.delete(request);
  }

  /** A whole stream is here; the pace was predicted by the fullness of its batch. */
  streamEnded(runner: types.RunnerId, seenMs: number, predictedMs: number): void {
    const record = this.recordOf(runner);
    if (predictedMs > 0) record.stream = smoothed(record.stream, ratio(seenMs, predictedMs));
  }

  /** The slowdown of a runner now, overdue requests included. */
  slowdownOf(runner: types.RunnerId, now: number): Slowdown {
    const record = this.runners.get(runner);
    if (!record) return NO_SLOWDOWN;
    let { first } = record;
    for (const oldest of record.pending) {
      first = Math.max(first, ratio(now - oldest.sentAt, oldest.predictedMs));
      break;
    }
    const stream = record.stream >= STREAM_TOLERANCE ? record.stream : 1;
    return { first, stream: first >= CLEARLY_SLOW ? Math.max(first, stream) : stream };
  }
}
