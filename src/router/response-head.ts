// What the head of a runner's answer proves: whose answer it is, whether the request has run, and how its end is
// told (design 7.8). Everything here is judged from the head alone; nothing is remembered between answers.
import * as names from "../wire/names.js";
import type * as types from "../wire/types.js";

/** The head of one answer as it arrived. */
export interface ResponseHead {
  status: number;
  /** Raw name and value pairs, in their order. */
  raw: readonly Buffer[];
  /** The same with lower-case names; of a repeated field the last value. */
  headers: ReadonlyMap<string, string>;
}

const MISDIRECTED = 421;
const MIN_FAILURE_STATUS = 400;
/** A client takes these as a promise that the request has not run and never will. */
const NOT_EXECUTED_STATUSES: ReadonlySet<number> = new Set([408, MISDIRECTED, 429, 503]);
/** Answers with these never have a body. */
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/**
 * Whether the answer bears this request's id, once or more often, and no other. Runners echo the id, so an answer
 * without one proves nothing about the request that waits for it.
 */
export function isForRequest(head: ResponseHead, requestId: types.RequestId): boolean {
  let hasId = false;
  const { raw } = head;
  for (let index = 0; index + 1 < raw.length; index += 2) {
    if (raw[index].length !== names.HEADER.requestId.length) continue;
    if (raw[index].toString("latin1").toLowerCase() !== names.HEADER.requestId) continue;
    if (raw[index + 1].toString("latin1") !== requestId) return false;
    hasId = true;
  }
  return hasId;
}

/** Whether the status is 2xx. */
export function isSuccess(head: ResponseHead): boolean {
  return head.status >= 200 && head.status < 300;
}

/** A success counts only with its runner's seal, and only in the runner's own bytes: clients ask for no encoding. */
export function isSealed(head: ResponseHead): boolean {
  return head.headers.has(names.HEADER.seal) && !head.headers.has("content-encoding");
}

/** Whether the runner says that it did not run the request. A success that says so contradicts itself: it may have run. */
export function isNotExecuted(head: ResponseHead): boolean {
  return head.status === MISDIRECTED || (head.status >= MIN_FAILURE_STATUS && head.headers.has(names.HEADER.notExecuted));
}

/** Whether a client would read the status as a promise that the request has not run. */
export function promisesNotExecuted(head: ResponseHead): boolean {
  return NOT_EXECUTED_STATUSES.has(head.status);
}

/** Whether only the end of the connection tells the end of the body (RFC 9112, 6.3): neither a length nor chunks do. */
export function isDelimitedByClose(head: ResponseHead, method: string): boolean {
  if (method === "HEAD" || BODILESS_STATUSES.has(head.status)) return false;
  return !head.headers.has("content-length") && head.headers.get("transfer-encoding")?.toLowerCase().includes("chunked") !== true;
}
