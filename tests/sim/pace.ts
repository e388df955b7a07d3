// Callers that each keep one order under way at a simulated core, and how long their orders take.
import * as result from "true-myth/result";
import * as stepQueue from "../../src/register/step-queue.js";
import type * as registerStep from "../../src/register/register-step.js";
import * as registerValue from "../../src/register/register-value.js";
import type * as schema from "../../src/wire/schema.js";
import * as simRegister from "./sim-register.js";
import * as quantile from "./quantile.js";
import * as simulatedClock from "./simulated-clock.js";

/** As operators' calls: longer, and the answer is no clear one. */
const CALL_MS = 2600;
const PLAY_MS = 60_000;

export interface Pace {
  perSecond: number;
  medianMs: number;
  p99Ms: number;
  unclear: number;
}

export interface Setting {
  seed: number;
  nodes: number;
  callers: number;
  /** At one node, or dealt out over all. */
  isSpread: boolean;
  isBatched: boolean;
  diskFactor: number;
}

type Change = (step: registerStep.Step, withinMs: number) => Promise<registerStep.Outcome>;

function toggle(zone: string, isStart: boolean): registerStep.Step {
  return function step(value: schema.Value) {
    return result.ok(registerValue.withEvacuation(value, zone, isStart));
  };
}

interface Callers {
  clock: simulatedClock.SimulatedClock;
  /** The change that each caller's orders go to. */
  changeOf(caller: number): Change;
}

function callersOf(setting: Setting): Callers {
  const clock = new simulatedClock.SimulatedClock(setting.seed);
  const addresses = Array.from({ length: setting.nodes }, (_, index) => `n${index}:1`);
  const core = new simRegister.SimRegister(clock, addresses);
  core.diskFactor = setting.diskFactor;
  const changes: Change[] = [];
  for (const node of core.nodes.values()) {
    const direct = node.proposer.change.bind(node.proposer);
    const queue = new stepQueue.StepQueue(clock, direct);
    changes.push(setting.isBatched ? queue.change.bind(queue) : direct);
  }
  return { clock, changeOf: (caller) => changes[setting.isSpread ? caller % changes.length : 0] };
}

/** A minute of orders without conflict (evacuations of zones of the callers' own), one after the other for each caller. */
export async function measure(setting: Setting): Promise<Pace> {
  const { clock, changeOf } = callersOf(setting);
  const took: number[] = [];
  let unclear = 0;
  async function call(caller: number): Promise<void> {
    for (let isStart = true; clock.now() < PLAY_MS; isStart = !isStart) {
      const startedAt = clock.now();
      const outcome = await changeOf(caller)(toggle(`zone-${caller}`, isStart), CALL_MS);
      if (outcome.isErr) unclear += 1;
      else took.push(clock.now() - startedAt);
    }
  }
  for (let caller = 0; caller < setting.callers; caller += 1) void call(caller);
  await clock.play(PLAY_MS);
  took.sort((left, right) => left - right);
  return {
    perSecond: (took.length * 1000) / PLAY_MS,
    medianMs: quantile.quantile(took, 0.5),
    p99Ms: quantile.quantile(took, 0.99),
    unclear,
  };
}

/** One order of each caller, all at once; how long those took that were answered. */
export async function burst(setting: Setting): Promise<number[]> {
  const { clock, changeOf } = callersOf(setting);
  const took: number[] = [];
  async function call(caller: number): Promise<void> {
    const outcome = await changeOf(caller)(toggle(`zone-${caller}`, true), CALL_MS);
    if (outcome.isOk) took.push(clock.now());
  }
  for (let caller = 0; caller < setting.callers; caller += 1) void call(caller);
  await clock.play(2 * CALL_MS);
  return took;
}
