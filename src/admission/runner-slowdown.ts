/**
 * How much slower a runner is than predicted: rises fast, decays slowly (design/admission 3). A request without a
 * response counts as soon as it is overdue.
 */
import type * as types from "../wire/types.js";

const RISE_WEIGHT = 0.7;
const DECAY_WEIGHT = 0.15;
/** Upper bound of a slowdown. */
const MAX_RATIO = 8;
/** Added to both times: differences of this size are noise of the network, not of the runner (ours). */
const NOISE_MS = 100;

/** A request at a runner; compared by identity. */
export interface PendingRequest {
  /** Milliseconds of the steady clock. */
  readonly sentAt: number;
  /** Predicted milliseconds until its first event, without a slowdown. */
  readonly predictedMs: number;
}

/** Observed over predicted times, at least 1: until the first event, and from there to the end of the stream. */
export interface Slowdown {
  readonly first: number;
  readonly stream: number;
}

/** As fast as predicted. */
export const NO_SLOWDOWN: Slowdown = { first: 1, stream: 1 };
/** From this slowdown of first events on, the events after them are expected to be as slow (ours). */
const MIN_SPREADING_SLOWDOWN = 2;
/** Streams differ by up to this among runners of one speed, by the requests that join their batch (ours). */
const STREAM_TOLERANCE = 1.3;

/** An exponential moving average that rises faster than it decays, and is at least 1. */
function smooth(average: number, observed: number): number {
  return Math.max(1, average + (observed > average ? RISE_WEIGHT : DECAY_WEIGHT) * (observed - average));
}

class RunnerRecord {
  first = 1;
  stream = 1;
  readonly pending = new Set<PendingRequest>();
}

function ratio(observedMs: number, predictedMs: number): number {
  return Math.min(MAX_RATIO, (observedMs + NOISE_MS) / (predictedMs + NOISE_MS));
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

  /** A request was sent; `responseStarted` or `requestDropped` has to follow. */
  requestSent(runner: types.RunnerId, request: PendingRequest): void {
    this.recordOf(runner).pending.add(request);
  }

  /** The first event or the complete response has arrived. */
  responseStarted(runner: types.RunnerId, request: PendingRequest, now: number): void {
    const record = this.recordOf(runner);
    if (!record.pending.delete(request)) return;
    record.first = smooth(record.first, ratio(now - request.sentAt, request.predictedMs));
  }

  /** The request ended without a response, which says nothing about the runner's speed. */
  requestDropped(runner: types.RunnerId, request: PendingRequest): void {
    this.recordOf(runner).pending.delete(request);
  }

  /** A stream has ended; its time was predicted by the fullness of the runner's batch. */
  streamEnded(runner: types.RunnerId, observedMs: number, predictedMs: number): void {
    const record = this.recordOf(runner);
    if (predictedMs > 0) record.stream = smooth(record.stream, ratio(observedMs, predictedMs));
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
    return { first, stream: first >= MIN_SPREADING_SLOWDOWN ? Math.max(first, stream) : stream };
  }
}
