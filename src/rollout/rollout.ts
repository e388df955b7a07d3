/**
 * Roll-outs of new versions as the duty register holds them (design/rollouts 7): an order that is durable before it is
 * acknowledged, one roll-out a service, a state that only moves on. All functions are pure.
 */
import * as result from "true-myth/result";
import * as superstruct from "superstruct";
import * as configurationCheck from "../config/configuration-check.js";
import * as dutyTable from "../duties/duty-table.js";
import type * as registerStep from "../register/register-step.js";
import * as errors from "../runtime/errors.js";
import type * as dutySchema from "../wire/duty-schema.js";

const MS_PER_S = 1000;
/** Runners of a version that was reverted are withheld for so long after the term: they drain meanwhile. */
const WITHHELD_AFTER_TERM_MS = 60_000;
/** The same order after the term is a new one, not a repetition, once so much more has passed. */
const REPEATED_AFTER_TERM_MS = 30_000;

const shape = superstruct.type({
  service: superstruct.nonempty(superstruct.string()),
  target_version: superstruct.nonempty(superstruct.string()),
  duration_s: superstruct.min(superstruct.number(), 0, { exclusive: true }),
});

/** An order of the operator; times are milliseconds. */
export interface RolloutOrder {
  service: string;
  version: string;
  durationMs: number;
}

/** The order in a call's body, or what is wrong with it. */
export function parseOrder(body: Buffer): result.Result<RolloutOrder, errors.CranewindError> {
  return configurationCheck.parseJson(body).andThen((json): result.Result<RolloutOrder, errors.CranewindError> => {
    const [failure, read] = superstruct.validate(json, shape);
    if (failure)
      return configurationCheck.invalid(failure.path.join(".") || "body", failure.message, "name service, target_version, duration_s");
    return result.ok({ service: read.service, version: read.target_version, durationMs: read.duration_s * MS_PER_S });
  });
}

/** Starts a roll-out; an order that was taken before changes nothing. `nowMs`: the agreed time of day. */
export function startStep(order: RolloutOrder, nowMs: number): registerStep.Step {
  return (value) => {
    const table = dutyTable.tableOf(value);
    const known = table.rollouts.find(({ service }) => service === order.service);
    if (known && isRepeated(known, order, nowMs)) return result.ok(value);
    if (known?.state === "serving") return result.err(underWay(known));
    const others = table.rollouts.filter(({ service }) => service !== order.service);
    return result.ok(dutyTable.withTable(value, { ...table, rollouts: [...others, { ...order, startedMs: nowMs, state: "serving" }] }));
  };
}

function isRepeated(known: dutySchema.Rollout, order: RolloutOrder, nowMs: number): boolean {
  if (known.version !== order.version || known.durationMs !== order.durationMs) return false;
  return known.state === "serving" || nowMs < known.startedMs + known.durationMs + REPEATED_AFTER_TERM_MS;
}

function underWay(known: dutySchema.Rollout): errors.CranewindError {
  return new errors.ConflictError(
    `${known.service} is being moved to ${known.version}`,
    "wait until Rollouts.Describe says how that ended",
  );
}

/** Versions that get no requests, by service: those of roll-outs that serve or were reverted. `nowMs`: the agreed time of day. */
export function withheldVersions(rollouts: readonly dutySchema.Rollout[], nowMs: number): Map<string, string> {
  const withheld = new Map<string, string>();
  for (const { service, version, state, startedMs, durationMs } of rollouts) {
    const isOver = nowMs > startedMs + durationMs + WITHHELD_AFTER_TERM_MS;
    if (state === "serving" || (state === "reverted" && !isOver)) withheld.set(service, version);
  }
  return withheld;
}
