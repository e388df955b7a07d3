// How much slower a runner is than predicted: up at once, down slowly (design/admission 3). What is still
// without a reply counts as soon as it is overdue.
import type * as types from "../wire/types.js";

const RISE_WEIGHT = 0.7;
const DECAY_WEIGHT = 0.15;
const MAX_RATIO = 8;
/** Times under this are noise of the way, not of the runner (ours). */
const NOISE_MS = 100;

export interface PendingRequest {
  readonly sentAt: number;
  readonly predictedMs: number;
}

/** Seen over predicted: until the first event, and from there to the end. */
export interface Slowdown {
  readonly first: number;
  readonly stream: number;
}

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

export class Slowness {
  private readonly runners = new Map<types.RunnerId, RunnerRecord>();

  private recordOf(runner: types.RunnerId): RunnerRecord {
    let watched = this.runners.get(runner);
    if (!watched) {
      watched = new RunnerRecord();
      this.runners.set(runner, watched);
    }
    return watched;
  }

  retainOnly(listed: { has(id: string): boolean }): void {
    for (const id of this.runners.keys()) if (!listed.has(id)) this.runners.delete(id);
  }

  requestSent(runner: types.RunnerId, request: PendingRequest): void {
    this.recordOf(runner).pending.add(request);
  }

  /** The first event or the whole reply is here; predictions were made with slowness 1. */
  responseStarted(runner: types.RunnerId, request: PendingRequest, now: number): void {
    const watched = this.recordOf(runner);
    if (!watched.pending.delete(request)) return;
    watched.first = smoothed(watched.first, ratio(now - request.sentAt, request.predictedMs));
  }

  /** Ended without a reply: it says nothing of its pace. */
  requestDropped(runner: types.RunnerId, request: PendingRequest): void {
    this.recordOf(runner).pending.delete(request);
  }

  /** A whole stream is here; the pace was predicted by the fullness of its batch. */
  streamEnded(runner: types.RunnerId, seenMs: number, predictedMs: number): void {
    const watched = this.recordOf(runner);
    if (predictedMs > 0) watched.stream = smoothed(watched.stream, ratio(seenMs, predictedMs));
  }

  at(runner: types.RunnerId, now: number): Slowdown {
    const watched = this.runners.get(runner);
    if (!watched) return NO_SLOWDOWN;
    let { first } = watched;
    for (const oldest of watched.pending) {
      first = Math.max(first, ratio(now - oldest.sentAt, oldest.predictedMs));
      break;
    }
    const stream = watched.stream >= STREAM_TOLERANCE ? watched.stream : 1;
    return { first, stream: first >= CLEARLY_SLOW ? Math.max(first, stream) : stream };
  }
}
