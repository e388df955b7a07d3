/** A small hash of text that is the same in every process (FNV-1a). */

const FNV_OFFSET_BASIS = 0x811c9dc5;

/** FNV-1a with a final mixing step. */
export function hashText(text: string): number {
  return finishHash(FNV_OFFSET_BASIS, text);
}

/** FNV-1a before its end: `finishHash(beginHash(a), b)` is `hashText(a + b)`, for many texts with one prefix. */
export function beginHash(text: string): number {
  return mixIn(FNV_OFFSET_BASIS, text);
}

/** Adds text to a hash that was begun: `continueHash(beginHash(a), b)` is `beginHash(a + b)`. */
export function continueHash(start: number, text: string): number {
  return mixIn(start, text);
}

function mixIn(value: number, text: string): number {
  for (let index = 0; index < text.length; index += 1) {
    value ^= text.charCodeAt(index);
    value = Math.imul(value, 0x01000193);
  }
  return value;
}

/** The hash of a prefix begun with beginHash, and the rest of the text. */
export function finishHash(start: number, text: string): number {
  let value = mixIn(start, text);
  value ^= value >>> 15;
  value = Math.imul(value, 0x2c1b3c6d);
  value ^= value >>> 13;
  return value >>> 0;
}
