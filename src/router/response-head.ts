/**
 * What the head of a runner's response proves (design 7.8): which request it belongs to, whether that request has run, and
 * how the end of the body is marked. Everything is decided from the head alone; there is no state between responses.
 */
import * as names from "../wire/names.js";
import type * as types from "../wire/types.js";

/** The head of one response as it arrived. */
export interface ResponseHead {
  status: number;
  /** Raw name and value pairs, in their order. */
  raw: readonly Buffer[];
  /** The same with lower-case names; of a repeated field the last value. */
  headers: ReadonlyMap<string, string>;
}

const MISDIRECTED = 421;
const MIN_FAILURE_STATUS = 400;
/** Clients take these as a promise that the request has not run and never will. */
const NOT_EXECUTED_STATUSES: ReadonlySet<number> = new Set([408, MISDIRECTED, 429, 503]);
/** Responses with these have no body. */
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/**
 * Whether the response carries this request's id, once or more often, and no other. Runners echo the id, so a response
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

/** Whether a success carries its runner's seal and no content encoding: clients request none, so an encoded body is not the runner's. */
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

/** Whether the body ends with the connection (RFC 9112, 6.3), since it has neither a length nor chunks. */
export function isDelimitedByClose(head: ResponseHead, method: string): boolean {
  if (method === "HEAD" || BODILESS_STATUSES.has(head.status)) return false;
  return !head.headers.has("content-length") && head.headers.get("transfer-encoding")?.toLowerCase().includes("chunked") !== true;
}
