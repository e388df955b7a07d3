/**
 * Judges the files of a folder at start: whether they are one whole set, and which record is the newest.
 */
import * as errors from "../runtime/errors.js";
import * as log from "../runtime/log.js";
import * as format from "./format.js";

/** The newest whole record of a set. */
export interface NewestRecord extends format.StoredRecord {
  /** The file that holds it. */
  place: number;
}

/** What the files of a folder show. */
export interface Inspection {
  /** Null where the set was never finished, or where any file is missing, damaged or of another set. */
  newest: NewestRecord | null;
  /** No promise can ever have been given by a set in this folder, as far as its files tell. */
  isPristine: boolean;
  /** The newest record's set was made of the files of release 1. */
  isConverted: boolean;
}

/** `contents` are the whole files, in the order of their index; a missing file is an empty one. */
export function inspect(contents: readonly Buffer[], layout: number): Inspection {
  const headers = contents.map(format.decodeHeader);
  const records = contents.map(recordOf);
  const isPristine = isPristineFolder(headers, records, contents);
  const setId = commonSetId(headers);
  if (setId === null) {
    if (!isPristine) reportIncomplete(headers);
    return { newest: null, isPristine, isConverted: false };
  }
  const newest = newestOf(setId, records);
  if (newest && newest.layout !== layout) throw unknownLayout();
  reportTorn(setId, records, contents);
  return { newest, isPristine, isConverted: newest !== null && headers[0]?.origin === "converted" };
}

function recordOf(content: Buffer): format.StoredRecord | null {
  return format.decodeRecord(content.subarray(format.RECORD_AT));
}

/** The set that all files belong to, each at its place; null if they don't. */
function commonSetId(headers: readonly (format.Header | null)[]): Buffer | null {
  const [first] = headers;
  if (!first) return null;
  for (const [index, header] of headers.entries()) {
    if (!header || header.files !== headers.length || header.index !== index) return null;
    if (!header.setId.equals(first.setId)) return null;
  }
  return first.setId;
}

function newestOf(setId: Buffer, records: readonly (format.StoredRecord | null)[]): NewestRecord | null {
  let newest: NewestRecord | null = null;
  for (const [place, record] of records.entries()) {
    if (!record || !record.setId.equals(setId)) continue;
    if (!newest || record.number > newest.number) newest = { ...record, place };
  }
  return newest;
}

/**
 * The first record of a set carries no promise and lies in one file; the second, in another file, is written only
 * once the first is durable. So with no whole record, and bytes in the record's place of one file at most, none was given.
 */
function isPristineFolder(
  headers: readonly (format.Header | null)[],
  records: readonly (format.StoredRecord | null)[],
  contents: readonly Buffer[],
): boolean {
  if (headers.some(isLaterSet) || records.some(Boolean)) return false;
  return contents.filter(hasRecordBytes).length <= 1;
}

function isLaterSet(header: format.Header | null): boolean {
  return header !== null && header.origin !== "first";
}

function hasRecordBytes(content: Buffer): boolean {
  const place = content.subarray(format.RECORD_AT);
  return !place.equals(Buffer.alloc(place.length));
}

function reportIncomplete(headers: readonly (format.Header | null)[]): void {
  const found = headers.map(describeHeader).join(", ");
  log.count("store.incomplete");
  log.state(`store: the files of data_dir are not one whole set (${found}); they are given up, and this node takes a new identity`);
}

function describeHeader(header: format.Header | null): string {
  return header ? `${header.setId.toString("hex", 0, 4)}/${header.index}` : "missing or damaged";
}

function reportTorn(setId: Buffer, records: readonly (format.StoredRecord | null)[], contents: readonly Buffer[]): void {
  for (const [index, record] of records.entries()) {
    if (record || !hasRecordBytes(contents[index])) continue;
    log.count("store.torn");
    log.state(`store: register-${index} of set ${setId.toString("hex", 0, 4)} holds a torn record; an older one is used`);
  }
}

function unknownLayout(): errors.CranewindError {
  return new errors.StorageError(
    "the voter's record in data_dir has the layout of another release",
    "start the release that wrote it, or empty data_dir: this node then takes a new identity",
  );
}
