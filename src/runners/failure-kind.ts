// What may be seen of a runner by one request, and what it weighs (design/status 2).
/** What may be seen of a request that went wrong; the weights are ours. */
export type FailureKind =
  | "error" // a failure of the runner's own
  | "broken" // sent, and broken off or spoiled
  | "refused" // no connection, told at once
  | "unreached" // no connection, in silence
  | "silent" // nothing more came
  | "stale" // a kept connection that the runner closed meanwhile
  | "overdue" // no first byte for far longer than alike work takes
  | "late" // its own failure at the deadline
  | "slow" // several times slower than its siblings at alike work
  | "shed"; // handed back although it is not full

/** How much each sign counts. */
export const FAILURE_WEIGHTS = new Map<FailureKind, number>([
  ["error", 1],
  ["broken", 1],
  ["refused", 1],
  ["unreached", 1],
  ["silent", 1],
  ["stale", 0.5],
  ["overdue", 0.8],
  ["late", 0.5],
  ["slow", 0.7],
  ["shed", 0.6],
]);
/** These say nothing of a runner that has much to do. */
export const LOAD_RELATED_FAILURES = new Set<FailureKind>(["silent", "overdue", "late", "slow", "shed"]);
