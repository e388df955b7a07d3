/** Answers what nodes send about themselves: hellos, heartbeats, and other control nodes' memberships (design 4.1). */
import * as calls from "../../wire/calls.js";
import type * as link from "../../wire/link.js";
import type * as schema from "../../wire/schema.js";
import * as types from "../../wire/types.js";
import type * as dialer from "../../feed/dialer.js";
import type * as quorumContact from "../voters/quorum-contact.js";
import type * as registerReplica from "../register-replica.js";
import type * as membership from "./membership.js";

/** What the handlers work on. */
export interface SessionHandlerParts {
  handlers: link.Handlers;
  members: membership.Membership;
  dial: dialer.Dialer;
  replica: registerReplica.RegisterReplica;
  contact: quorumContact.QuorumContact;
  describe(): schema.NodeInfo;
  /** This control node and those it has links to. */
  controls(): schema.ControlInfo[];
  /** The incarnation of this node's feed. */
  feedIncarnation: string;
}

/** Registers the handlers of hellos, heartbeats and membership updates. */
export function registerHandlers(parts: SessionHandlerParts): void {
  const { handlers, members, dial, replica, contact } = parts;
  handlers.on(calls.hello, (from, hello) => {
    members.openSession(hello.node, from);
    if (hello.node.role === "control") dial.dialWithoutBackoff(hello.node.address);
    return { node: parts.describe(), controls: parts.controls(), place: parts.feedIncarnation, isConfirmed: contact.isConfirmed() };
  });
  handlers.on(calls.heartbeat, (from, heartbeat) => {
    members.receiveHeartbeat(from, heartbeat);
    dial.receiveHeartbeat(from, heartbeat);
    if (heartbeat.epoch > (replica.chosen?.epoch ?? types.NO_EPOCH)) void replica.catchUp(from, heartbeat.epoch);
    return null;
  });
  handlers.on(calls.rosterUpdate, (from, update) => {
    members.receivePeerMembership(from, update);
    dial.addControls(update.controls);
    return null;
  });
  handlers.on(calls.requestRoster, (from) => {
    members.forgetOffset(from);
    return null;
  });
}
