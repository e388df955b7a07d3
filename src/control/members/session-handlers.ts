// What nodes say to a control node about themselves: hello, beats, and other control nodes' rosters (design 4.1).
import * as calls from "../../wire/calls.js";
import type * as link from "../../wire/link.js";
import type * as schema from "../../wire/schema.js";
import * as types from "../../wire/types.js";
import type * as dialer from "../../feed/dialer.js";
import type * as quorumContact from "../voters/quorum-contact.js";
import type * as registerReplica from "../register-replica.js";
import type * as membership from "./membership.js";

/** What the handlers of sessions work on. */
export interface SessionHandlerParts {
  handlers: link.Handlers;
  members: membership.Membership;
  dial: dialer.Dialer;
  core: registerReplica.RegisterReplica;
  contact: quorumContact.QuorumContact;
  describe(): schema.NodeInfo;
  /** This control node and those it has links to. */
  controls(): schema.ControlInfo[];
  /** The life of this node's feed. */
  place: string;
}

/** Answers hellos, beats and rosters. */
export function registerHandlers(parts: SessionHandlerParts): void {
  const { handlers, members, dial, core, contact } = parts;
  handlers.on(calls.hello, function hello(from, ask) {
    members.enter(ask.node, from);
    if (ask.node.role === "control") dial.inReach(ask.node.address);
    return { node: parts.describe(), controls: parts.controls(), place: parts.place, isConfirmed: contact.isConfirmed() };
  });
  handlers.on(calls.beat, function beat(from, told) {
    members.receiveHeartbeat(from, told);
    dial.heard(from, told);
    if (told.epoch > (core.chosen?.epoch ?? types.NO_EPOCH)) void core.catchUp(from, told.epoch);
    return null;
  });
  handlers.on(calls.sessions, function sessions(from, told) {
    members.receiveRoster(from, told);
    dial.learn(told.controls);
    return null;
  });
  handlers.on(calls.whole, function whole(from) {
    members.forgetOffset(from);
    return null;
  });
}
