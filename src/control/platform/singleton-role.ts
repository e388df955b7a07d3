/**
 * Singleton roles of the control plane: at any time one node polls the platform's endpoint list, and one the load
 * reports of each region. This module ranks the candidates (design/hardening/1-cut-off).
 */
import * as controlNode from "../../feed/control-node.js";

/** The node is shutting down: it takes a role only when nobody else can. */
export const DRAINING = 0;
/** The node has no contact with a majority of the voters now. */
export const UNCONFIRMED = 1;
/** A majority of the voters has confirmed the node lately. */
export const CONFIRMED = 2;
/** How eligible a control node is for a singleton role; a higher value takes precedence. */
export type Eligibility = typeof DRAINING | typeof UNCONFIRMED | typeof CONFIRMED;

/** A control node that may take singleton roles. */
export interface Candidate {
  name: string;
  region: string;
  eligibility: Eligibility;
}

/** The eligibility of another control node by the last heartbeat received from it. */
export function eligibilityOf(control: controlNode.ControlNode): Eligibility {
  if (controlNode.isDraining(control)) return DRAINING;
  return controlNode.isConfirmed(control) ? CONFIRMED : UNCONFIRMED;
}

/**
 * The candidates of the highest eligibility present, by name. While no candidate is confirmed, a partitioned side
 * still has its roles filled.
 */
export function bestCandidates(candidates: readonly Candidate[]): Candidate[] {
  let best: Eligibility = DRAINING;
  for (const { eligibility } of candidates) if (eligibility > best) best = eligibility;
  return candidates
    .filter((candidate) => candidate.eligibility === best)
    .sort((left, right) => (left.name < right.name ? -1 : left.name > right.name ? 1 : 0));
}

/** The index of a node in an order of precedence; a node that is not part of it ranks after all others. */
export function rankOf(name: string, order: readonly { name: string }[]): number {
  const rank = order.findIndex((item) => item.name === name);
  return rank < 0 ? order.length : rank;
}
