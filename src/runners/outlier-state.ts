// The states of a runner's health as this router judges it, and which may follow which (design/status 3).
/** What a router holds of a runner. */
export type OutlierState = "good" | "suspected" | "ejected" | "probation";

const MOVES = new Map<OutlierState, readonly OutlierState[]>([
  ["good", ["suspected", "ejected"]],
  ["suspected", ["good", "ejected"]],
  ["ejected", ["probation"]],
  ["probation", ["good", "ejected"]],
]);

/** Whether one state may follow the other. */
export function isTransitionAllowed(from: OutlierState, to: OutlierState): boolean {
  return MOVES.get(from)!.includes(to);
}
