// What one transaction needs from around it (design 7.1).
import type * as types from "../wire/types.js";
import type * as runnerPicker from "./runner-picker.js";
import type * as routeRequest from "./route-request.js";

/** Made once for each transaction. */
export interface TransactionContext {
  clock: types.Clock;
  picker: runnerPicker.RunnerPicker;
  /** Called once, when the transaction is done. */
  onFinished(): void;
  /** A prompt is about to be read by this runner: the tokens that it has to read. The other routers learn of it. */
  recordSend(request: routeRequest.RouteRequest, runner: types.RunnerId): number;
  /** Whether each answer is the last on its connection. */
  readonly isDraining: () => boolean;
}
