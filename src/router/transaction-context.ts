/** What one transaction needs of the router around it (design 7.1). */
import type * as types from "../wire/types.js";
import type * as routeRequest from "./route-request.js";
import type * as runnerPicker from "./runner-picker.js";

/** Made once for each transaction. */
export interface TransactionContext {
  clock: types.Clock;
  picker: runnerPicker.RunnerPicker;
  /** Called once, when the transaction is done. */
  onFinished(): void;
  /** Called once, when a runner is known to have begun to run the request. */
  onBegun(): void;
  /** A request goes to this runner, and other routers are notified of its prefill; returns the prompt's tokens that the runner has not cached. */
  recordSend(request: routeRequest.RouteRequest, runner: types.RunnerId): number;
  /** Whether the router shuts down: each response is then the last on its connection. */
  readonly isDraining: () => boolean;
}
