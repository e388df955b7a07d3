// What a what-if day is made of, checked (design 11.2).
import * as result from "true-myth/result";
import * as superstruct from "superstruct";
import * as check from "../config/check.js";
import * as errors from "../startup/errors.js";

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
});

const fault = superstruct.object({
  at_s: seconds,
  for_s: above,
  kind: superstruct.enums(["drain", "lose_runner", "lose_region"]),
  region: name,
});

const scenario = superstruct.object({
  length_s: above,
  seed: superstruct.defaulted(superstruct.integer(), 1),
  trip_ms: superstruct.defaulted(seconds, 40),
  runner: superstruct.object({ capacity: count, tokens_per_ms: above, event_ms: above, warmup_s: superstruct.defaulted(seconds, 0), warmup_per_s: superstruct.defaulted(seconds, 0) }),
  regions: superstruct.nonempty(superstruct.array(region)),
  kinds: superstruct.nonempty(superstruct.array(kind)),
  faults: superstruct.defaulted(superstruct.array(fault), []),
});

export type Scenario = superstruct.Infer<typeof scenario>;
export type Kind = superstruct.Infer<typeof kind>;
export type Fault = superstruct.Infer<typeof fault>;

export function parse(bytes: Buffer): result.Result<Scenario, errors.CranewindError> {
  const parsed = check.parseJson(bytes);
  if (parsed.isErr) return result.err(parsed.error);
  const [failure, made] = superstruct.validate(parsed.value, scenario, { coerce: true });
  if (failure) return check.invalid(failure.path.join(".") || "scenario", failure.message, "see docs/whatif.md for the fields");
  const known = new Set(made.regions.map(nameOf));
  for (const item of made.faults) {
    if (!known.has(item.region)) return check.invalid("faults.region", `unknown region ${item.region}`, "name one of regions");
  }
  for (const item of made.kinds) {
    for (const home of item.homes) if (!known.has(home)) return check.invalid(`kinds[${item.name}].homes`, `unknown region ${home}`, "name one of regions");
  }
  return result.ok(made);
}

function nameOf(item: { name: string }): string {
  return item.name;
}
