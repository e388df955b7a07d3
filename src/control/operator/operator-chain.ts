// What an operator's call passes at a control node: redirector, forwarder, and the calls themselves (design 6.2).
import type * as link from "../../wire/link.js";
import type * as types from "../../wire/types.js";
import type * as controlNode from "../../feed/control-node.js";
import type * as dialer from "../../feed/dialer.js";
import type * as quorumContact from "../voters/quorum-contact.js";
import type * as registerReplica from "../register-replica.js";
import * as orderForwarder from "./order-forwarder.js";
import * as redirect from "./redirect.js";
import type * as serve from "../../wire/serve.js";

/** The parts of one control node that decide where a call is answered. */
export interface OperatorParts {
  clock: types.Clock;
  handlers: link.Handlers;
  dial: dialer.Dialer;
  core: registerReplica.RegisterReplica;
  contact: quorumContact.QuorumContact;
}

/** Puts both before `calls`, which decides what reaches it. */
export function chain(parts: OperatorParts, calls: serve.Reply): serve.Reply {
  const { clock: world, handlers, dial, core, contact } = parts;
  function controls(): Iterable<controlNode.ControlNode> {
    return dial.controls.values();
  }
  const forwarder = new orderForwarder.OrderForwarder(world, core, controls, calls);
  forwarder.register(handlers, contact);
  const redirector = new redirect.Redirector(world, contact, controls, forwarder.reply.bind(forwarder));
  dial.on("heartbeat", redirector.remember.bind(redirector));
  return redirector.reply.bind(redirector);
}
