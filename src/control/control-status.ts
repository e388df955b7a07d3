/** The status of a control node for its operators (design 9.1, docs/operating.md). */
import * as counts from "../wire/counts.js";
import type * as schema from "../wire/schema.js";
import * as log from "../runtime/log.js";
import * as vitals from "../runtime/vitals.js";
import type * as quorumContact from "./voters/quorum-contact.js";
import type * as registerReplica from "./register-replica.js";
import type * as membership from "./members/membership.js";

/** What the status is built from. */
export interface StatusParts {
  node: schema.NodeInfo;
  replica: registerReplica.RegisterReplica;
  contact: quorumContact.QuorumContact;
  members: membership.Membership;
  /** State of the voter's disk; null on a node without one. */
  disk: unknown;
  /** The platform's endpoint list and the load reports, as FleetObserver shows them. */
  cells: unknown;
  /** Quotas as this node owns them. */
  quotas: unknown;
  /** Tallies as this node keeps them. */
  tallies: unknown;
  /** Null where batches are off. */
  batches: unknown;
  /** Null where the settings name no duties. */
  duties: unknown;
}

/** The status of a control node as JSON; its names are read by `cranewind status`. */
export function buildStatus(parts: StatusParts): unknown {
  const { node, replica, contact, members, disk, cells, quotas, tallies, batches, duties } = parts;
  const value = replica.chosen;
  return {
    node,
    isSettled: contact.isConfirmed(),
    contact: contact.status(),
    lossesBorne: replica.lossesBorne(),
    disk,
    register: value && {
      epoch: value.epoch,
      revision: value.revision,
      evacuations: value.evacuations,
      voters: value.voters,
      former: value.former,
    },
    members: { control: members.withRole("control"), router: members.withRole("router") },
    cells,
    quotas,
    tallies,
    batches,
    duties,
    counters: Object.fromEntries(log.counted()),
    vitals: vitals.vitals(),
    links: Object.fromEntries(counts.linkCounts()),
  };
}
