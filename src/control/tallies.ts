/** Tallies as a part of the control node: who the members are, whose routers are heard, and which calls go there. */
import * as crypto from "node:crypto";
import type * as dialer from "../feed/dialer.js";
import type * as settings from "../settings/settings.js";
import * as tallyCalls from "../tallies/calls.js";
import * as tallies from "../tallies/tallies.js";
import type * as link from "../wire/link.js";
import type * as types from "../wire/types.js";
import type * as registerReplica from "./register-replica.js";
import type * as serve from "../wire/serve.js";
import type * as membership from "./members/membership.js";

/** A router that was silent for longer tells nothing of its zone. */
const HEARD_MS = 800;
const STORE_BYTES = 9;

/** The control node around the tallies. */
export interface TallyNode {
  clock: types.Clock;
  life: string;
  address: string;
  dial: dialer.Dialer;
  handlers: link.Handlers;
  members: membership.Membership;
  core: registerReplica.RegisterReplica;
  settings(): settings.Settings;
}

/** Makes the tallies of a control node. */
export function make(node: TallyNode): tallies.Tallies {
  const { clock, life, address, dial, handlers, members, core } = node;
  return new tallies.Tallies(clock, {
    life,
    address,
    isCounted: node.settings().failure_counted,
    dial,
    handlers,
    newStore: () => crypto.randomBytes(STORE_BYTES).toString("base64url"),
    tolerated: () => node.settings().fault_tolerance.machines,
    members: () => (core.chosen ?? core.accepted)?.voters.map((voter) => voter.address) ?? [...dial.controls.keys()],
    hearsZone: (zone) => hears(members, zone),
  });
}

function hears(members: membership.Membership, zone: string): boolean {
  for (const { node, link: heard } of members.readyRouters()) if (node.zone === zone && heard.silentMs() <= HEARD_MS) return true;
  return false;
}

/** Calls on tallies are answered by any node, confirmed or not; all others go on to `next`. */
export function before(kept: tallies.Tallies, next: serve.Reply): serve.Reply {
  const calls = new tallyCalls.TallyCalls(kept);
  return function reply(asked) {
    return asked.path.startsWith(tallyCalls.PREFIX) ? calls.reply(asked) : next(asked);
  };
}
