/** A day of batches beside interactive load, checked (design/batch 12). Fields are explained in docs/batch.md. */
import * as result from "true-myth/result";
import * as superstruct from "superstruct";
import * as configurationCheck from "../config/configuration-check.js";
import type * as errors from "../runtime/errors.js";

const count = superstruct.min(superstruct.integer(), 1);
const above = superstruct.min(superstruct.number(), 0, { exclusive: true });
const seconds = superstruct.min(superstruct.number(), 0);
const name = superstruct.nonempty(superstruct.string());

/** Arrivals go from `low_per_s` to `peak_per_s` and back once a day; the peak comes `peak_at_h` hours after its begin. */
const region = superstruct.object({ name, places: count, low_per_s: seconds, peak_per_s: above, peak_at_h: seconds });

/** One batch each `every_s` seconds, `first_s` after the learning days. */
const submissions = superstruct.object({
  first_s: seconds,
  every_s: above,
  times: count,
  count,
  item_held_ms: above,
  homes: superstruct.defaulted(superstruct.array(name), []),
});

const scenario = superstruct.object({
  seed: superstruct.defaulted(superstruct.integer(), 1),
  /** Days before the first submission, in which the forecast learns. */
  learning_days: superstruct.defaulted(seconds, 1),
  held_ms: above,
  /** How far the load strays from its shape: the standard deviation of its logarithm, over an hour or so. */
  noise: superstruct.defaulted(seconds, 0.1),
  batch_regions: superstruct.nonempty(superstruct.array(region)),
  batches: superstruct.nonempty(superstruct.array(submissions)),
});

/** A checked day of batches. */
export type BatchScenario = superstruct.Infer<typeof scenario>;
/** One region of it. */
export type BatchRegion = superstruct.Infer<typeof region>;

/** Whether a parsed file describes a day of batches. */
export function isBatchDay(value: unknown): boolean {
  return typeof value === "object" && value !== null && "batches" in value;
}

/** A checked scenario; the error names the field and the remedy. */
export function checked(value: unknown): result.Result<BatchScenario, errors.CranewindError> {
  const [failure, made] = superstruct.validate(value, scenario, { coerce: true });
  if (failure) return configurationCheck.invalid(failure.path.join(".") || "scenario", failure.message, "see docs/batch.md for the fields");
  const known = new Set(made.batch_regions.map((item) => item.name));
  for (const { homes } of made.batches) {
    for (const home of homes)
      if (!known.has(home)) return configurationCheck.invalid("batches.homes", `unknown region ${home}`, "name one of batch_regions");
  }
  return result.ok(made);
}
