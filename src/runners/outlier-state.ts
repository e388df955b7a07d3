/** The states of outlier detection at one router, and the transitions between them (design/status 3). */

/** `good`: in full use. `suspected`: at lower preference. `ejected`: out of use. `probation`: a growing part of its requests. */
export type OutlierState = "good" | "suspected" | "ejected" | "probation";

const TRANSITIONS = new Map<OutlierState, readonly OutlierState[]>([
  ["good", ["suspected", "ejected"]],
  ["suspected", ["good", "ejected"]],
  ["ejected", ["probation"]],
  ["probation", ["good", "ejected"]],
]);

/** Whether one state may follow the other. */
export function isTransitionAllowed(from: OutlierState, to: OutlierState): boolean {
  return TRANSITIONS.get(from)!.includes(to);
}
