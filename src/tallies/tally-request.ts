/** Checks of the calls on tallies: names, ids, amounts (docs/tallies.md). */
import * as superstruct from "superstruct";
import * as result from "true-myth/result";
import * as errors from "../runtime/errors.js";
import * as jsonBounds from "../runtime/json-bounds.js";

/** The longest name of a tally, and the longest id, in characters. */
export const MAX_NAME_LENGTH = 200;
/** Amounts are at most so far from 0, so that sums stay exact. */
export const MAX_AMOUNT = 2 ** 40;

const PRINTABLE = /^[^\p{Cc}]+$/u;
const name = superstruct.size(superstruct.pattern(superstruct.string(), PRINTABLE), 1, MAX_NAME_LENGTH);
const body = superstruct.type({ instance_id: name, actor: superstruct.size(superstruct.integer(), -MAX_AMOUNT, MAX_AMOUNT) });

/** An add as a caller asks for it. */
export interface AddRequest {
  id: string;
  amount: number;
}

/** The name at the end of a path, decoded. */
export function parseName(encoded: string): result.Result<string, errors.CranewindError> {
  try {
    const decoded = decodeURIComponent(encoded);
    if (superstruct.is(decoded, name)) return result.ok(decoded);
  } catch {
    // Said below, as of any other bad name.
  }
  return result.err(
    new errors.InvalidRequestError("the tally's name", `give 1 to ${MAX_NAME_LENGTH} printable characters, percent-encoded`),
  );
}

/** The body of an add. */
export function parseAdd(bytes: Buffer): result.Result<AddRequest, errors.CranewindError> {
  let document: unknown;
  try {
    document = jsonBounds.parse(bytes);
  } catch {
    return result.err(new errors.InvalidRequestError("the body is no JSON", 'send {"instance_id":"...","actor":1}'));
  }
  const [failure, asked] = superstruct.validate(document, body);
  if (!failure) return result.ok({ id: asked.instance_id, amount: asked.actor });
  const field = failure.path.join(".") || "the body";
  const remedy = `send instance_id as 1 to ${MAX_NAME_LENGTH} printable characters, and actor as a whole number up to ${MAX_AMOUNT}`;
  return result.err(new errors.InvalidRequestError(`${field} is not right`, remedy));
}
