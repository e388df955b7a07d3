/**
 * Calls to a running system, for the commands (design 10.2): redirects followed, other nodes tried, and every failure
 * in one line with its remedy.
 */
import * as result from "true-myth/result";
import * as errors from "../runtime/errors.js";
import * as http from "../wire/http.js";
import * as types from "../wire/types.js";

const TIMEOUT_MS = 4000;
const MAX_REDIRECTS = 2;

/** A response under 300; `json` is null where the body is none. */
export interface ClientResponse {
  status: number;
  json: unknown;
}

type Outcome = result.Result<ClientResponse, errors.CranewindError>;

/** A call of a node's published interface. */
export interface ClientRequest {
  method: "GET" | "POST";
  path: string;
  headers?: Record<string, string>;
  body?: Buffer;
}

async function sendFollowingRedirects(clock: types.Clock, address: string, request: ClientRequest): Promise<http.Reply | null> {
  let currentAddress = address;
  let { path } = request;
  for (let hop = 0; hop <= MAX_REDIRECTS; hop += 1) {
    const client = http.open(currentAddress, { connectMs: TIMEOUT_MS, idleMs: 1 });
    const response = await http.call(clock, client, path, {
      method: request.method,
      headers: request.headers,
      body: request.body,
      timeoutMs: TIMEOUT_MS,
    });
    void client.destroy().catch(http.ignore);
    const location = response?.status === 307 ? response.headers.get("location") : undefined;
    if (!location) return response;
    const url = new URL(location);
    currentAddress = url.host;
    path = url.pathname + url.search;
  }
  return null;
}

/**
 * Tries one node after the other; a clear answer, good or bad, ends it. An error is of kind timeout or no_majority
 * where trying again may help, else race, invalid, or usage where no address was given.
 */
export async function send(clock: types.Clock, addresses: readonly string[], request: ClientRequest): Promise<Outcome> {
  let lastError: errors.CranewindError | null = null;
  for (const address of addresses) {
    const response = await sendFollowingRedirects(clock, address, request);
    if (!response) {
      lastError = new errors.TimeoutError(`${address} does not reply`, "check that a node runs there, or name another with --control");
      continue;
    }
    const json = parse(response.body);
    if (response.status < 300) return result.ok({ status: response.status, json });
    // The node's own message names the remedy already.
    const message = messageOf(json) ?? `${address} replied ${response.status}; see its log`;
    if (response.status === 412) return result.err(new errors.RevisionConflictError(message, ""));
    if (response.status < 500) return result.err(new errors.InvalidRequestError(message, ""));
    lastError = new errors.NoQuorumError(message, "");
  }
  return result.err(lastError ?? new errors.UsageError("no address was given", "name one with --control HOST:PORT"));
}

function parse(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString("utf8"));
  } catch {
    return null;
  }
}

function messageOf(json: unknown): string | null {
  if (typeof json !== "object" || json === null) return null;
  const { message } = json as { message?: unknown };
  return typeof message === "string" ? message : null;
}
