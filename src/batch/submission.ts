/**
 * What an operator submits, checked (design/batch 2; docs/batch.md names each field). Errors name field and remedy.
 */
import * as result from "true-myth/result";
import * as superstruct from "superstruct";
import * as configurationCheck from "../config/configuration-check.js";
import * as registerValue from "../register/register-value.js";
import type * as errors from "../runtime/errors.js";
import * as bounds from "./bounds.js";

const MAX_KEY_LENGTH = 64;
const MAX_WITHIN_S = 7 * 24 * 3600;
const name = superstruct.nonempty(superstruct.string());
const count = superstruct.min(superstruct.integer(), 0);
const prompt = superstruct.pattern(superstruct.string(), /^([0-9a-fA-F]+:\d+(,[0-9a-fA-F]+:\d+)*)?$/);

const item = superstruct.object({
  id: name,
  prompt: superstruct.defaulted(prompt, ""),
  tokens_out: superstruct.defaulted(count, 0),
  model: superstruct.defaulted(name, "m"),
  method: superstruct.defaulted(superstruct.enums(["GET", "POST"]), "POST"),
  path: superstruct.optional(superstruct.pattern(superstruct.string(), /^\/[^\s#]*$/)),
  body: superstruct.defaulted(superstruct.string(), ""),
});

const finishWithin = superstruct.defaulted(superstruct.max(superstruct.min(superstruct.number(), 0), MAX_WITHIN_S), 0);
const homes = superstruct.defaulted(superstruct.array(name), []);

const submission = superstruct.object({
  key: superstruct.size(superstruct.string(), 1, MAX_KEY_LENGTH),
  route: name,
  items: superstruct.size(superstruct.array(item), 1, bounds.MAX_ITEMS),
  finish_within_s: finishWithin,
  homes,
});

/** A batch that is only asked about: sizes stand for the items. */
const outline = superstruct.object({
  route: name,
  count: superstruct.max(superstruct.min(superstruct.integer(), 1), bounds.MAX_ITEMS),
  shared_tokens: superstruct.defaulted(count, 0),
  prompt_tokens: superstruct.defaulted(count, 0),
  tokens_out: superstruct.defaulted(count, 0),
  finish_within_s: finishWithin,
  homes,
});

/** One item with its defaults. */
export type SubmittedItem = superstruct.Infer<typeof item>;
/** A checked submission with its defaults. */
export type Submission = superstruct.Infer<typeof submission>;
/** Tokens are those of one item: shared ones, all of its prompt, and the most out. */
export type Outline = superstruct.Infer<typeof outline>;

type Checked<T> = result.Result<T, errors.CranewindError>;

/** A submission from its bytes. */
export function parse(bytes: Buffer): Checked<Submission> {
  if (bytes.length > bounds.MAX_SUBMISSION_BYTES)
    return configurationCheck.invalid("body", `it is over ${bounds.MAX_SUBMISSION_BYTES} bytes`, "split the batch into smaller ones");
  return configurationCheck.parseJson(bytes).andThen(checkSubmission);
}

function checkSubmission(value: unknown): Checked<Submission> {
  const [failure, made] = superstruct.validate(value, submission, { coerce: true });
  if (failure) return wrong(failure);
  const seen = new Set<string>();
  for (const { id } of made.items) {
    if (seen.has(id)) return configurationCheck.invalid("items", `the id ${id} stands there twice`, "give each item an id of its own");
    seen.add(id);
  }
  return result.ok(made);
}

/** An outline from its bytes; a whole submission is one, too. */
export function parseOutline(bytes: Buffer): Checked<Outline> {
  return configurationCheck.parseJson(bytes).andThen((value) => {
    if (typeof value === "object" && value !== null && "items" in value) return checkSubmission(value).map(outlineOf);
    const [failure, made] = superstruct.validate(value, outline, { coerce: true });
    return failure ? wrong(failure) : result.ok(made);
  });
}

function wrong<T>(failure: superstruct.StructError): Checked<T> {
  return configurationCheck.invalid(failure.path.join(".") || "body", failure.message, "see docs/batch.md for the field");
}

interface PromptSize {
  shared: number;
  all: number;
}

/** Tokens of a prompt; all its parts but the last are shared. */
function sizeOf(parts: string): PromptSize {
  const tokens = parts === "" ? [] : parts.split(",").map((part) => Number(part.slice(part.indexOf(":") + 1)));
  let all = 0;
  for (const one of tokens) all += one;
  return { shared: all - (tokens.at(-1) ?? 0), all };
}

/** The sizes of a submission: means over its items. */
export function outlineOf(from: Submission): Outline {
  let shared = 0;
  let all = 0;
  let out = 0;
  for (const one of from.items) {
    const size = sizeOf(one.prompt);
    shared += size.shared;
    all += size.all;
    out += one.tokens_out;
  }
  const items = from.items.length;
  return {
    route: from.route,
    count: items,
    shared_tokens: Math.round(shared / items),
    prompt_tokens: Math.round(all / items),
    tokens_out: Math.round(out / items),
    finish_within_s: from.finish_within_s,
    homes: from.homes,
  };
}

/** Prompt and most out, as X-Cranewind-Token-Usage tells them. */
export function tokenUsage(of: SubmittedItem): string {
  return `${sizeOf(of.prompt).all},${of.tokens_out}`;
}

/** Tells a submission from any other. */
export function digestOf(bytes: Buffer): string {
  return registerValue.digest(bytes);
}

/** Bytes to be set aside for a submission and its results. */
export function reservedBytes(bytes: Buffer, from: Submission): number {
  let sum = bytes.length;
  for (const one of from.items)
    sum += Math.min(bounds.MAX_RESULT_BYTES, bounds.RESULT_BASE_BYTES + bounds.RESULT_BYTES_PER_TOKEN * one.tokens_out);
  return sum;
}
