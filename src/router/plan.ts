// What the chain of policies works on, and their one interface (design 7.2).
import type * as routes from "../config/routes.js";
import type * as types from "../wire/types.js";
import type * as fleet from "./fleet.js";

export interface Part {
  id: string;
  tokens: number;
}

export interface Plan {
  readonly requestId: types.RequestId;
  readonly entry: routes.RouteEntry;
  readonly service: string;
  /** The parts of the prompt that others share: all but the last. */
  readonly shared: readonly Part[];
  readonly sharedTokens: number;
  /** All parts of the prompt, and one chained key each. */
  readonly parts: readonly Part[];
  readonly keys: readonly number[];
  readonly tried: ReadonlySet<string>;
  readonly now: number;
  /** Regions in the order to be tried; filled by the homes and cell policies. */
  cells: string[];
  candidates: fleet.Runner[];
}

export interface Denial {
  status: 429 | 503;
  cause: string;
  retryAfterS: number;
}

export interface Policy {
  readonly name: string;
  apply(plan: Plan): Denial | null;
}

/** ID:TOKENS pairs separated by commas; what cannot be read is no part. */
export function readParts(header: string | undefined): Part[] {
  const parts: Part[] = [];
  if (!header) return parts;
  for (const item of header.split(",")) {
    const colon = item.indexOf(":");
    const tokens = Number(item.slice(colon + 1));
    if (colon <= 0 || !Number.isFinite(tokens)) break;
    parts.push({ id: item.slice(0, colon).trim(), tokens });
  }
  return parts;
}

export function keyOf(parts: readonly Part[]): string {
  let key = "";
  for (const part of parts) key += `${part.id},`;
  return key;
}

export function runPolicies(policies: readonly Policy[], plan: Plan): Denial | null {
  for (const policy of policies) {
    const denial = policy.apply(plan);
    if (denial) return denial;
  }
  return null;
}
