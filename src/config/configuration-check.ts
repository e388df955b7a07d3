// Reading and checking the operator's configurations (design 6.1): each message names field and remedy.
import * as result from "true-myth/result";
import * as superstruct from "superstruct";
import * as errors from "../runtime/errors.js";
import * as jsonBounds from "../runtime/json-bounds.js";

const name = superstruct.nonempty(superstruct.string());
const count = superstruct.min(superstruct.number(), 0);
const above = superstruct.min(superstruct.number(), 0, { exclusive: true });

const backend = superstruct.type({ service: name, weight: count });

/** Shape of one route; docs/configuration.md names the fields. */
export const route = superstruct.type({
  name,
  hostname: name,
  path_prefix: superstruct.pattern(superstruct.string(), /^\/([^?#\s]*\/)?$/),
  route_type: superstruct.enums(["read_only", "mutating", "streaming"]),
  deadline_ms: above,
  target_latency_ms: superstruct.optional(count),
  target_gap_ms: superstruct.optional(superstruct.nullable(count)),
  priority: superstruct.optional(count),
  service: superstruct.optional(superstruct.nullable(name)),
  backends: superstruct.optional(superstruct.nullable(superstruct.array(backend))),
  max_attempts: superstruct.optional(superstruct.min(superstruct.integer(), 0)),
  session_affinity: superstruct.optional(superstruct.boolean()),
  resumable: superstruct.optional(superstruct.boolean()),
  allowed_regions: superstruct.optional(superstruct.nullable(superstruct.array(name))),
  public: superstruct.optional(superstruct.nullable(superstruct.boolean())),
});

/** Shape of one tenant. A rate or burst of 0, or none, is no limit. */
export const tenant = superstruct.type({
  name,
  api_keys: superstruct.optional(superstruct.nullable(superstruct.array(name))),
  priority: superstruct.optional(superstruct.nullable(count)),
  rate_per_s: superstruct.optional(superstruct.nullable(count)),
  burst: superstruct.optional(superstruct.nullable(count)),
  allowed_regions: superstruct.optional(superstruct.nullable(superstruct.array(name))),
});

const runtime = superstruct.type({
  capacity: superstruct.optional(count),
  kv_token_capacity: superstruct.optional(count),
  token_stride: superstruct.optional(count),
});

const scaling = superstruct.type({ min_count: count, max_count: count, startup_s: count });

/** Shape of one service. */
export const service = superstruct.type({
  name,
  health_check_path: superstruct.optional(superstruct.pattern(superstruct.string(), /^\//)),
  max_connections: superstruct.optional(count),
  protocol: superstruct.optional(superstruct.string()),
  tls: superstruct.optional(superstruct.boolean()),
  warmup_s: superstruct.optional(superstruct.nullable(count)),
  warmup_per_s: superstruct.optional(superstruct.nullable(count)),
  runtime: superstruct.optional(superstruct.nullable(runtime)),
  scaling: superstruct.optional(superstruct.nullable(scaling)),
});

const limits = superstruct.type({
  max_header_bytes: superstruct.optional(above),
  max_body_bytes: superstruct.optional(above),
  header_timeout_ms: superstruct.optional(above),
  idle_timeout_ms: superstruct.optional(above),
});

/** Above 2^53 two numbers of a text may be read as one and the same. */
const revision = superstruct.max(superstruct.min(superstruct.integer(), 1), Number.MAX_SAFE_INTEGER);

const document = superstruct.type({
  revision,
  routes: superstruct.array(route),
  services: superstruct.array(service),
  limits: superstruct.optional(limits),
  tenants: superstruct.optional(superstruct.nullable(superstruct.array(tenant))),
});

/** The document around its items. */
const outline = superstruct.type({
  revision,
  routes: superstruct.array(),
  services: superstruct.array(),
  limits: superstruct.optional(limits),
  tenants: superstruct.optional(superstruct.nullable(superstruct.array())),
});

/** A checked route; unknown fields are kept. */
export type Route = superstruct.Infer<typeof route>;
/** A checked service; unknown fields are kept. */
export type Service = superstruct.Infer<typeof service>;
/** A checked tenant; unknown fields are kept. */
export type Tenant = superstruct.Infer<typeof tenant>;
/** What a client may send, in bytes, and how long it may take, in milliseconds. */
export type Limits = superstruct.Infer<typeof limits>;
/** A checked configuration; unknown fields are kept. */
export type Configuration = superstruct.Infer<typeof document>;

type Checked<T> = result.Result<T, errors.CranewindError>;

/** An error of kind `invalid` that names the field, what is wrong with it, and the remedy. */
export function invalid<T>(field: string, what: string, remedy: string): Checked<T> {
  return result.err(new errors.InvalidRequestError(`${field}: ${what}`, remedy));
}

/** The value of UTF-8 JSON, or an error: 413 where it would take too much to parse. */
export function parseJson(text: Buffer): Checked<unknown> {
  const excess = jsonBounds.findExcess(text);
  if (excess !== null)
    return result.err(
      new errors.PayloadTooLargeError(`body: it is over the bound on its ${excess}`, "send a smaller or a flatter document"),
    );
  try {
    return result.ok(JSON.parse(new TextDecoder("utf-8", { fatal: true }).decode(text)));
  } catch {
    return invalid("body", "it cannot be read whole as JSON", "send the complete document as UTF-8 JSON");
  }
}

function requireUnique(field: string, names: Iterable<string>): Checked<null> {
  const seen = new Set<string>();
  for (const item of names) {
    if (seen.has(item)) return invalid(field, `${item} stands there twice`, "keep one of them");
    seen.add(item);
  }
  return result.ok(null);
}

function nameOf(item: { name: string }): string {
  return item.name;
}

function matchOf(item: Route): string {
  return `${item.hostname.toLowerCase()}${item.path_prefix}`;
}

/** The services of a route with their weights. */
export function backendsOf(item: Route): { service: string; weight: number }[] {
  if (item.backends && item.backends.length > 0) return item.backends;
  return item.service ? [{ service: item.service, weight: 1 }] : [];
}

function checkRoute(item: Route, services: ReadonlySet<string>): Checked<null> {
  const field = `routes[${item.name}]`;
  const backends = backendsOf(item);
  if (backends.length === 0) return invalid(`${field}.service`, "it names no service", "set service, or backends with weights");
  let weight = 0;
  for (const one of backends) {
    if (!services.has(one.service))
      return invalid(`${field}.service`, `unknown service ${one.service}`, "add it under services or name another");
    weight += one.weight;
  }
  if (weight <= 0) return invalid(`${field}.backends`, "the weights sum to 0", "give one of them a weight above 0");
  return result.ok(null);
}

/** No key is named in the message: it may be read by others than the operator. */
function checkKeys(tenants: readonly Tenant[]): Checked<null> {
  const holders = new Map<string, string>();
  for (const { name, api_keys: keys } of tenants) {
    for (const key of keys ?? []) {
      const holder = holders.get(key);
      if (holder === name) return invalid(`tenants[${name}].api_keys`, "one key stands there twice", "keep one of them");
      if (holder !== undefined)
        return invalid(`tenants[${name}].api_keys`, `one key is held by ${holder} too`, "give each tenant keys of its own");
      holders.set(key, name);
    }
  }
  return result.ok(null);
}

/** The revision that a document or an update names. */
export function checkRevision(value: unknown): Checked<number> {
  const [failure, read] = superstruct.validate(value, superstruct.type({ revision }));
  if (failure) return invalid(failure.path.join(".") || "body", failure.message, "send a whole number above the current revision");
  return result.ok(read.revision);
}

/** Items, each the very object that was checked before with its document. */
export type CheckedItems = ReadonlySet<unknown>;

/** The items of a document that was checked. */
export function itemsOf(config: Configuration): CheckedItems {
  return new Set<unknown>([...config.routes, ...config.services, ...(config.tenants ?? [])]);
}

/** Whether all is well shaped, items that were checked before left out. What is not is judged whole, for its message. */
function hasShape(value: unknown, checked: CheckedItems): value is Configuration {
  if (checked.size === 0 || !superstruct.is(value, outline)) return false;
  return (
    value.routes.every((item) => checked.has(item) || superstruct.is(item, route)) &&
    value.services.every((item) => checked.has(item) || superstruct.is(item, service)) &&
    (value.tenants ?? []).every((item) => checked.has(item) || superstruct.is(item, tenant))
  );
}

function parseShape(value: unknown, checked: CheckedItems): Checked<Configuration> {
  if (hasShape(value, checked)) return result.ok(value);
  const [failure, config] = superstruct.validate(value, document);
  if (failure) return invalid(failure.path.join(".") || "body", failure.message, "see docs/configuration.md for the field");
  return result.ok(config);
}

/**
 * Checks shape and names: doubled names and places, unknown services, weights that sum to 0. The shape of items in
 * `checked` is not looked at again.
 */
export function check(value: unknown, checked: CheckedItems = new Set()): Checked<Configuration> {
  const read = parseShape(value, checked);
  if (read.isErr) return read;
  const config = read.value;
  const services = new Set(config.services.map(nameOf));
  const tenants = config.tenants ?? [];
  const uniqueness = [
    requireUnique("services", config.services.map(nameOf)),
    requireUnique("routes", config.routes.map(nameOf)),
    requireUnique("routes with host and prefix", config.routes.map(matchOf)),
    requireUnique("tenants", tenants.map(nameOf)),
    checkKeys(tenants),
  ];
  for (const place of uniqueness) if (place.isErr) return result.err(place.error);
  for (const item of config.routes) {
    const outcome = checkRoute(item, services);
    if (outcome.isErr) return result.err(outcome.error);
  }
  return result.ok(config);
}
