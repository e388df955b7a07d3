/**
 * Sends one item the ordinary way, as a client of a router (design/batch 6). What the router answers is read as any
 * client may read it: 408, 421, 429 and 503 promise that the item has not run, a broken or missing answer proves nothing.
 */
import * as crypto from "node:crypto";
import type * as configurationCheck from "../config/configuration-check.js";
import * as http from "../wire/http.js";
import * as names from "../wire/names.js";
import type * as types from "../wire/types.js";
import * as batchAttempt from "./batch-attempt.js";
import * as bounds from "./bounds.js";
import * as submissions from "./submission.js";

const CONNECT_TIMEOUT_MS = 700;
/** After the route's deadline the router has ended the request. */
const DEADLINE_MARGIN_MS = 1500;
const DEFAULT_DEADLINE_MS = 60_000;
const DEFAULT_RETRY_AFTER_MS = 1000;
/** Retry interval while no router of the region accepts a connection. */
const NO_ROUTER_RETRY_AFTER_MS = 2000;
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** A router that knows this node's pass. */
export interface Destination {
  /** Where it takes clients, host:port. */
  frontend: string;
  pass: string;
}

/** One item and the route that it goes by. */
export interface RoutedItem {
  route: configurationCheck.Route;
  item: submissions.SubmittedItem;
}

/** The longest that a send may take, in milliseconds. */
export function longestMs(route: configurationCheck.Route | null): number {
  return (route?.deadline_ms ?? DEFAULT_DEADLINE_MS) + DEADLINE_MARGIN_MS;
}

/** Resolves when the answer is whole, refused or lost; never rejects. */
export async function send(clock: types.Clock, to: Destination | null, { route, item }: RoutedItem): Promise<batchAttempt.AttemptAnswer> {
  if (!to) return { kind: "not_run", retryAfterMs: NO_ROUTER_RETRY_AFTER_MS };
  const client = http.open(to.frontend, { connectMs: CONNECT_TIMEOUT_MS, idleMs: 1 });
  let wasSent = false;
  const reply = await http.call(clock, client, item.path ?? route.path_prefix, {
    method: item.method,
    headers: headersOf(route, item, to.pass),
    body: item.body === "" ? undefined : Buffer.from(item.body),
    timeoutMs: longestMs(route),
    maxBytes: 2 * bounds.MAX_RESULT_BYTES,
    onConnect(): void {
      wasSent = true;
    },
  });
  void client.destroy().catch(http.ignore);
  if (!reply) return wasSent ? { kind: "may_have_run" } : { kind: "not_run", retryAfterMs: NO_ROUTER_RETRY_AFTER_MS };
  return answerOf(reply);
}

function headersOf(route: configurationCheck.Route, item: submissions.SubmittedItem, pass: string): Record<string, string> {
  const headers: Record<string, string> = {
    Host: route.hostname,
    [names.HEADER.requestId]: `b-${crypto.randomBytes(9).toString("base64url")}`,
    [names.HEADER.budgetMs]: String(route.deadline_ms),
    [names.HEADER.batchPass]: pass,
    [names.HEADER.model]: item.model,
  };
  if (item.tokens_out > 0) headers[names.HEADER.tokens] = submissions.tokenUsage(item);
  if (item.prompt !== "") headers[names.HEADER.prefix] = item.prompt;
  return headers;
}

function answerOf(reply: http.Reply): batchAttempt.AttemptAnswer {
  const { status, headers, body } = reply;
  if (NOT_RUN_STATUSES.has(status)) return { kind: "not_run", retryAfterMs: retryAfterMs(headers.get(names.HEADER.retryAfter)) };
  if (status >= 500) return { kind: "may_have_run" };
  const seal = headers.get(names.HEADER.seal) ?? "";
  if (status >= 300 || seal === "") return { kind: "refused", status };
  return { kind: "answered", answer: { status, contentType: headers.get("content-type") ?? "", seal, body } };
}

function retryAfterMs(retryAfter: string | undefined): number {
  const seconds = Number(retryAfter);
  return retryAfter !== undefined && seconds >= 0 ? seconds * 1000 : DEFAULT_RETRY_AFTER_MS;
}
