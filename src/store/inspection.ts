/**
 * Inspects the files of a folder at start: whether they are one complete set, and which record is the newest.
 */
import * as errors from "../runtime/errors.js";
import * as log from "../runtime/log.js";
import * as format from "./format.js";

/** The newest complete record of a set. */
export interface NewestRecord extends format.StoredRecord {
  /** Index of the file that contains it. */
  fileIndex: number;
}

/** Result of an inspection. */
export interface Inspection {
  /** Null where the set was never completed, or where any file is missing, damaged or of another set. */
  newest: NewestRecord | null;
  /** No set in this folder can ever have granted a ballot, as far as its files show. */
  isPristine: boolean;
  /** The newest record's set was converted from the files of release 1. */
  isConverted: boolean;
}

/** `contents` are the complete files, in the order of their index; a missing file is an empty one. Throws for files of another release. */
export function inspect(contents: readonly Buffer[], layout: number): Inspection {
  const headers = contents.map(format.decodeFileHeader);
  const records = contents.map(decodeFileRecord);
  const isPristine = isPristineFolder(headers, records, contents);
  const setId = findCommonSetId(headers);
  if (setId === null) {
    if (!isPristine) reportIncomplete(headers);
    return { newest: null, isPristine, isConverted: false };
  }
  const newest = findNewest(setId, records);
  if (newest && newest.layout !== layout) throw unknownLayout();
  reportTorn(setId, records, contents);
  return { newest, isPristine, isConverted: newest !== null && headers[0]?.origin === "converted" };
}

function decodeFileRecord(content: Buffer): format.StoredRecord | null {
  return format.decodeRecord(content.subarray(format.RECORD_OFFSET));
}

/** The id of the set that all files belong to, each with its own index; null if they don't. */
function findCommonSetId(headers: readonly (format.FileHeader | null)[]): Buffer | null {
  const [first] = headers;
  if (!first) return null;
  for (const [index, header] of headers.entries()) {
    if (!header || header.files !== headers.length || header.index !== index) return null;
    if (!header.setId.equals(first.setId)) return null;
  }
  return first.setId;
}

function findNewest(setId: Buffer, records: readonly (format.StoredRecord | null)[]): NewestRecord | null {
  let newest: NewestRecord | null = null;
  for (const [fileIndex, record] of records.entries()) {
    if (!record || !record.setId.equals(setId)) continue;
    if (!newest || record.number > newest.number) newest = { ...record, fileIndex };
  }
  return newest;
}

/**
 * The first record of a set is from before any ballot was granted and is in one file; the second, in another file, is
 * written only once the first is durable. So with no complete record, and record bytes in one file at most, none was granted.
 */
function isPristineFolder(
  headers: readonly (format.FileHeader | null)[],
  records: readonly (format.StoredRecord | null)[],
  contents: readonly Buffer[],
): boolean {
  if (headers.some(isLaterSet) || records.some(Boolean)) return false;
  return contents.filter(hasRecordBytes).length <= 1;
}

function isLaterSet(header: format.FileHeader | null): boolean {
  return header !== null && header.origin !== "first";
}

function hasRecordBytes(content: Buffer): boolean {
  const bytes = content.subarray(format.RECORD_OFFSET);
  return !bytes.equals(Buffer.alloc(bytes.length));
}

function reportIncomplete(headers: readonly (format.FileHeader | null)[]): void {
  const found = headers.map(describeHeader).join(", ");
  log.count("store.incomplete");
  log.state(`store: the files of data_dir are not a complete set (${found}); they are discarded, and this node takes a new identity`);
}

function describeHeader(header: format.FileHeader | null): string {
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
