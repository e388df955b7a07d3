/** Which headers are forwarded, dropped and replaced, from the client to the runner and back (design 7.7). */
import * as names from "../wire/names.js";

type Rule = "drop" | "replace";

/** Hop-by-hop headers; all that no rule names are forwarded unchanged. */
const CONNECTION_RULES: readonly [string, Rule][] = [
  ["connection", "drop"],
  ["keep-alive", "drop"],
  ["proxy-connection", "drop"],
  ["proxy-authenticate", "drop"],
  ["proxy-authorization", "drop"],
  ["te", "drop"],
  ["trailer", "drop"],
  ["transfer-encoding", "drop"],
  ["upgrade", "drop"],
];
const REQUEST_RULES = new Map<string, Rule>([
  ...CONNECTION_RULES,
  ["expect", "drop"],
  ["content-length", "replace"],
  ["http2-settings", "drop"],
  [names.HEADER.target, "replace"],
  [names.HEADER.budgetMs, "replace"],
  [names.HEADER.priority, "replace"],
  [names.HEADER.batchPass, "drop"],
  [names.HEADER.key, "drop"],
  [names.HEADER.tenant, "replace"],
]);
const RESPONSE_RULES = new Map<string, Rule>(CONNECTION_RULES);

/** Forwarded even where the client lists them in Connection: the runner needs them. */
const END_TO_END: ReadonlySet<string> = new Set([names.HEADER.model, names.HEADER.tokens, names.HEADER.prefix, names.HEADER.lastEventId]);

/** The header names that a Connection field lists, which are hop-by-hop by that (RFC 9110, 7.6.1). */
function connectionOptions(connection: string | undefined): ReadonlySet<string> {
  const found = new Set<string>();
  if (!connection) return found;
  for (const item of connection.toLowerCase().split(",")) {
    const option = item.trim();
    if (option !== "close" && option !== "keep-alive" && option !== "" && !END_TO_END.has(option)) found.add(option);
  }
  return found;
}

/** Of rank 0: one step before requests without a priority, which runners take as 5. */
const HIGHEST_PRIORITY = 4;
const LOWEST_PRIORITY = 9;

/** The values of the headers that the router itself sets. */
export interface RouterHeaders {
  /** Id of the runner that is to run the request. */
  target: string;
  /** Until the deadline, in milliseconds. */
  budgetMs: number;
  /** The route's rank, by which the runner admits and preempts. */
  rank: number;
  /** The last complete event that the client has, for a runner that resumes the stream. */
  lastEventId: string | null;
  /** The tenant of the client's key; null where the route needs no key. */
  tenant: string | null;
}

/** The headers of a request to a runner, as raw name and value pairs. */
export function buildRequestHeaders(raw: readonly string[], connection: string | undefined, values: RouterHeaders): string[] {
  const dropped = connectionOptions(connection);
  const result: string[] = [];
  for (let index = 0; index + 1 < raw.length; index += 2) {
    const name = raw[index].toLowerCase();
    if (REQUEST_RULES.has(name) || dropped.has(name)) continue;
    if (values.lastEventId !== null && name === names.HEADER.lastEventId) continue;
    result.push(raw[index], raw[index + 1]);
  }
  const priority = Math.min(LOWEST_PRIORITY, HIGHEST_PRIORITY + values.rank);
  result.push(
    "X-Cranewind-Request-Priority",
    String(priority),
    "X-Cranewind-Target-Instance",
    values.target,
    "X-Cranewind-Time-Budget-Ms",
    String(values.budgetMs),
  );
  if (values.tenant !== null) result.push("X-Cranewind-Tenant", values.tenant);
  if (values.lastEventId !== null) result.push("Last-Event-Id", values.lastEventId);
  return result;
}

/** The headers of a response to the client, as raw name and value pairs. */
export function buildResponseHeaders(raw: readonly Buffer[], connection: string | undefined): string[] {
  const dropped = connectionOptions(connection);
  const result: string[] = [];
  for (let index = 0; index + 1 < raw.length; index += 2) {
    const name = raw[index].toString("latin1");
    const lower = name.toLowerCase();
    if (RESPONSE_RULES.has(lower) || dropped.has(lower)) continue;
    result.push(name, raw[index + 1].toString("latin1"));
  }
  return result;
}
