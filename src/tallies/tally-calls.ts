/**
 * The calls on tallies: Update, Describe, List (docs/tallies.md). Any control node takes any of them, at either side of a
 * cut. 503 and 429 promise that nothing was done; 504 promises nothing.
 */
import type * as serve from "../wire/serve.js";
import * as errors from "../runtime/errors.js";
import * as log from "../runtime/log.js";
import * as tallyRequest from "./tally-request.js";
import type * as replicatedCounters from "./replicated-counters.js";

/** All paths begin so. */
export const PREFIX = "/-/Tallies.";
/** Adds to a tally, whose name follows. */
export const UPDATE = `${PREFIX}Update/`;
/** Reads a tally, whose name follows. */
export const DESCRIBE = `${PREFIX}Describe/`;
/** Reads all tallies. */
export const LIST = `${PREFIX}List`;

/** Seconds after which the answer may be another one: a cut is found, or over, or a start is. */
const RETRY_AFTER_S = "0.3";
const FULL_RETRY_AFTER_S = "5";

/** Replies to every call on tallies; holds no state. */
export class TallyCalls {
  constructor(private readonly tallies: Pick<replicatedCounters.ReplicatedCounters, "add" | "total" | "totals">) {}

  /** Replies to any path that begins with PREFIX. */
  async reply(asked: serve.HttpRequest): Promise<serve.HttpResponse> {
    const { method, path } = asked;
    if (method === "POST" && path.startsWith(UPDATE)) return this.update(path.slice(UPDATE.length), asked.body);
    if (method === "GET" && path.startsWith(DESCRIBE)) return this.describe(path.slice(DESCRIBE.length));
    if (method === "GET" && path === LIST) return this.list();
    return rejected(404, new errors.NotFoundError(`no call ${method} ${path}`, "see docs/tallies.md for the calls"));
  }

  private async update(encoded: string, body: Buffer): Promise<serve.HttpResponse> {
    const name = tallyRequest.parseName(encoded);
    if (name.isErr) return rejected(400, name.error);
    const add = tallyRequest.parseAdd(body);
    if (add.isErr) return rejected(400, add.error);
    const added = await this.tallies.add(name.value, add.value);
    return RESPONSES[added]();
  }

  private async describe(encoded: string): Promise<serve.HttpResponse> {
    const name = tallyRequest.parseName(encoded);
    if (name.isErr) return rejected(400, name.error);
    const total = await this.tallies.total(name.value);
    return total === null ? notReady() : { status: 200, json: { total } };
  }

  private async list(): Promise<serve.HttpResponse> {
    const totals = await this.tallies.totals();
    if (!totals) return notReady();
    const sorted = [...totals].sort(([left], [right]) => (left < right ? -1 : 1));
    return { status: 200, json: { tallies: sorted.map(([tally, total]) => ({ tally, total })) } };
  }
}

const RESPONSES: { readonly [Outcome in replicatedCounters.AddOutcome]: () => serve.HttpResponse } = {
  added: () => ({ status: 200, json: {} }),
  conflict: () => rejected(409, new errors.InvalidRequestError("this instance_id was added with another amount", "send a new instance_id")),
  busy: () => retryLater(503, RETRY_AFTER_S, "too few other control nodes are in reach to keep an add; nothing was done"),
  full: () => retryLater(429, FULL_RETRY_AFTER_S, "too many adds wait for control nodes that are cut off; nothing was done"),
  unknown: () => rejected(504, new errors.TimeoutError("not enough disks hold the add yet", "send it again with the same instance_id")),
};

function notReady(): serve.HttpResponse {
  return retryLater(503, RETRY_AFTER_S, "this control node has just started and does not know all tallies yet");
}

function retryLater(status: number, seconds: string, message: string): serve.HttpResponse {
  log.count(`tallies.refused_${status}`);
  const headers = { "Retry-After": seconds };
  return { status, headers, json: { message: `${message}; send the call again, to any control node` } };
}

function rejected(status: number, error: errors.CranewindError): serve.HttpResponse {
  log.count(`tallies.denied_${status}`);
  return { status, json: { message: error.message } };
}
