// How much slower a runner is than predicted: up at once, down slowly (design/admission 3). What is still
// without a reply counts as soon as it is overdue.
import type * as types from "../wire/types.js";

const UP = 0.7;
const DOWN = 0.15;
const MOST = 8;
/** Times under this are noise of the way, not of the runner (ours). */
const NOISE_MS = 100;

export interface Waiting {
  readonly sentAt: number;
  readonly predictedMs: number;
}

/** Seen over predicted: until the first event, and from there to the end. */
export interface Slow {
  readonly first: number;
  readonly stream: number;
}

export const NONE: Slow = { first: 1, stream: 1 };
/** A first event that came a little late says nothing of the events after it (ours). */
const CLEARLY_SLOW = 2;
/** Streams differ by so much among runners of one speed, by who joins their batch on the way (ours). */
const USUAL_SPREAD = 1.3;

/** Up at once, down slowly, and never quicker than predicted. */
function moved(factor: number, seen: number): number {
  return Math.max(1, factor + (seen > factor ? UP : DOWN) * (seen - factor));
}

class Watched {
  first = 1;
  stream = 1;
  readonly waiting = new Set<Waiting>();
}

function ratio(seenMs: number, predictedMs: number): number {
  return Math.min(MOST, (seenMs + NOISE_MS) / (predictedMs + NOISE_MS));
}

export class Slowness {
  private readonly runners = new Map<types.RunnerId, Watched>();

  private of(runner: types.RunnerId): Watched {
    let watched = this.runners.get(runner);
    if (!watched) {
      watched = new Watched();
      this.runners.set(runner, watched);
    }
    return watched;
  }

  forgetAllBut(standing: { has(id: string): boolean }): void {
    for (const id of this.runners.keys()) if (!standing.has(id)) this.runners.delete(id);
  }

  sent(runner: types.RunnerId, what: Waiting): void {
    this.of(runner).waiting.add(what);
  }

  /** The first event or the whole reply is here; predictions were made with slowness 1. */
  replied(runner: types.RunnerId, what: Waiting, now: number): void {
    const watched = this.of(runner);
    if (!watched.waiting.delete(what)) return;
    watched.first = moved(watched.first, ratio(now - what.sentAt, what.predictedMs));
  }

  /** Ended without a reply: it says nothing of its pace. */
  dropped(runner: types.RunnerId, what: Waiting): void {
    this.of(runner).waiting.delete(what);
  }

  /** A whole stream is here; the pace was predicted by the fullness of its batch. */
  streamed(runner: types.RunnerId, seenMs: number, predictedMs: number): void {
    const watched = this.of(runner);
    if (predictedMs > 0) watched.stream = moved(watched.stream, ratio(seenMs, predictedMs));
  }

  at(runner: types.RunnerId, now: number): Slow {
    const watched = this.runners.get(runner);
    if (!watched) return NONE;
    let { first } = watched;
    for (const oldest of watched.waiting) {
      first = Math.max(first, ratio(now - oldest.sentAt, oldest.predictedMs));
      break;
    }
    const stream = watched.stream >= USUAL_SPREAD ? watched.stream : 1;
    return { first, stream: first >= CLEARLY_SLOW ? Math.max(first, stream) : stream };
  }
}
