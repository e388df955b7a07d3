// Where a runner stands for one request, from all signs of it together (design/status 3, 6).
import type * as types from "../wire/types.js";
import type * as runnerEndpoint from "./runner-endpoint.js";
import * as zoneRotation from "./zone-rotation.js";

/** In use, only after all others, or last of all. */
export type RunnerHealth = "good" | "suspect" | "ejected";

/** The part of repeatable requests that tries a runner whose report stays out. */
const TRIAL_PERCENT = 10;
const UNREPORTED_MS = 60;

/** Repeatable requests try what is in doubt: nothing is lost with them. */
export function assessHealth(
  runner: runnerEndpoint.RunnerEndpoint,
  now: number,
  isRepeatable: boolean,
  requestId: types.RequestId,
): RunnerHealth {
  if (runner.outliers.update(now) === "ejected") return "ejected";
  if (runner.isSilent(now) || !runner.outliers.admits(now, isRepeatable, requestId)) return "suspect";
  if (!runner.isUnconfirmed(now)) return "good";
  return isRepeatable && zoneRotation.isWithinPercent(TRIAL_PERCENT, requestId) ? "good" : "suspect";
}

/** Milliseconds that a choice pays for doubt. */
export function penaltyMs(runner: runnerEndpoint.RunnerEndpoint, now: number, isRepeatable: boolean): number {
  return runner.outliers.penaltyMs(now, isRepeatable) + (runner.isReporting ? 0 : UNREPORTED_MS);
}
