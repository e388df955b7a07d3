/**
 * Bounds on JSON text before it is parsed: a parsed value may take a hundred times its text, and deep nesting is slow to parse and
 * overflows the stack of what walks over it (design/edge 7.14). One pass over the bytes.
 */

/** Lists and objects within one another. */
const MAX_DEPTH = 64;
/** Lists, objects and their items in one text; together they take up to some 60 MB. */
const MAX_VALUES = 1_000_000;

const QUOTE = 34;
const COMMA = 44;
const OPEN_LIST = 91;
const BACKSLASH = 92;
const CLOSE_LIST = 93;
const OPEN_OBJECT = 123;
const CLOSE_OBJECT = 125;

/** What is over its bound. */
export type JsonExcess = "depth" | "values";

/** Null where the text may be parsed, whether it is JSON or not. */
export function findExcess(text: Buffer): JsonExcess | null {
  let depth = 0;
  let values = 0;
  for (let index = 0; index < text.length; index += 1) {
    switch (text[index]) {
      case QUOTE:
        index = endOfString(text, index);
        break;
      case OPEN_LIST:
      case OPEN_OBJECT:
        depth += 1;
        values += 1;
        break;
      case COMMA:
        values += 1;
        break;
      case CLOSE_LIST:
      case CLOSE_OBJECT:
        depth -= 1;
    }
    if (depth > MAX_DEPTH) return "depth";
    if (values > MAX_VALUES) return "values";
  }
  return null;
}

/** Where the string that begins at `quoteAt` has ended, or the last byte where it has no end. */
function endOfString(text: Buffer, quoteAt: number): number {
  let index = quoteAt + 1;
  while (index < text.length && text[index] !== QUOTE) index += text[index] === BACKSLASH ? 2 : 1;
  return index;
}

/** Parses JSON of UTF-8 within the bounds; throws where it is none, or over a bound. */
export function parse(text: Buffer): unknown {
  const excess = findExcess(text);
  if (excess !== null) throw new RangeError(`the JSON is over the bound on its ${excess}`);
  return JSON.parse(text.toString("utf8"));
}
