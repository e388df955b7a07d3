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

class Watched {
  factor = 1;
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
    const seen = ratio(now - what.sentAt, what.predictedMs);
    watched.factor += (seen > watched.factor ? UP : DOWN) * (seen - watched.factor);
    watched.factor = Math.max(1, watched.factor);
  }

  /** Ended without a reply: it says nothing of its pace. */
  dropped(runner: types.RunnerId, what: Waiting): void {
    this.of(runner).waiting.delete(what);
  }

  at(runner: types.RunnerId, now: number): number {
    const watched = this.runners.get(runner);
    if (!watched) return 1;
    for (const oldest of watched.waiting) return Math.max(watched.factor, ratio(now - oldest.sentAt, oldest.predictedMs));
    return watched.factor;
  }
}
