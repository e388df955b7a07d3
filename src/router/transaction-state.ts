// The states of a request in the router, and which may follow which (design 7.1).
import * as tiny from "tiny-invariant";

/** Of one request. */
export type TransactionState = "reading" | "choosing" | "sent" | "passing" | "done";
const MOVES = new Map<TransactionState, readonly TransactionState[]>([
  ["reading", ["choosing", "done"]],
  ["choosing", ["sent", "done"]],
  ["sent", ["choosing", "passing", "done"]],
  ["passing", ["choosing", "done"]],
  ["done", []],
]);

/** The next state; throws where it may not follow. */
export function transition(from: TransactionState, to: TransactionState): TransactionState {
  tiny.default(MOVES.get(from)?.includes(to), `a transaction cannot move from ${from} to ${to}; report it with the log`);
  return to;
}
