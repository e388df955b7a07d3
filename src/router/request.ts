// A request as the router holds it, and what its transaction needs from around it (design 7.1).
import type * as nodeHttp from "node:http";
import type * as tickets from "../admission/ticket.js";
import type * as routes from "../config/routes.js";
import type * as types from "../wire/types.js";
import type * as attempts from "./attempt.js";
import type * as choosers from "./chooser.js";
import * as headers from "./headers.js";
import type * as plans from "./plan.js";
import type * as transactions from "./transaction.js";

export interface Request {
  requestId: types.RequestId;
  entry: routes.RouteEntry;
  service: string;
  parts: plans.Part[];
  keys: number[];
  arrivedAt: number;
  deadline: number;
  asked: plans.Asked;
  body: Buffer | null;
}

export interface Context {
  world: types.World;
  chooser: choosers.Chooser;
  finished(transaction: transactions.Transaction): void;
  /** A prompt is about to be read there: the other routers hear of it. */
  sending(request: Request, runner: types.RunnerId): number;
  isLeaving(): boolean;
}

/** The request as a runner gets it: method, path and body unchanged, headers by the rules (design 7.7). */
export function sendable(
  request: Request,
  incoming: nodeHttp.IncomingMessage,
  sending: headers.Sending,
  ticket: tickets.Ticket,
): attempts.Sendable {
  const { method, url, rawHeaders, headers: parsed } = incoming;
  return {
    method: method ?? "GET",
    path: url ?? "/",
    headers: headers.forRunner(rawHeaders, parsed.connection, sending),
    body: request.body,
    requestId: request.requestId,
    isStream: request.entry.route.route_type === "streaming",
    ticket,
  };
}
