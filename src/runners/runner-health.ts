/** The health of a runner for one request, from outlier detection, silence and reports together (design/status 3, 6). */
import type * as types from "../wire/types.js";
import type * as runnerEndpoint from "./runner-endpoint.js";
import * as zoneRotation from "./zone-rotation.js";

/** `good`: in use. `suspect`: used only after all good ones. `ejected`: used last of all. */
export type RunnerHealth = "good" | "suspect" | "ejected";

/** The percentage of repeatable requests that is sent to a runner without reports, to probe it. */
const TRIAL_PERCENT = 10;
/** Added to the cost of a runner without reports. */
const UNREPORTED_PENALTY_MS = 60;

/** Suspect runners are probed with repeatable requests only: a failure loses nothing of these. */
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

/** What the health adds to the runner's cost in the choice of a runner; milliseconds. */
export function penaltyMs(runner: runnerEndpoint.RunnerEndpoint, now: number, isRepeatable: boolean): number {
  return runner.outliers.penaltyMs(now, isRepeatable) + (runner.isReporting ? 0 : UNREPORTED_PENALTY_MS);
}
