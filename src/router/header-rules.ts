// A list of rules says what happens to each header, on the way in and on the way out (design 7.7).
import * as names from "../wire/names.js";

type Rule = "drop" | "replace";

/** Headers of one connection, and those that the router itself sets. All others are passed on untouched. */
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

/** What the runner works by goes to it as the client sent it, also where the client names it as one of its connection. */
const END_TO_END: ReadonlySet<string> = new Set([names.HEADER.model, names.HEADER.tokens, names.HEADER.prefix, names.HEADER.lastEventId]);

function connectionOptions(connection: string | undefined): ReadonlySet<string> {
  const found = new Set<string>();
  if (!connection) return found;
  for (const item of connection.toLowerCase().split(",")) {
    const option = item.trim();
    if (option !== "close" && option !== "keep-alive" && option !== "" && !END_TO_END.has(option)) found.add(option);
  }
  return found;
}

/** A route of rank 0 goes a step before what names no priority at all, which a runner takes as 5. */
const HIGHEST_PRIORITY = 4;
const LOWEST_PRIORITY = 9;

/** What the router itself sets on a send. */
export interface RouterHeaders {
  target: string;
  budgetMs: number;
  /** The route's rank; below it the runner lets in, and puts back, in its order. */
  rank: number;
  lastEventId: string | null;
  /** Whom the client's key belongs to; null where the route needs no key. */
  tenant: string | null;
}

/** Raw name and value pairs for the runner. */
export function buildRequestHeaders(raw: readonly string[], connection: string | undefined, sending: RouterHeaders): string[] {
  const dropped = connectionOptions(connection);
  const result: string[] = [];
  for (let index = 0; index + 1 < raw.length; index += 2) {
    const name = raw[index].toLowerCase();
    if (REQUEST_RULES.has(name) || dropped.has(name)) continue;
    if (sending.lastEventId !== null && name === names.HEADER.lastEventId) continue;
    result.push(raw[index], raw[index + 1]);
  }
  const priority = Math.min(LOWEST_PRIORITY, HIGHEST_PRIORITY + sending.rank);
  result.push(
    "X-Cranewind-Request-Priority",
    String(priority),
    "X-Cranewind-Target-Instance",
    sending.target,
    "X-Cranewind-Time-Budget-Ms",
    String(sending.budgetMs),
  );
  if (sending.tenant !== null) result.push("X-Cranewind-Tenant", sending.tenant);
  if (sending.lastEventId !== null) result.push("Last-Event-Id", sending.lastEventId);
  return result;
}

/** Raw name and value pairs for the client. */
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
