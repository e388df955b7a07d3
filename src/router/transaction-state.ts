/** The states of a request in the router, and the transitions between them (design 7.1). */
import * as tiny from "tiny-invariant";

/**
 * `receiving`: the body is not complete. `picking`: a runner is to be picked. `sent`: an attempt is under way, and
 * nothing of its response has gone to the client. `forwarding`: the response goes to the client. `done`: final.
 */
export type TransactionState = "receiving" | "picking" | "sent" | "forwarding" | "done";

const TRANSITIONS = new Map<TransactionState, readonly TransactionState[]>([
  ["receiving", ["picking", "done"]],
  ["picking", ["sent", "done"]],
  ["sent", ["picking", "forwarding", "done"]],
  ["forwarding", ["picking", "done"]],
  ["done", []],
]);

/** Returns the next state; throws where the transition does not exist, which is a defect of the router. */
export function transition(from: TransactionState, to: TransactionState): TransactionState {
  tiny.default(TRANSITIONS.get(from)?.includes(to), `a transaction cannot move from ${from} to ${to}; report it with the log`);
  return to;
}
