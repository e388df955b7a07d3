// One history of a seed: drawn by fast-check, played, and made smaller while it still fails.
import * as fc from "fast-check";
import type * as mutations from "./mutations.js";
import * as player from "./player.js";
import * as scenario from "./scenario.js";

export interface Failure {
  seed: number;
  /** Of fast-check: with the seed it plays the smaller history again. */
  path: string;
  verdict: string;
  scenario: scenario.Scenario;
}

export function playScenario(scenario: scenario.Scenario, missing: mutations.Guard): Promise<string | null> {
  return new player.Player(scenario, missing).play();
}

/** Whether this seed shows the guard missing: its history fails without the guard, and passes with it. */
export async function isSeen(seed: number, missing: mutations.Guard): Promise<boolean> {
  const failure = await checkSeed(seed, missing, false);
  return failure !== null && (await playScenario(failure.scenario, "none")) === null;
}

/** Null: the history of this seed is explained. */
export async function checkSeed(seed: number, missing: mutations.Guard, isShrunk = true): Promise<Failure | null> {
  let verdict = "";
  async function isExplained(scenario: scenario.Scenario): Promise<boolean> {
    const found = await playScenario(scenario, missing);
    if (found !== null) verdict = found;
    return found === null;
  }
  const details = await fc.check(fc.asyncProperty(scenario.scenario, isExplained), { seed, numRuns: 1, endOnFailure: !isShrunk });
  if (!details.failed || !details.counterexample) return null;
  return { seed, path: details.counterexamplePath ?? "", verdict, scenario: details.counterexample[0] };
}
