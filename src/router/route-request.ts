/** A request as the router routes it, and as a runner gets it (design 7.1). */
import type * as nodeHttp from "node:http";
import type * as attemptObserver from "../admission/attempt-observer.js";
import * as routeTable from "../config/route-table.js";
import * as textHash from "../limits/text-hash.js";
import * as names from "../wire/names.js";
import type * as tenant from "../tenants/tenant.js";
import * as types from "../wire/types.js";
import type * as runnerAttempt from "./runner-attempt.js";
import * as headerRules from "./header-rules.js";
import * as promptParts from "../routing/prompt-parts.js";

/** The time budget of clients that declare none. */
const DEFAULT_BUDGET_MS = 60_000;
const HASH_RANGE = 2 ** 32;

/** One request of a client, with its complete body. */
export interface RouteRequest {
  requestId: types.RequestId;
  entry: routeTable.RouteEntry;
  /** Whose request it is; null where no key is needed. */
  tenant: tenant.Tenant | null;
  service: string;
  /** Priority; 0 is the most urgent. */
  rank: number;
  /** An item of a batch, sent by a control node. */
  isBatch: boolean;
  parts: promptParts.PromptPart[];
  prefixKeys: number[];
  /** Milliseconds of the steady clock, as `deadline`. */
  arrivedAt: number;
  deadline: number;
  requestedTokens: promptParts.RequestedTokens;
  body: Buffer | null;
}

function singleValue(header: string | string[] | undefined): string {
  return typeof header === "string" ? header : (header?.[0] ?? "");
}

/** The id that the client gave the request; empty where it gave none. */
export function requestIdOf(incoming: nodeHttp.IncomingMessage): types.RequestId {
  return types.small(singleValue(incoming.headers[names.HEADER.requestId]));
}

/** How long after its arrival the request is due: the client's time budget or its route's deadline, whichever is shorter; milliseconds. */
export function timeBudgetMs(incoming: nodeHttp.IncomingMessage, entry: routeTable.RouteEntry | null): number {
  const requestedMs = Number(singleValue(incoming.headers[names.HEADER.budgetMs]));
  return Math.min(requestedMs > 0 ? requestedMs : DEFAULT_BUDGET_MS, entry?.route.deadline_ms ?? Infinity);
}

/** What is known of a request once its body is complete. */
export interface ReceivedRequest {
  requestId: types.RequestId;
  entry: routeTable.RouteEntry;
  tenant: tenant.Tenant | null;
  body: Buffer | null;
  arrivedAt: number;
  isBatch: boolean;
}

/** Adds what the headers and the configuration say of the request. */
export function buildRouteRequest(incoming: nodeHttp.IncomingMessage, received: ReceivedRequest): RouteRequest {
  const { requestId, entry, tenant, arrivedAt, isBatch } = received;
  const parts = promptParts.parsePromptParts(singleValue(incoming.headers[names.HEADER.prefix]));
  return {
    ...received,
    rank: isBatch ? routeTable.BATCH_RANK : routeTable.rankOf(entry.route, tenant?.priority),
    service: routeTable.chooseService(entry, textHash.hashText(`${requestId}/split`) / HASH_RANGE),
    parts,
    prefixKeys: promptParts.prefixKeys(parts),
    deadline: arrivedAt + timeBudgetMs(incoming, entry),
    requestedTokens: promptParts.parseRequestedTokens(singleValue(incoming.headers[names.HEADER.tokens]), parts),
  };
}

/** The request as a runner gets it: method, path and body unchanged, headers by the rules (design 7.7). */
export function buildOutgoingRequest(
  request: RouteRequest,
  incoming: nodeHttp.IncomingMessage,
  routerHeaders: Pick<headerRules.RouterHeaders, "target" | "budgetMs" | "lastEventId">,
  observer: attemptObserver.AttemptObserver,
): runnerAttempt.OutgoingRequest {
  const { method, url, rawHeaders, headers: parsed } = incoming;
  return {
    method: method ?? "GET",
    path: url ?? "/",
    headers: headerRules.buildRequestHeaders(rawHeaders, parsed.connection, {
      ...routerHeaders,
      rank: request.rank,
      tenant: request.tenant?.name ?? null,
    }),
    body: request.body,
    requestId: request.requestId,
    isStream: request.entry.route.route_type === "streaming",
    observer,
  };
}
