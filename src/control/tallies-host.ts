/** The tallies in their control node: who their members are, whose routers are in touch, and which calls they answer. */
import * as crypto from "node:crypto";
import type * as dialer from "../feed/dialer.js";
import type * as settings from "../settings/settings.js";
import * as tallyCalls from "../tallies/tally-calls.js";
import * as replicatedCounters from "../tallies/replicated-counters.js";
import type * as link from "../wire/link.js";
import type * as types from "../wire/types.js";
import type * as registerReplica from "./register-replica.js";
import type * as serve from "../wire/serve.js";
import type * as membership from "./members/membership.js";

/** A router that was silent for longer is no evidence of its zone. */
const MAX_ROUTER_SILENT_MS = 800;
/** Random part of a store's identity. */
const STORE_ID_BYTES = 9;

/** The control node around the tallies. */
export interface TalliesHost {
  clock: types.Clock;
  incarnation: string;
  address: string;
  dial: dialer.Dialer;
  handlers: link.Handlers;
  members: membership.Membership;
  replica: registerReplica.RegisterReplica;
  /** The settings in force. */
  settings(): settings.Settings;
}

/** Makes the tallies of a control node. */
export function makeTallies(host: TalliesHost): replicatedCounters.ReplicatedCounters {
  const { clock, incarnation, address, dial, handlers, members, replica } = host;
  return new replicatedCounters.ReplicatedCounters(clock, {
    incarnation: incarnation,
    address,
    isCounted: host.settings().failure_counted,
    dial,
    handlers,
    newDiskId: () => crypto.randomBytes(STORE_ID_BYTES).toString("base64url"),
    tolerated: () => host.settings().fault_tolerance.machines,
    members: () => (replica.chosen ?? replica.accepted)?.voters.map((voter) => voter.address) ?? [...dial.controls.keys()],
    isZoneHeard: (zone) => isZoneInTouch(members, zone),
  });
}

function isZoneInTouch(members: membership.Membership, zone: string): boolean {
  for (const router of members.readyRouters()) {
    if (router.node.zone === zone && router.link.idleMs() <= MAX_ROUTER_SILENT_MS) return true;
  }
  return false;
}

/** Calls on tallies are answered by any node, confirmed or not; all others go on to `next`. */
export function withTallyCalls(kept: replicatedCounters.ReplicatedCounters, next: serve.RequestHandler): serve.RequestHandler {
  const calls = new tallyCalls.TallyCalls(kept);
  return (request) => (request.path.startsWith(tallyCalls.PREFIX) ? calls.reply(request) : next(request));
}
