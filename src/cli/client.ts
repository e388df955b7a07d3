// Calls to a running system, for the commands (design 10.2): redirects followed, other nodes tried, and every
// failure told in one line with its remedy.
import * as result from "true-myth/result";
import * as errors from "../startup/errors.js";
import * as http from "../wire/http.js";
import * as types from "../wire/types.js";

const WITHIN_MS = 4000;
const MOST_REDIRECTS = 2;

export interface Called {
  status: number;
  json: unknown;
}

type Outcome = result.Result<Called, errors.CranewindError>;

export interface Call {
  method: "GET" | "POST";
  path: string;
  headers?: Record<string, string>;
  body?: Buffer;
}

async function once(world: types.World, address: string, call: Call): Promise<http.Reply | null> {
  let at = address;
  let { path } = call;
  for (let hop = 0; hop <= MOST_REDIRECTS; hop += 1) {
    const client = http.open(at, { connectMs: WITHIN_MS, idleMs: 1 });
    const reply = await http.call(world, client, path, {
      method: call.method,
      headers: call.headers,
      body: call.body,
      withinMs: WITHIN_MS,
    });
    void client.destroy().catch(http.ignore);
    const location = reply?.status === 307 ? reply.headers.get("location") : undefined;
    if (!location) return reply;
    const url = new URL(location);
    at = url.host;
    path = url.pathname + url.search;
  }
  return null;
}

/** Tries one node after the other; a clear answer, good or bad, ends it. */
export async function send(world: types.World, addresses: readonly string[], call: Call): Promise<Outcome> {
  let last: errors.CranewindError | null = null;
  for (const address of addresses) {
    const reply = await once(world, address, call);
    if (!reply) {
      last = errors.fail("timeout", `${address} does not reply`, "check that a node runs there, or name another with --control");
      continue;
    }
    const json = parse(reply.body);
    if (reply.status < 300) return result.ok({ status: reply.status, json });
    // The node's own message names the remedy already.
    const message = messageOf(json) ?? `${address} replied ${reply.status}; see its log`;
    if (reply.status < 500) return result.err(errors.fail(reply.status === 412 ? "race" : "invalid", message, ""));
    last = errors.fail("no_majority", message, "");
  }
  return result.err(last ?? errors.fail("usage", "no address was given", "name one with --control HOST:PORT"));
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
