/**
 * The operators' orders Replace and Update as steps on the register (design 6.2): compare the base, then set.
 *
 * An order is its verb, base and bytes. What can be judged by these alone is judged before the register is asked
 * (400, 413); all else by a value that a majority holds. An order that may have been taken is never refused: it is
 * looked up in the history before anything of it is compared with the value (design/hardening/2-orders).
 */
import * as result from "true-myth/result";
import * as errors from "../runtime/errors.js";
import * as schema from "../wire/schema.js";
import * as link from "../wire/link.js";
import * as registerValue from "../register/register-value.js";
import type * as registerStep from "../register/register-step.js";
import * as configurationCheck from "./configuration-check.js";

type StepOutcome = result.Result<schema.Value, errors.CranewindError>;
type Document = Record<string, unknown>;

/** What a frame carries beside a configuration: voters, evacuations, history, and the heads of its items. */
const FRAME_REST_BYTES = 2 * 1024 * 1024;
/**
 * The bound on a configuration, as JSON without spaces. The feed sends it as items, each with its name once more, so
 * that a view is at most twice as large, and fits a frame.
 */
export const MAX_DOCUMENT_BYTES = (link.MAX_FRAME_BYTES - FRAME_REST_BYTES) / 2;

function revisionConflict(base: number, value: schema.Value): StepOutcome {
  return result.err(
    new errors.RevisionConflictError(
      `revision ${value.revision} is in place, not ${base}`,
      "read the current configuration with Config.Describe and build on it",
    ),
  );
}

function unknownOutcome(base: number): StepOutcome {
  return result.err(
    new errors.UnknownOutcomeError(
      `base ${base} is older than all changes that are remembered: whether this one was taken is not known`,
      "read the current configuration with Config.Describe",
    ),
  );
}

/** The configuration as it is kept, or the error that names its size. */
function packDocument(document: unknown): result.Result<Buffer, errors.CranewindError> {
  const text = Buffer.from(JSON.stringify(document));
  if (text.length <= MAX_DOCUMENT_BYTES) return result.ok(registerValue.packText(text));
  return result.err(
    new errors.PayloadTooLargeError(
      `the configuration comes to ${text.length} bytes, the bound is ${MAX_DOCUMENT_BYTES}`,
      "remove routes or services, or send shorter ones",
    ),
  );
}

/** A revision that is not above its base is invalid whatever is in place: it could never have been taken. */
function checkRevision(base: number, revision: unknown): result.Result<null, errors.CranewindError> {
  if (typeof revision === "number" && revision <= base)
    return configurationCheck.invalid("revision", `${revision} is not higher than the base ${base}`, "send a higher revision");
  return result.ok(null);
}

/** The one step of both verbs. `make` gives the new configuration, packed, and is asked only on the order's own base. */
function buildStep(
  base: number,
  revision: number,
  mark: string,
  make: (value: schema.Value) => result.Result<Buffer, errors.CranewindError>,
): registerStep.Step {
  return function change(value: schema.Value): StepOutcome {
    const verdict = registerValue.findOrder(value, base, mark);
    if (verdict === "taken") return result.ok(value);
    if (verdict === "forgotten") return unknownOutcome(base);
    if (base !== value.revision) return revisionConflict(base, value);
    const made = make(value);
    return made.isErr ? result.err(made.error) : result.ok(registerValue.withConfig(value, revision, made.value, mark));
  };
}

type Order = result.Result<registerStep.Step, errors.CranewindError>;

/** Sets a whole configuration. An error when the order alone shows that it is invalid. */
export function parseReplace(base: number, body: Buffer): Order {
  const parsed = configurationCheck.parseJson(body);
  if (parsed.isErr) return result.err(parsed.error);
  const checked = configurationCheck.check(parsed.value);
  if (checked.isErr) return result.err(checked.error);
  const { revision } = checked.value;
  const higher = checkRevision(base, revision);
  if (higher.isErr) return result.err(higher.error);
  let config: ReturnType<typeof packDocument> | null = null;
  /** Packed once, however often the step is applied again. */
  function whole(): ReturnType<typeof packDocument> {
    config ??= packDocument(parsed.unwrapOr(null));
    return config;
  }
  return result.ok(buildStep(base, revision, registerValue.digest("replace", String(base), body), whole));
}

/** Changes named items. An error when the order alone shows that it is invalid. */
export function parseUpdate(base: number, body: Buffer): Order {
  const parsed = configurationCheck.parseJson(body);
  if (parsed.isErr) return result.err(parsed.error);
  const revised = configurationCheck.checkRevision(parsed.value);
  if (revised.isErr) return result.err(revised.error);
  const revision = revised.value;
  const higher = checkRevision(base, revision);
  if (higher.isErr) return result.err(higher.error);
  function patched(value: schema.Value): result.Result<Buffer, errors.CranewindError> {
    const current = registerValue.unpack(value.config);
    if (current === null) return configurationCheck.invalid("body", "there is no configuration to update", "send Config.Replace first");
    const made = applyPatch(current as Document, parsed.unwrapOr(null));
    if (made.isErr) return result.err(made.error);
    const checked = configurationCheck.check(made.value, configurationCheck.itemsOf(current as configurationCheck.Configuration));
    return checked.isErr ? result.err(checked.error) : packDocument(made.value);
  }
  return result.ok(buildStep(base, revision, registerValue.digest("update", String(base), body), patched));
}

function isObject(value: unknown): value is Document {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

function nameOf(item: unknown): unknown {
  return isObject(item) ? item["name"] : undefined;
}

/** Adds or replaces the items of one list by name, and removes others. */
function applyListPatch(field: string, current: unknown, upsert: unknown, gone: unknown): result.Result<unknown[], errors.CranewindError> {
  if (upsert !== undefined && !Array.isArray(upsert))
    return configurationCheck.invalid(`upsert.${field}`, "it is no list", "send a list of items");
  if (gone !== undefined && !Array.isArray(gone))
    return configurationCheck.invalid(`delete.${field}`, "it is no list", "send a list of names");
  const items = new Map<unknown, unknown>();
  for (const item of Array.isArray(current) ? current : []) items.set(nameOf(item), item);
  for (const name of gone ?? []) {
    if (typeof name !== "string" || !items.delete(name))
      return configurationCheck.invalid(
        `delete.${field}`,
        `${String(name)} is not there`,
        "name an item that the current configuration holds",
      );
  }
  const added = new Set<unknown>();
  for (const item of upsert ?? []) {
    const name = nameOf(item);
    if (typeof name !== "string") return configurationCheck.invalid(`upsert.${field}`, "an item has no name", "give each item its name");
    if (added.has(name)) return configurationCheck.invalid(`upsert.${field}`, `${name} stands there twice`, "keep one of them");
    added.add(name);
    items.set(name, item);
  }
  return result.ok([...items.values()]);
}

/** The document with the named items replaced, added and deleted; an error where the update is invalid. */
export function applyPatch(current: Document, body: unknown): result.Result<unknown, errors.CranewindError> {
  if (!isObject(body)) return configurationCheck.invalid("body", "it is no object", "send revision, upsert and delete");
  const upsert = body["upsert"] ?? {};
  const gone = body["delete"] ?? {};
  if (!isObject(upsert)) return configurationCheck.invalid("upsert", "it is no object", "send lists by name, such as routes");
  if (!isObject(gone)) return configurationCheck.invalid("delete", "it is no object", "send lists by name, such as routes");
  const made: Document = { ...current, revision: body["revision"] };
  for (const field of new Set([...Object.keys(upsert), ...Object.keys(gone)])) {
    const before = made[field];
    if (field === "revision" || (before !== undefined && !Array.isArray(before))) {
      return configurationCheck.invalid(field, "it is no list of named items", "use Config.Replace to change it");
    }
    const list = applyListPatch(field, before, upsert[field], gone[field]);
    if (list.isErr) return result.err(list.error);
    made[field] = list.value;
  }
  return result.ok(made);
}
