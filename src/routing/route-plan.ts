// What the chain of policies works on, and their one interface (design 7.2).
import type * as routes from "../config/routes.js";
import type * as tenant from "../tenants/tenant.js";
import type * as types from "../wire/types.js";
import type * as runnerEndpoint from "../runners/runner-endpoint.js";

/** A part of a prompt. */
export interface PromptPart {
  id: string;
  tokens: number;
}

/** What X-Cranewind-Token-Usage tells: tokens of the prompt, and the most out; 0 where nothing was told. */
export interface RequestedTokens {
  prompt: number;
  maxOutput: number;
}

/** One request on its way through the policies. */
export interface RoutePlan {
  readonly requestId: types.RequestId;
  /** 0 is the most urgent; items of batches come after the ranks of all routes. */
  readonly rank: number;
  /** An item of a batch: it may only take room that nobody else wants (design/batch 6). */
  readonly isBatch: boolean;
  readonly entry: routes.RouteEntry;
  /** Whose request it is; null where no key is needed. */
  readonly tenant: tenant.Tenant | null;
  readonly service: string;
  /** The parts of the prompt that others share: all but the last. */
  readonly sharedParts: readonly PromptPart[];
  readonly sharedTokens: number;
  /** All parts of the prompt, and one chained key each. */
  readonly parts: readonly PromptPart[];
  readonly prefixKeys: readonly number[];
  readonly attemptedRunners: ReadonlySet<string>;
  readonly now: number;
  readonly deadline: number;
  readonly requestedTokens: RequestedTokens;
  /** The same for each try of one request; 0 where nothing tells it (design/admission 5). */
  readonly retryKey: number;
  /** Regions in the order to be tried; filled by the homes and cell policies. */
  cells: string[];
  candidates: runnerEndpoint.RunnerEndpoint[];
}

/** An answer of the router instead of a runner. */
export interface Rejection {
  status: 429 | 503;
  cause: string;
  retryAfterS: number;
}

/** One link of the chain: narrows or orders the candidates, or denies. */
export interface Policy {
  readonly name: string;
  apply(plan: RoutePlan): Rejection | null;
}

/** ID:TOKENS pairs separated by commas; what cannot be read is no part. */
export function parsePromptParts(header: string | undefined): PromptPart[] {
  const parts: PromptPart[] = [];
  if (!header) return parts;
  for (const item of header.split(",")) {
    const colon = item.indexOf(":");
    const tokens = Number(item.slice(colon + 1));
    if (colon <= 0 || !Number.isFinite(tokens)) break;
    parts.push({ id: item.slice(0, colon).trim(), tokens });
  }
  return parts;
}

/** The two counts of the header; what cannot be read is 0, and the parts' own tokens stand in for the prompt. */
export function parseRequestedTokens(header: string | undefined, parts: readonly PromptPart[]): RequestedTokens {
  const [prompt, mostOut] = (header ?? "").split(",").map(Number);
  let sum = 0;
  for (const part of parts) sum += part.tokens;
  return { prompt: positive(prompt) || sum, maxOutput: positive(mostOut) };
}

function positive(value: number | undefined): number {
  return value !== undefined && Number.isFinite(value) && value > 0 ? value : 0;
}

/** One key for a row of parts. */
export function promptKey(parts: readonly PromptPart[]): string {
  let key = "";
  for (const part of parts) key += `${part.id},`;
  return key;
}

/** Applies the policies in order, up to the first that denies. */
export function runPolicies(policies: readonly Policy[], plan: RoutePlan): Rejection | null {
  for (const policy of policies) {
    const rejection = policy.apply(plan);
    if (rejection) return rejection;
  }
  return null;
}
