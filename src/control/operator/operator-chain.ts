/** The handlers that a request to the operators' API passes at a control node: expiry, redirector, order forwarder, API (design 6.2). */
import type * as link from "../../wire/link.js";
import type * as types from "../../wire/types.js";
import type * as controlNode from "../../feed/control-node.js";
import type * as dialer from "../../feed/dialer.js";
import type * as quorumContact from "../voters/quorum-contact.js";
import type * as registerReplica from "../register-replica.js";
import * as orderFreshness from "./order-freshness.js";
import * as orderForwarder from "./order-forwarder.js";
import * as redirect from "./redirect.js";
import type * as serve from "../../wire/serve.js";

/** The parts of one control node that decide where a request is answered. */
export interface OperatorParts {
  clock: types.Clock;
  handlers: link.Handlers;
  dial: dialer.Dialer;
  core: registerReplica.RegisterReplica;
  contact: quorumContact.QuorumContact;
}

/** A handler that redirects or forwards a request where another node is to answer it, and else passes it to `api`. */
export function createOperatorHandler(parts: OperatorParts, api: serve.RequestHandler): serve.RequestHandler {
  const { clock, handlers, dial, core, contact } = parts;
  const controls = (): Iterable<controlNode.ControlNode> => dial.controls.values();
  const forwarder = new orderForwarder.OrderForwarder(clock, core, controls, api);
  forwarder.registerHandlers(handlers, contact);
  const redirector = new redirect.Redirector(clock, contact, controls, (request) => forwarder.handle(request));
  dial.on("heartbeat", () => redirector.rememberConfirmedPeers());
  return orderFreshness.rejectExpired((request) => redirector.handle(request));
}
