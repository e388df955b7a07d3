// Who is fit to read the platform's list and the regions' reports for all (design/hardening/1-cut-off).
import * as dialer from "../../feed/dialer.js";

/** A higher one goes first: a confirmed node, then one that is cut off from a majority, last one that is leaving. */
export const DRAINING = 0;
/** Not confirmed by a majority now. */
export const UNCONFIRMED = 1;
/** Confirmed by a majority. */
export const CONFIRMED = 2;
/** How fit for duty a control node is. */
export type Eligibility = typeof DRAINING | typeof UNCONFIRMED | typeof CONFIRMED;

/** A control node that may have duties. */
export interface Candidate {
  name: string;
  region: string;
  eligibility: Eligibility;
}

/** By what another control node said last. */
export function eligibilityOf(control: dialer.Control): Eligibility {
  if (dialer.isLeaving(control)) return DRAINING;
  return dialer.isConfirmed(control) ? CONFIRMED : UNCONFIRMED;
}

/** The fittest of all, by name; while nobody is confirmed, a side that is cut off still has its readers. */
export function mostEligible(candidates: readonly Candidate[]): Candidate[] {
  let best: Eligibility = DRAINING;
  for (const { eligibility: fitness } of candidates) if (fitness > best) best = fitness;
  return candidates.filter(isBest).sort(byName);
  function isBest(candidate: Candidate): boolean {
    return candidate.eligibility === best;
  }
}

/** The place in an order of readers; one that is not among them stands in after all of them. */
export function rankOf(name: string, order: readonly { name: string }[]): number {
  const rank = order.findIndex(isNamed);
  return rank < 0 ? order.length : rank;
  function isNamed(item: { name: string }): boolean {
    return item.name === name;
  }
}

function byName(left: Candidate, right: Candidate): number {
  return left.name < right.name ? -1 : left.name > right.name ? 1 : 0;
}
