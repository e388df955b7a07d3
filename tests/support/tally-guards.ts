// Guards of tallies taken out, one at a time, for histories that must then show it.
import * as eraAdvancer from "../../src/tallies/era-advancer.js";
import * as counterState from "../../src/tallies/counter-state.js";
import * as totalsReadiness from "../../src/tallies/totals-readiness.js";
import type * as types from "../../src/wire/types.js";
import type * as tallyCluster from "./tally-cluster.js";

/** Each guard (design/tallies 2 to 6). */
export type Guard = "none" | "dedupe" | "memory" | "life" | "sync" | "copies" | "wait_after_loss";

const WEAKNESSES: Partial<Record<Guard, tallyCluster.Weaknesses>> = {
  life: { sharesLives: true },
  sync: { losesSyncs: true },
  copies: { asksOneDisk: true },
};

/** What a history without the guard is made with. */
export function weaknessOf(guard: Guard): tallyCluster.Weaknesses {
  return WEAKNESSES[guard] ?? {};
}

/** Runs the work with eras that end after so many milliseconds. */
export async function withEras<T>(eraMs: number, work: () => Promise<T>): Promise<T> {
  const prototype = eraAdvancer.EraAdvancer.prototype as unknown as Record<string, unknown>;
  const usual = prototype["isDue"];
  prototype["isDue"] = function isDue(this: { clock: types.Clock; enteredAt: number }): boolean {
    return this.clock.now() - this.enteredAt >= eraMs;
  };
  try {
    return await work();
  } finally {
    prototype["isDue"] = usual;
  }
}

interface Patch {
  prototype: Record<string, unknown>;
  method: string;
  without: (...parts: never[]) => unknown;
}

function patchOf(guard: Guard): Patch | null {
  const state = counterState.CounterState.prototype as unknown as Record<string, unknown>;
  const readiness = totalsReadiness.TotalsReadiness.prototype as unknown as Record<string, unknown>;
  if (guard === "dedupe") return { prototype: state, method: "append", without: appendAsNew };
  if (guard === "wait_after_loss") return { prototype: readiness, method: "hasEnough", without: () => true };
  if (guard === "memory") return { prototype: state, method: "restoreId", without: () => undefined };
  return null;
}

const { append } = counterState.CounterState.prototype;

/** Counts each add of each stream. */
function appendAsNew(
  this: counterState.CounterState,
  stream: string,
  add: { id: string; tally: string; amount: number; era: number },
): unknown {
  return append.call(this, stream, { ...add, id: `${add.id} of ${stream}` });
}

/** Runs the work without the guard, and puts it back. */
export async function without<T>(guard: Guard, work: () => Promise<T>): Promise<T> {
  const patch = patchOf(guard);
  if (!patch) return work();
  const guarded = patch.prototype[patch.method];
  patch.prototype[patch.method] = patch.without;
  try {
    return await work();
  } finally {
    patch.prototype[patch.method] = guarded;
  }
}
