/** What a what-if day is made of, checked (design 11.2). Fields are explained in docs/whatif.md. */
import * as result from "true-myth/result";
import * as superstruct from "superstruct";
import * as configurationCheck from "../config/configuration-check.js";
import * as errors from "../runtime/errors.js";

const count = superstruct.min(superstruct.integer(), 1);
const above = superstruct.min(superstruct.number(), 0, { exclusive: true });
const seconds = superstruct.min(superstruct.number(), 0);
const name = superstruct.nonempty(superstruct.string());

const region = superstruct.object({ name, runners: count, routers: count });

const kind = superstruct.object({
  name,
  sessions: count,
  turns_per_s: above,
  common_tokens: seconds,
  session_tokens: seconds,
  turn_tokens: above,
  events: count,
  homes: superstruct.defaulted(superstruct.array(name), []),
  deadline_ms: superstruct.defaulted(above, 60_000),
  aim_ms: superstruct.defaulted(above, 1000),
  priority: superstruct.defaulted(superstruct.min(superstruct.integer(), 0), 1),
});

const fault = superstruct.object({
  at_s: seconds,
  for_s: above,
  kind: superstruct.enums(["drain", "lose_runner", "lose_region", "slow_runner", "slow_router"]),
  region: name,
  factor: superstruct.defaulted(above, 4),
});

/** More of one kind for a while: a scenario with surges is played as an overload day. */
const surge = superstruct.object({ at_s: seconds, for_s: above, kind: name, factor: above });

const scenario = superstruct.object({
  length_s: above,
  seed: superstruct.defaulted(superstruct.integer(), 1),
  trip_ms: superstruct.defaulted(seconds, 40),
  runner: superstruct.object({
    capacity: count,
    tokens_per_ms: above,
    event_ms: above,
    warmup_s: superstruct.defaulted(seconds, 0),
    warmup_per_s: superstruct.defaulted(seconds, 0),
    kv_tokens: superstruct.defaulted(seconds, 0),
    queue: superstruct.optional(count),
  }),
  regions: superstruct.nonempty(superstruct.array(region)),
  kinds: superstruct.nonempty(superstruct.array(kind)),
  faults: superstruct.defaulted(superstruct.array(fault), []),
  surges: superstruct.defaulted(superstruct.array(surge), []),
});

/** A checked scenario with its defaults. */
export type Scenario = superstruct.Infer<typeof scenario>;
/** One kind of request. */
export type Kind = superstruct.Infer<typeof kind>;
/** Something that goes wrong for a while. */
export type Fault = superstruct.Infer<typeof fault>;

/** A scenario from a file's bytes; the error names the field and the remedy. */
export function parse(bytes: Buffer): result.Result<Scenario, errors.CranewindError> {
  const parsed = configurationCheck.parseJson(bytes);
  if (parsed.isErr) return result.err(parsed.error);
  const [failure, made] = superstruct.validate(parsed.value, scenario, { coerce: true });
  if (failure)
    return configurationCheck.invalid(failure.path.join(".") || "scenario", failure.message, "see docs/whatif.md for the fields");
  const known = new Set(made.regions.map(nameOf));
  for (const item of made.faults) {
    if (!known.has(item.region)) return configurationCheck.invalid("faults.region", `unknown region ${item.region}`, "name one of regions");
  }
  const kinds = new Set(made.kinds.map(nameOf));
  for (const item of made.surges) {
    if (!kinds.has(item.kind)) return configurationCheck.invalid("surges.kind", `unknown kind ${item.kind}`, "name one of kinds");
  }
  if (made.surges.length > 0) {
    for (const item of made.faults) {
      if (!item.kind.startsWith("slow_"))
        return configurationCheck.invalid(
          "faults.kind",
          `${item.kind} is not played in a day with surges`,
          "use slow_runner or slow_router, or leave out surges",
        );
    }
  }
  for (const item of made.kinds) {
    for (const home of item.homes)
      if (!known.has(home)) return configurationCheck.invalid(`kinds[${item.name}].homes`, `unknown region ${home}`, "name one of regions");
  }
  return result.ok(made);
}

function nameOf(item: { name: string }): string {
  return item.name;
}
