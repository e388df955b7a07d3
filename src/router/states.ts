// The states of a request in the router, and which may follow which (design 7.1).
import * as tiny from "tiny-invariant";

/** Of one request. */
export type State = "reading" | "choosing" | "sent" | "passing" | "done";
const MOVES = new Map<State, readonly State[]>([
  ["reading", ["choosing", "done"]],
  ["choosing", ["sent", "done"]],
  ["sent", ["choosing", "passing", "done"]],
  ["passing", ["choosing", "done"]],
  ["done", []],
]);

/** The next state; throws where it may not follow. */
export function moved(from: State, to: State): State {
  tiny.default(MOVES.get(from)?.includes(to), `a transaction cannot move from ${from} to ${to}; report it with the log`);
  return to;
}
