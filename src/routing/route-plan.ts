/** What the router's policies and admission work on: one request on its way to a runner (design 7.2). */
import type * as routeTable from "../config/route-table.js";
import type * as runnerEndpoint from "../runners/runner-endpoint.js";
import type * as tenant from "../tenants/tenant.js";
import type * as types from "../wire/types.js";
import type * as promptParts from "./prompt-parts.js";

/** The routing of one attempt: what is known of the request, and the cells and runners that remain for it. */
export interface RoutePlan {
  readonly requestId: types.RequestId;
  /** Priority: 0 is the most urgent; items of batches come after the ranks of all routes. */
  readonly rank: number;
  /** An item of a batch: it may only use capacity that nobody else needs (design/batch 6). */
  readonly isBatch: boolean;
  readonly entry: routeTable.RouteEntry;
  /** Whose request it is; null where no key is needed. */
  readonly tenant: tenant.Tenant | null;
  readonly service: string;
  /** The parts of the prompt that other requests share: all but the last. */
  readonly sharedParts: readonly promptParts.PromptPart[];
  readonly sharedTokens: number;
  /** All parts of the prompt, and the key of the prefix that ends with each. */
  readonly parts: readonly promptParts.PromptPart[];
  readonly prefixKeys: readonly number[];
  /** Runners that earlier attempts of the same request were sent to. */
  readonly attemptedRunners: ReadonlySet<string>;
  /** Milliseconds of the steady clock, as `deadline`. */
  readonly now: number;
  readonly deadline: number;
  readonly requestedTokens: promptParts.RequestedTokens;
  /** The same for all requests that a client sends for one piece of work; 0 where nothing identifies it (design/admission 5). */
  readonly retryKey: number;
  /** Regions in order of preference; set by the homes and cell policies. */
  cells: string[];
  /** Runners in order of preference. */
  candidates: runnerEndpoint.RunnerEndpoint[];
}

/** The router's own response in place of a runner's: nothing of the request has run. */
export interface Rejection {
  status: 429 | 503;
  cause: string;
  /** Seconds after which the client may send the request again. */
  retryAfterS: number;
}
