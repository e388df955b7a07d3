/**
 * Cuts the text of a configuration into its fields, and a list into its items, without parsing it: most of a change's
 * text is that of the configuration before (hardening 4).
 *
 * The text is JSON without spaces, as `JSON.stringify` writes it and `register/register-value.ts` keeps it. The text of an item
 * is then the same as if the item alone were written.
 */

/** One field of the document: its name, and the text of its value. */
export interface FieldText {
  readonly name: string;
  readonly text: string;
}

const QUOTE = '"';
const BACKSLASH = "\\";

/** Whether the quote at `at` is escaped: an odd number of backslashes stands before it. */
function isEscaped(text: string, at: number): boolean {
  let first = at;
  while (text[first - 1] === BACKSLASH) first -= 1;
  return (at - first) % 2 === 1;
}

/** Where the string that begins at `at` has ended. */
function endOfString(text: string, at: number): number {
  let end = text.indexOf(QUOTE, at + 1);
  while (isEscaped(text, end)) end = text.indexOf(QUOTE, end + 1);
  return end + 1;
}

/** Where the value that begins at `at` has ended: at the comma or bracket behind it. */
function endOfValue(text: string, at: number): number {
  let depth = 0;
  let offset = at;
  while (offset < text.length) {
    const character = text[offset];
    if (character === QUOTE) {
      offset = endOfString(text, offset);
      continue;
    }
    if (depth === 0 && (character === "," || character === "]" || character === "}")) break;
    if (character === "{" || character === "[") depth += 1;
    else if (character === "}" || character === "]") depth -= 1;
    offset += 1;
  }
  return offset;
}

/** The fields of an object's text, in its order. */
export function fieldsOf(text: string): FieldText[] {
  const fields: FieldText[] = [];
  let offset = 1;
  while (offset < text.length - 1) {
    const nameEnd = endOfString(text, offset);
    const end = endOfValue(text, nameEnd + 1);
    fields.push({ name: JSON.parse(text.slice(offset, nameEnd)) as string, text: text.slice(nameEnd + 1, end) });
    offset = end + 1;
  }
  return fields;
}

/** The texts of a list's items; none where the text is no list. */
export function itemsOf(text: string): string[] {
  const items: string[] = [];
  if (!text.startsWith("[")) return items;
  let offset = 1;
  while (offset < text.length - 1) {
    const end = endOfValue(text, offset);
    items.push(text.slice(offset, end));
    offset = end + 1;
  }
  return items;
}
