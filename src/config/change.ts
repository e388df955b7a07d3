// Replace and Update as steps on the register (design 6.2): compare the base, then set.
import * as result from "true-myth/result";
import * as errors from "../startup/errors.js";
import * as schema from "../wire/schema.js";
import * as registers from "../register/value.js";
import * as check from "./check.js";

type Made = result.Result<schema.Value, errors.CranewindError>;
type Document = Record<string, unknown>;

function lost(base: number, value: schema.Value): Made {
  return result.err(
    errors.fail(
      "race",
      `revision ${value.revision} is in place, not ${base}`,
      "read the current configuration with Config.Describe and build on it",
    ),
  );
}

function isTaken(value: schema.Value, mark: string): boolean {
  for (const item of value.taken) if (item.digest === mark) return true;
  return false;
}

function set(value: schema.Value, made: unknown, mark: string): Made {
  const checked = check.check(made);
  if (checked.isErr) return result.err(checked.error);
  const { revision } = checked.value;
  if (revision <= value.revision) {
    return check.invalid("revision", `${revision} is not higher than the current ${value.revision}`, "send a higher revision");
  }
  return result.ok(registers.withConfig(value, revision, registers.pack(made), mark));
}

function markOf(verb: string, base: number, body: Buffer): string {
  return registers.digest(verb, String(base), body);
}

/** One step for both verbs: the unchanged resend of what was taken is taken already. */
function step(base: number, mark: string, make: (value: schema.Value) => result.Result<unknown, errors.CranewindError>) {
  return function change(value: schema.Value): Made {
    if (isTaken(value, mark)) return result.ok(value);
    if (base !== value.revision) return lost(base, value);
    const made = make(value);
    return made.isErr ? result.err(made.error) : set(value, made.value, mark);
  };
}

export function replaceStep(base: number, body: Buffer, parsed: unknown) {
  function whole(): result.Result<unknown, errors.CranewindError> {
    return result.ok(parsed);
  }
  return step(base, markOf("replace", base, body), whole);
}

export function updateStep(base: number, body: Buffer, parsed: unknown) {
  function patched(value: schema.Value): result.Result<unknown, errors.CranewindError> {
    const current = registers.unpack(value.config);
    if (current === null) return check.invalid("body", "there is no configuration to update", "send Config.Replace first");
    return patch(current as Document, parsed);
  }
  return step(base, markOf("update", base, body), patched);
}

function isObject(value: unknown): value is Document {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

function nameOf(item: unknown): unknown {
  return isObject(item) ? item["name"] : undefined;
}

/** Adds or replaces the items of one list by name, and removes others. */
function patchList(field: string, current: unknown, upsert: unknown, gone: unknown): result.Result<unknown[], errors.CranewindError> {
  if (upsert !== undefined && !Array.isArray(upsert)) return check.invalid(`upsert.${field}`, "it is no list", "send a list of items");
  if (gone !== undefined && !Array.isArray(gone)) return check.invalid(`delete.${field}`, "it is no list", "send a list of names");
  const items = new Map<unknown, unknown>();
  for (const item of Array.isArray(current) ? current : []) items.set(nameOf(item), item);
  for (const name of gone ?? []) {
    if (typeof name !== "string" || !items.delete(name))
      return check.invalid(`delete.${field}`, `${String(name)} is not there`, "name an item that the current configuration holds");
  }
  const added = new Set<unknown>();
  for (const item of upsert ?? []) {
    const name = nameOf(item);
    if (typeof name !== "string") return check.invalid(`upsert.${field}`, "an item has no name", "give each item its name");
    if (added.has(name)) return check.invalid(`upsert.${field}`, `${name} stands there twice`, "keep one of them");
    added.add(name);
    items.set(name, item);
  }
  return result.ok([...items.values()]);
}

export function patch(current: Document, body: unknown): result.Result<unknown, errors.CranewindError> {
  if (!isObject(body)) return check.invalid("body", "it is no object", "send revision, upsert and delete");
  const upsert = body["upsert"] ?? {};
  const gone = body["delete"] ?? {};
  if (!isObject(upsert)) return check.invalid("upsert", "it is no object", "send lists by name, such as routes");
  if (!isObject(gone)) return check.invalid("delete", "it is no object", "send lists by name, such as routes");
  const made: Document = { ...current, revision: body["revision"] };
  for (const field of new Set([...Object.keys(upsert), ...Object.keys(gone)])) {
    const before = made[field];
    if (field === "revision" || (before !== undefined && !Array.isArray(before))) {
      return check.invalid(field, "it is no list of named items", "use Config.Replace to change it");
    }
    const list = patchList(field, before, upsert[field], gone[field]);
    if (list.isErr) return result.err(list.error);
    made[field] = list.value;
  }
  return result.ok(made);
}
