/** The kinds of failure that one request may show of its runner, and their weights (design/status 2). */

/** What went wrong with one request. */
export type FailureKind =
  | "error" // the runner's own failure, by its status
  | "interrupted" // sent, and the response is incomplete or invalid
  | "refused" // the connection was refused
  | "unreached" // the connection attempt timed out
  | "silent" // nothing more arrived
  | "stale" // a reused connection that the runner had closed meanwhile
  | "overdue" // no first byte for far longer than alike work takes
  | "late" // the runner's own time-out, by its status
  | "slow" // several times slower than its peers at alike work
  | "rejected"; // not executed, although the runner is not full

/** How much each counts; the weights are ours. */
export const FAILURE_WEIGHTS = new Map<FailureKind, number>([
  ["error", 1],
  ["interrupted", 1],
  ["refused", 1],
  ["unreached", 1],
  ["silent", 1],
  ["stale", 0.5],
  ["overdue", 0.8],
  ["late", 0.5],
  ["slow", 0.7],
  ["rejected", 0.6],
]);

/** These prove nothing about a runner under load. */
export const LOAD_RELATED_FAILURES = new Set<FailureKind>(["silent", "overdue", "late", "slow", "rejected"]);
