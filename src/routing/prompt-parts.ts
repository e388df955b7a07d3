/**
 * The prompt of a request as its headers describe it: a row of parts, each with an id and its tokens. Requests that begin
 * with the same parts share what a runner has cached of them (design 7.4).
 */
import * as textHash from "../limits/text-hash.js";

/** Parts that are told apart; what follows is taken as one part more, since each costs a lookup for each runner. */
export const MAX_PARTS = 256;

/** The most tokens that a request may declare, as one count or in sum: what routers tell one another has fields of 32 bits. */
export const MAX_TOKENS = 2 ** 31 - 1;

/** A part of a prompt. */
export interface PromptPart {
  id: string;
  tokens: number;
}

/** What X-Cranewind-Token-Usage declares, in tokens: those of the prompt, and the most of the output; 0 where nothing is declared. */
export interface RequestedTokens {
  prompt: number;
  maxOutput: number;
}

/** Parses ID:TOKENS pairs separated by commas; parsing ends at the first pair that is malformed. */
export function parsePromptParts(header: string | undefined): PromptPart[] {
  const parts: PromptPart[] = [];
  if (!header) return parts;
  for (const item of header.split(",")) {
    const colon = item.indexOf(":");
    const tokens = Number(item.slice(colon + 1));
    if (colon <= 0 || !Number.isFinite(tokens)) break;
    parts.push({ id: item.slice(0, colon).trim(), tokens });
  }
  return parts.length <= MAX_PARTS ? parts : [...parts.slice(0, MAX_PARTS), joinParts(parts.slice(MAX_PARTS))];
}

/** Several parts as one: its id is made of theirs. */
function joinParts(parts: readonly PromptPart[]): PromptPart {
  let tokens = 0;
  for (const part of parts) tokens += part.tokens;
  return { id: promptKey(parts), tokens };
}

/** Parses the two counts of the header; a malformed one is 0, and the sum of the parts replaces a missing prompt count. */
export function parseRequestedTokens(header: string | undefined, parts: readonly PromptPart[]): RequestedTokens {
  const [prompt, maxOutput] = (header ?? "").split(",").map(Number);
  let sum = 0;
  for (const part of parts) sum += part.tokens;
  return { prompt: positiveOrZero(prompt) || sum, maxOutput: positiveOrZero(maxOutput) };
}

/** Whether a count of the request, or the sum of its parts, is out of range: none is below 0 or over `MAX_TOKENS`. */
export function isOutOfRange(parts: readonly PromptPart[], requested: RequestedTokens): boolean {
  let sum = 0;
  for (const { tokens } of parts) {
    if (tokens < 0) return true;
    sum += tokens;
  }
  return Math.max(sum, requested.prompt, requested.maxOutput) > MAX_TOKENS;
}

function positiveOrZero(value: number | undefined): number {
  return value !== undefined && Number.isFinite(value) && value > 0 ? value : 0;
}

/** The key of a row of parts, for rendezvous hashing. */
export function promptKey(parts: readonly PromptPart[]): string {
  let key = "";
  for (const part of parts) key += `${part.id},`;
  return key;
}

/** One 32-bit key a part, made of it and all parts before it: who has cached a part under its key has cached the whole prefix. */
export function prefixKeys(parts: readonly PromptPart[]): number[] {
  const keys: number[] = [];
  let hash = textHash.beginHash("");
  for (const part of parts) {
    hash = textHash.continueHash(hash, `${part.id},`);
    keys.push(textHash.finishHash(hash, "") | 0);
  }
  return keys;
}
