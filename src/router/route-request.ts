// A request as the router holds it, and as a runner gets it (design 7.1).
import type * as nodeHttp from "node:http";
import type * as attemptObserver from "../admission/attempt-observer.js";
import * as routes from "../config/routes.js";
import * as shares from "../limits/shares.js";
import * as names from "../wire/names.js";
import type * as tenant from "../tenants/tenant.js";
import * as types from "../wire/types.js";
import type * as runnerAttempt from "./runner-attempt.js";
import * as headerRules from "./header-rules.js";
import * as promptParts from "../routing/prompt-parts.js";

/** For clients that don't say how long they wait. */
const DEFAULT_BUDGET_MS = 60_000;
const HASH_RANGE = 2 ** 32;

/** One try of a client, read whole. */
export interface RouteRequest {
  requestId: types.RequestId;
  entry: routes.RouteEntry;
  /** Whose request it is; null where no key is needed. */
  tenant: tenant.Tenant | null;
  service: string;
  /** 0 is the most urgent. */
  rank: number;
  /** An item of a batch, sent by a control node. */
  isBatch: boolean;
  parts: promptParts.PromptPart[];
  prefixKeys: number[];
  /** Both in ms of the steady clock. */
  arrivedAt: number;
  deadline: number;
  requestedTokens: promptParts.RequestedTokens;
  body: Buffer | null;
}

function singleValue(header: string | string[] | undefined): string {
  return typeof header === "string" ? header : (header?.[0] ?? "");
}

/** Empty when the client sent none. */
export function requestIdOf(incoming: nodeHttp.IncomingMessage): types.RequestId {
  return types.small(singleValue(incoming.headers[names.HEADER.requestId]));
}

/** How long a request may be held from its arrival: the least of the client's time and its route's, where the route is known. */
export function timeBudgetMs(incoming: nodeHttp.IncomingMessage, entry: routes.RouteEntry | null): number {
  const asked = Number(singleValue(incoming.headers[names.HEADER.budgetMs]));
  return Math.min(asked > 0 ? asked : DEFAULT_BUDGET_MS, entry?.route.deadline_ms ?? Infinity);
}

/** What is known of a request once it was read whole. */
export interface ReceivedRequest {
  requestId: types.RequestId;
  entry: routes.RouteEntry;
  tenant: tenant.Tenant | null;
  body: Buffer | null;
  arrivedAt: number;
  isBatch: boolean;
}

/** The request of what was read. */
export function buildRouteRequest(incoming: nodeHttp.IncomingMessage, received: ReceivedRequest): RouteRequest {
  const { requestId, entry, tenant, arrivedAt, isBatch } = received;
  const parts = promptParts.parsePromptParts(singleValue(incoming.headers[names.HEADER.prefix]));
  return {
    ...received,
    rank: isBatch ? routes.BATCH_RANK : routes.rankOf(entry.route, tenant?.priority),
    service: routes.chooseService(entry, shares.hash(`${requestId}/split`) / HASH_RANGE),
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
  sending: Pick<headerRules.RouterHeaders, "target" | "budgetMs" | "lastEventId">,
  ticket: attemptObserver.AttemptObserver,
): runnerAttempt.OutgoingRequest {
  const { method, url, rawHeaders, headers: parsed } = incoming;
  return {
    method: method ?? "GET",
    path: url ?? "/",
    headers: headerRules.buildRequestHeaders(rawHeaders, parsed.connection, {
      ...sending,
      rank: request.rank,
      tenant: request.tenant?.name ?? null,
    }),
    body: request.body,
    requestId: request.requestId,
    isStream: request.entry.route.route_type === "streaming",
    observer: ticket,
  };
}
